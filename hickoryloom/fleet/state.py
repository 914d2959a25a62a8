"""Plans for one pool: what to order and what to give back."""

from __future__ import annotations

import math
import random
from collections import Counter, deque
from collections.abc import Collection, Sequence

import attrs

from hickoryloom.configuration import Pool
from hickoryloom.fleet.backoff import SiteBackoff
from hickoryloom.fleet.forecast import NeedForecast
from hickoryloom.fleet.messages import FleetPlan, PoolDemand, ServerState, ServerView, Site, Targets
from hickoryloom.fleet.sizing import choose_targets, lower_tiers_of

__all__ = ["PoolPlanner", "plan"]

SCALE_DOWN_DELAY_S = 300.0
MIN_ORDERS_IN_FLIGHT = 4
ORDERS_IN_FLIGHT_PART = 0.25
RELEASES_PART = 0.1


def plan(
    targets: Targets, keep: Targets, servers: Sequence[ServerView], starting_limit: int
) -> tuple[tuple[Site, ...], tuple[str, ...]]:
    """Return the sites of new orders and the ids of servers to give back.

    Args:
        targets: Servers wanted now.
        keep: Servers wanted lately at the most, by site; only those beyond are given back.
        servers: All servers of the pool.
        starting_limit: Most orders in flight.
    """
    present = _present(servers)
    missing = {site: count - present[site] for site, count in targets.items()}
    starting = sum(1 for server in servers if server.state is ServerState.STARTING)
    orders = _pick_orders(missing, max(0, starting_limit - starting))
    if starting or any(count > 0 for count in missing.values()):
        return orders, ()
    return orders, _pick_releases(keep, present, servers)


@attrs.define
class PoolPlanner:
    """Plans one pool over time.

    Args:
        source: Random source for back-off.
        scale_down_delay_s: Seconds for which a larger target keeps servers.
    """

    source: random.Random
    scale_down_delay_s: float = SCALE_DOWN_DELAY_S
    _forecast: NeedForecast = attrs.field(factory=NeedForecast)
    _backoff: SiteBackoff = attrs.field(init=False)
    _began: float | None = None
    _tiers: set[int] = attrs.field(factory=set)
    _recent: deque[tuple[float, Targets]] = attrs.field(factory=deque)

    def __attrs_post_init__(self) -> None:
        self._backoff = SiteBackoff(self.source)

    @property
    def backoff(self) -> SiteBackoff:
        """Sites that had no capacity."""
        return self._backoff

    def plan(
        self,
        now: float,
        pool: Pool,
        demand: PoolDemand,
        not_resumable: Collection[int],
        servers: Sequence[ServerView],
    ) -> FleetPlan:
        """Return what to do now.

        Args:
            now: Monotonic time, in seconds.
            pool: The pool.
            demand: Its demand by tier.
            not_resumable: Tiers with a class whose answers can't be resumed.
            servers: All its servers.
        """
        self._tiers |= set(demand)
        lower_tiers = lower_tiers_of(self._tiers, not_resumable)
        self._forecast.update(now, demand, lower_tiers)
        need = self._forecast.need(demand, lower_tiers, pool.load_s)
        present = _present(servers)
        targets = choose_targets(pool, need, self._backoff.blocked(now), dict(present))
        keep = self._keep(now, targets)
        wanted = sum(targets.values())
        limit = max(MIN_ORDERS_IN_FLIGHT, math.ceil(ORDERS_IN_FLIGHT_PART * wanted))
        orders, releases = plan(targets, keep, servers, limit)
        if self._began is None:
            self._began = now
        if now - self._began < self.scale_down_delay_s:
            releases = ()
        room = max(0, pool.max_servers - sum(present.values()))
        return FleetPlan(orders[:room], releases, targets, need)

    def _keep(self, now: float, targets: Targets) -> Targets:
        """Return, by site, the largest target within the delay before scaling down."""
        self._recent.append((now, targets))
        while self._recent[0][0] < now - self.scale_down_delay_s:
            self._recent.popleft()
        largest: Targets = {}
        for _, earlier in self._recent:
            for site, count in earlier.items():
                largest[site] = max(largest.get(site, 0), count)
        return largest


def _present(servers: Sequence[ServerView]) -> Counter[Site]:
    return Counter(server.site for server in servers if server.state is not ServerState.LEAVING)


def _pick_orders(missing: Targets, room: int) -> tuple[Site, ...]:
    """Return one order after another, each where most is missing; ordinary ones first."""
    left = {site: count for site, count in missing.items() if count > 0}
    picked: list[Site] = []
    while left and len(picked) < room:
        site = min(left, key=lambda s: (s.cheap, -left[s], s.failure_domain))
        picked.append(site)
        left[site] -= 1
        if not left[site]:
            del left[site]
    return tuple(picked)


def _pick_releases(
    keep: Targets, present: Counter[Site], servers: Sequence[ServerView]
) -> tuple[str, ...]:
    room = max(1, math.floor(RELEASES_PART * sum(present.values())))
    surplus = {site: count - keep.get(site, 0) for site, count in present.items()}
    picked: list[str] = []
    running = [s for s in servers if s.state is ServerState.RUNNING and not s.fixed]
    for server in sorted(running, key=lambda s: (s.site.cheap, s.id), reverse=True):
        if len(picked) < room and surplus[server.site] > 0:
            surplus[server.site] -= 1
            picked.append(server.id)
    return tuple(picked)

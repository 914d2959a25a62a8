"""Planning for one pool: which servers to order and which to release."""

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

__all__ = ["PoolPlanner", "plan_changes"]

SCALE_DOWN_DELAY_S = 300.0
MIN_ORDERS_IN_FLIGHT = 4
ORDERS_IN_FLIGHT_FRACTION = 0.25
RELEASES_FRACTION = 0.1


def plan_changes(
    targets: Targets, recent_max: Targets, servers: Sequence[ServerView], starting_limit: int
) -> tuple[tuple[Site, ...], tuple[str, ...]]:
    """Return the sites of new orders and the ids of servers to release.

    Args:
        targets: Current targets.
        recent_max: Largest recent targets; only servers above them are released.
        servers: All servers of the pool.
        starting_limit: Maximum number of servers that start at the same time.
    """
    present = _count_by_site(servers)
    missing = {site: count - present[site] for site, count in targets.items()}
    starting = sum(1 for server in servers if server.state is ServerState.STARTING)
    orders = _choose_orders(missing, max(0, starting_limit - starting))
    if starting or any(count > 0 for count in missing.values()):
        return orders, ()
    return orders, _choose_releases(recent_max, present, servers)


@attrs.define
class PoolPlanner:
    """Plans one pool over time.

    Args:
        source: Random source for back-off jitter.
        scale_down_delay_s: Seconds for which the largest recent target prevents releases.
    """

    source: random.Random
    scale_down_delay_s: float = SCALE_DOWN_DELAY_S
    _forecast: NeedForecast = attrs.field(factory=NeedForecast)
    _backoff: SiteBackoff = attrs.field(init=False)
    _started_at: float | None = None
    _tiers: set[int] = attrs.field(factory=set)
    _recent_targets: deque[tuple[float, Targets]] = attrs.field(factory=deque)

    def __attrs_post_init__(self) -> None:
        self._backoff = SiteBackoff(self.source)

    @property
    def backoff(self) -> SiteBackoff:
        """Back-off from sites without capacity."""
        return self._backoff

    def plan(
        self,
        now: float,
        pool: Pool,
        demand: PoolDemand,
        not_resumable: Collection[int],
        servers: Sequence[ServerView],
    ) -> FleetPlan:
        """Return the orders and releases to make now.

        Args:
            now: Monotonic time, in seconds.
            pool: Configuration of the pool.
            demand: Demand for the pool by tier.
            not_resumable: Tiers with a request class whose responses can't be resumed.
            servers: All servers of the pool.
        """
        self._tiers |= set(demand)
        lower_tiers = lower_tiers_of(self._tiers, not_resumable)
        self._forecast.update(now, demand, lower_tiers)
        need = self._forecast.need(demand, lower_tiers, pool.load_s)
        present = _count_by_site(servers)
        targets = choose_targets(pool, need, self._backoff.blocked(now), dict(present))
        recent_max = self._recent_max_targets(now, targets)
        target_count = sum(targets.values())
        starting_limit = max(
            MIN_ORDERS_IN_FLIGHT, math.ceil(ORDERS_IN_FLIGHT_FRACTION * target_count)
        )
        orders, releases = plan_changes(targets, recent_max, servers, starting_limit)
        if self._started_at is None:
            self._started_at = now
        if now - self._started_at < self.scale_down_delay_s:
            releases = ()
        capacity_left = max(0, pool.max_servers - sum(present.values()))
        return FleetPlan(orders[:capacity_left], releases, targets, need)

    def _recent_max_targets(self, now: float, targets: Targets) -> Targets:
        """Return, by site, the largest target within the scale-down delay."""
        self._recent_targets.append((now, targets))
        while self._recent_targets[0][0] < now - self.scale_down_delay_s:
            self._recent_targets.popleft()
        largest: Targets = {}
        for _, earlier in self._recent_targets:
            for site, count in earlier.items():
                largest[site] = max(largest.get(site, 0), count)
        return largest


def _count_by_site(servers: Sequence[ServerView]) -> Counter[Site]:
    return Counter(server.site for server in servers if server.state is not ServerState.LEAVING)


def _choose_orders(missing: Targets, limit: int) -> tuple[Site, ...]:
    """Choose sites one by one: ordinary before cheap, then where most servers are missing."""
    remaining = {site: count for site, count in missing.items() if count > 0}
    chosen: list[Site] = []
    while remaining and len(chosen) < limit:
        site = min(remaining, key=lambda s: (s.cheap, -remaining[s], s.failure_domain))
        chosen.append(site)
        remaining[site] -= 1
        if not remaining[site]:
            del remaining[site]
    return tuple(chosen)


def _choose_releases(
    recent_max: Targets, present: Counter[Site], servers: Sequence[ServerView]
) -> tuple[str, ...]:
    limit = max(1, math.floor(RELEASES_FRACTION * sum(present.values())))
    surplus = {site: count - recent_max.get(site, 0) for site, count in present.items()}
    chosen: list[str] = []
    running = [s for s in servers if s.state is ServerState.RUNNING and not s.fixed]
    for server in sorted(running, key=lambda s: (s.site.cheap, s.id), reverse=True):
        if len(chosen) < limit and surplus[server.site] > 0:
            surplus[server.site] -= 1
            chosen.append(server.id)
    return tuple(chosen)

"""Simulated pool of an ordering experiment: load, servers, requests and outages."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from typing import Any

import attrs

from hickoryloom.configuration import Pool
from hickoryloom.fleet import DemandMeter, ServerState, ServerView, Site

__all__ = ["Outage", "PoolSimulation", "TierLoad"]

HOUR_S = 3600.0


@attrs.frozen
class TierLoad:
    """Offered load of one tier: a sinusoidal wave with one optional burst.

    Attributes:
        tier: Tier; 1 is the highest.
        slots: Slots that the mean load occupies.
        busy_s: Mean seconds for which a request occupies a slot.
        wait_s: Longest wait that meets the target.
        lower: Whether it is a lower tier, which may run on cheap servers.
        swing: Amplitude of the wave as a fraction of `slots`.
        period_s: Period of the wave.
        burst_times: Load factor during the burst.
        burst_start_s: Start of the burst.
        burst_end_s: End of the burst.
    """

    tier: int
    slots: float
    busy_s: float
    wait_s: float
    lower: bool = False
    swing: float = 0.5
    period_s: float = 3600.0
    burst_times: float = 1.0
    burst_start_s: float = 0.0
    burst_end_s: float = 0.0

    def slots_at(self, now: float) -> float:
        """Return the slots that the load occupies at `now`."""
        wave = 1 - self.swing * math.cos(2 * math.pi * now / self.period_s)
        burst = self.burst_times if self.burst_start_s <= now < self.burst_end_s else 1.0
        return self.slots * wave * burst

    def peak_slots(self) -> float:
        """Return the highest number of slots that the load occupies."""
        return self.slots * (1 + self.swing) * self.burst_times

    def mean_slots(self) -> float:
        """Return the mean number of slots that the load occupies outside of the burst."""
        return self.slots


@attrs.frozen
class Outage:
    """A sudden loss of servers whose capacity is unavailable until the outage ends.

    Attributes:
        start_s: Time at which servers are lost.
        end_s: Time from which capacity is available again.
        failure_domain: Affected failure domain; empty for all.
        cheap_only: Whether only cheap servers are affected.
    """

    start_s: float
    end_s: float
    failure_domain: str = ""
    cheap_only: bool = False

    def affects(self, site: Site) -> bool:
        """Return whether the outage affects a kind of capacity."""
        domain = self.failure_domain in ("", site.failure_domain)
        return domain and (site.cheap or not self.cheap_only)


@attrs.define
class _Request:
    load: TierLoad
    arrived: float
    left_s: float
    server: str = ""
    done: float = 0.0


@attrs.define
class _Server:
    id: str
    site: Site
    ready: float
    busy: int = 0
    leaving: bool = False


class PoolSimulation:
    """Simulates requests on the servers of a pool in steps of one second.

    Args:
        pool: Configuration of the pool.
        loads: Offered load by tier.
        outages: Outages.
        loads_per_minute: Model loads per minute that the weight store allows.
        rng: Random source of arrivals and durations.
        lower: Tiers that may run on cheap servers.
    """

    def __init__(
        self,
        pool: Pool,
        loads: Sequence[TierLoad],
        outages: Sequence[Outage],
        loads_per_minute: float,
        rng: random.Random,
        lower: frozenset[int],
    ) -> None:
        self._pool = pool
        self._loads = sorted(loads, key=lambda load: load.tier)
        self._outages = outages
        self._grant_interval_s = 60.0 / loads_per_minute
        self._next_grant = 0.0
        self._rng = rng
        self._lower = lower
        self._servers: dict[str, _Server] = {}
        self._last_number = 0
        self._running: list[_Request] = []
        self._waiting: dict[int, deque[_Request]] = {load.tier: deque() for load in self._loads}
        self._met = dict.fromkeys(self._waiting, 0)
        self._arrived = dict.fromkeys(self._waiting, 0)
        self._spending = 0.0
        self._lower_tier_s = {True: 0.0, False: 0.0}
        self._interrupted = {True: 0, False: 0}
        self._orders = 0
        self._longest_load_wait_s = 0.0
        self._now = 0.0

    def order(self, now: float, site: Site, loaded: bool = False) -> bool:
        """Order one server and return whether capacity was available."""
        if any(o.affects(site) and o.start_s <= now < o.end_s for o in self._outages):
            return False
        self._last_number += 1
        ready = now if loaded else self._schedule_load(now)
        name = f"s{self._last_number}"
        self._servers[name] = _Server(name, site, ready)
        self._orders += 0 if loaded else 1
        return True

    def release(self, names: Sequence[str]) -> None:
        """Drain servers; each is removed once it is idle."""
        for name in names:
            self._servers[name].leaving = True

    def replace_lost(self, now: float, targets: dict[Site, int]) -> None:
        """Order the servers that are missing from a fixed number."""
        for site, count in targets.items():
            present = sum(1 for server in self._servers.values() if server.site == site)
            for _ in range(count - present):
                self.order(now, site)

    def views(self) -> tuple[ServerView, ...]:
        """Return the servers in the form that the planner takes."""
        return tuple(
            ServerView(server.id, server.site, self._server_state(server))
            for server in self._servers.values()
        )

    def step(self, now: float, meter: DemandMeter) -> None:
        """Advance the simulation by one second."""
        self._now = now
        self._apply_outages(now)
        self._finish_requests(now, meter)
        self._draw_arrivals(now, meter)
        self._drop_expired(now, meter)
        self._start_waiting(now, meter)
        self._add_spending()

    def figures(self) -> dict[str, Any]:
        """Return the figures of the run."""
        total_lower_s = self._lower_tier_s[True] + self._lower_tier_s[False]
        return {
            "attainment": {
                tier: self._met[tier] / max(1, self._arrived[tier]) for tier in self._met
            },
            "spending": self._spending,
            "cheap_part": self._lower_tier_s[True] / total_lower_s if total_lower_s else 0.0,
            "interrupted_upper": self._interrupted[False],
            "interrupted_lower": self._interrupted[True],
            "orders": self._orders,
            "longest_load_wait_s": self._longest_load_wait_s,
        }

    def _schedule_load(self, now: float) -> float:
        grant_at = max(now, self._next_grant)
        self._next_grant = grant_at + self._grant_interval_s
        self._longest_load_wait_s = max(self._longest_load_wait_s, grant_at - now)
        return grant_at + self._pool.load_s

    def _server_state(self, server: _Server) -> ServerState:
        if server.leaving:
            return ServerState.LEAVING
        return ServerState.RUNNING if server.ready <= self._now else ServerState.STARTING

    def _apply_outages(self, now: float) -> None:
        for outage in self._outages:
            if outage.start_s == now:
                lost = {s.id for s in self._servers.values() if outage.affects(s.site)}
                self._servers = {id: s for id, s in self._servers.items() if id not in lost}
                self._requeue_interrupted(lost)

    def _requeue_interrupted(self, lost: set[str]) -> None:
        """Requeue the requests of lost servers at the head, so that they resume elsewhere first."""
        for request in [r for r in self._running if r.server in lost]:
            self._running.remove(request)
            self._interrupted[request.load.tier in self._lower] += 1
            request.left_s = max(1.0, request.done - self._now)
            self._waiting[request.load.tier].appendleft(request)

    def _finish_requests(self, now: float, meter: DemandMeter) -> None:
        for request in [r for r in self._running if r.done <= now]:
            self._running.remove(request)
            self._servers[request.server].busy -= 1
            tier = request.load.tier
            self._met[tier] += 1
            meter.record_end(now, self._pool.name, tier, request.load.busy_s, True)
        drained = [s.id for s in self._servers.values() if s.leaving and not s.busy]
        for name in drained:
            del self._servers[name]

    def _draw_arrivals(self, now: float, meter: DemandMeter) -> None:
        for load in self._loads:
            for _ in range(self._poisson(load.slots_at(now) / load.busy_s)):
                left_s = self._rng.expovariate(1 / load.busy_s)
                self._waiting[load.tier].append(_Request(load, now, left_s))
                self._arrived[load.tier] += 1
                meter.record_arrival(now, self._pool.name, load.tier)

    def _drop_expired(self, now: float, meter: DemandMeter) -> None:
        for tier, queue in self._waiting.items():
            while queue and now - queue[0].arrived > queue[0].load.wait_s and not queue[0].server:
                queue.popleft()
                meter.record_refusal(now, self._pool.name, tier)

    def _start_waiting(self, now: float, meter: DemandMeter) -> None:
        """Start requests by tier; lower tiers prefer cheap servers, upper tiers regular ones."""
        free = [s for s in self._servers.values() if s.ready <= now and not s.leaving]
        for tier, queue in self._waiting.items():
            prefers_cheap = tier in self._lower
            for server in sorted(free, key=lambda s: (s.site.cheap != prefers_cheap, s.busy)):
                while queue and server.busy < self._pool.slots:
                    self._start_on(now, queue.popleft(), server, meter)

    def _start_on(self, now: float, request: _Request, server: _Server, meter: DemandMeter) -> None:
        if not request.server:
            meter.record_start(now, self._pool.name, request.load.tier)
        request.server = server.id
        request.done = now + request.left_s
        server.busy += 1
        self._running.append(request)
        if request.load.tier in self._lower:
            self._lower_tier_s[server.site.cheap] += request.left_s

    def _add_spending(self) -> None:
        for server in self._servers.values():
            price = self._pool.cheap_price if server.site.cheap else self._pool.price
            self._spending += price / HOUR_S

    def _poisson(self, mean: float) -> int:
        limit, count, product = math.exp(-mean), 0, self._rng.random()
        while product > limit:
            count += 1
            product *= self._rng.random()
        return count

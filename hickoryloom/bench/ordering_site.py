"""Servers, requests and losses of an ordering experiment."""

from __future__ import annotations

import math
import random
from collections import deque
from collections.abc import Sequence
from typing import Any

import attrs

from hickoryloom.configuration import Pool
from hickoryloom.fleet import DemandMeter, ServerState, ServerView, Site

__all__ = ["OrderingSite", "Outage", "TierLoad"]

HOUR_S = 3600.0


@attrs.frozen
class TierLoad:
    """Offered load of one tier: a slow wave with bursts on top.

    Attributes:
        tier: 1 is the highest.
        slots: Slots that its mean load needs.
        busy_s: Mean seconds for which a request holds a slot.
        wait_s: Longest wait that meets the target.
        lower: Whether its work may run on cheap servers.
        swing: Amplitude of the wave as a part of `slots`.
        period_s: Length of the wave.
        burst_times: Factor during the burst.
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
        """Return the slots that the load needs at `now`."""
        wave = 1 - self.swing * math.cos(2 * math.pi * now / self.period_s)
        burst = self.burst_times if self.burst_start_s <= now < self.burst_end_s else 1.0
        return self.slots * wave * burst

    def peak_slots(self) -> float:
        """Return the most slots that the load needs."""
        return self.slots * (1 + self.swing) * self.burst_times

    def mean_slots(self) -> float:
        """Return the slots that the load needs on average, bursts left out."""
        return self.slots


@attrs.frozen
class Outage:
    """Capacity that goes at once and can't be had for a while.

    Attributes:
        start_s: When it goes.
        end_s: From when it can be had again.
        failure_domain: Where; empty for everywhere.
        cheap_only: Whether only cheap servers are concerned.
    """

    start_s: float
    end_s: float
    failure_domain: str = ""
    cheap_only: bool = False

    def concerns(self, site: Site) -> bool:
        """Tell whether a kind of capacity is concerned."""
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


class OrderingSite:
    """Runs requests on servers, one second at a time.

    Args:
        pool: The pool.
        loads: Offered load.
        outages: Losses.
        loads_per_minute: Rate of the weight store.
        source: Random source of arrivals and durations.
        lower: Tiers that may run on cheap servers.
    """

    def __init__(
        self,
        pool: Pool,
        loads: Sequence[TierLoad],
        outages: Sequence[Outage],
        loads_per_minute: float,
        source: random.Random,
        lower: frozenset[int],
    ) -> None:
        self._pool = pool
        self._loads = sorted(loads, key=lambda load: load.tier)
        self._outages = outages
        self._grant_interval_s = 60.0 / loads_per_minute
        self._next_grant = 0.0
        self._random = source
        self._lower = lower
        self._servers: dict[str, _Server] = {}
        self._numbers = 0
        self._running: list[_Request] = []
        self._waiting: dict[int, deque[_Request]] = {load.tier: deque() for load in self._loads}
        self._met = dict.fromkeys(self._waiting, 0)
        self._arrived = dict.fromkeys(self._waiting, 0)
        self._spending = 0.0
        self._lower_s = {True: 0.0, False: 0.0}
        self._interrupted = {True: 0, False: 0}
        self._orders = 0
        self._longest_load_wait_s = 0.0
        self._now = 0.0

    def order(self, now: float, site: Site, at_once: bool = False) -> bool:
        """Order one server; return False when none can be had."""
        if any(o.concerns(site) and o.start_s <= now < o.end_s for o in self._outages):
            return False
        self._numbers += 1
        ready = now if at_once else self._load_ready(now)
        name = f"s{self._numbers}"
        self._servers[name] = _Server(name, site, ready)
        self._orders += 0 if at_once else 1
        return True

    def release(self, names: Sequence[str]) -> None:
        """Drain servers; each goes once it is idle."""
        for name in names:
            self._servers[name].leaving = True

    def replace_lost(self, now: float, wanted: dict[Site, int]) -> None:
        """Order what is missing of a fixed size."""
        for site, count in wanted.items():
            present = sum(1 for server in self._servers.values() if server.site == site)
            for _ in range(count - present):
                self.order(now, site)

    def views(self) -> tuple[ServerView, ...]:
        """Return the servers as the planner sees them."""
        return tuple(
            ServerView(server.id, server.site, self._state(server))
            for server in self._servers.values()
        )

    def step(self, now: float, meter: DemandMeter) -> None:
        """Go on by one second."""
        self._now = now
        self._lose(now)
        self._finish(now, meter)
        self._arrive(now, meter)
        self._give_up(now, meter)
        self._start(now, meter)
        self._pay()

    def figures(self) -> dict[str, Any]:
        """Return the measures."""
        lower_s = self._lower_s[True] + self._lower_s[False]
        return {
            "attainment": {
                tier: self._met[tier] / max(1, self._arrived[tier]) for tier in self._met
            },
            "spending": self._spending,
            "cheap_part": self._lower_s[True] / lower_s if lower_s else 0.0,
            "interrupted_upper": self._interrupted[False],
            "interrupted_lower": self._interrupted[True],
            "orders": self._orders,
            "longest_load_wait_s": self._longest_load_wait_s,
        }

    def _load_ready(self, now: float) -> float:
        grant = max(now, self._next_grant)
        self._next_grant = grant + self._grant_interval_s
        self._longest_load_wait_s = max(self._longest_load_wait_s, grant - now)
        return grant + self._pool.load_s

    def _state(self, server: _Server) -> ServerState:
        if server.leaving:
            return ServerState.LEAVING
        return ServerState.RUNNING if server.ready <= self._now else ServerState.STARTING

    def _lose(self, now: float) -> None:
        for outage in self._outages:
            if outage.start_s == now:
                lost = {s.id for s in self._servers.values() if outage.concerns(s.site)}
                self._servers = {n: s for n, s in self._servers.items() if n not in lost}
                self._interrupt(lost)

    def _interrupt(self, lost: set[str]) -> None:
        """Resume the work of lost servers elsewhere, before all that waits."""
        for request in [r for r in self._running if r.server in lost]:
            self._running.remove(request)
            self._interrupted[request.load.tier in self._lower] += 1
            request.left_s = max(1.0, request.done - self._now)
            self._waiting[request.load.tier].appendleft(request)

    def _finish(self, now: float, meter: DemandMeter) -> None:
        for request in [r for r in self._running if r.done <= now]:
            self._running.remove(request)
            self._servers[request.server].busy -= 1
            tier = request.load.tier
            self._met[tier] += 1
            meter.finished(now, self._pool.name, tier, request.load.busy_s, True)
        gone = [s.id for s in self._servers.values() if s.leaving and not s.busy]
        for name in gone:
            del self._servers[name]

    def _arrive(self, now: float, meter: DemandMeter) -> None:
        for load in self._loads:
            for _ in range(self._poisson(load.slots_at(now) / load.busy_s)):
                left_s = self._random.expovariate(1 / load.busy_s)
                self._waiting[load.tier].append(_Request(load, now, left_s))
                self._arrived[load.tier] += 1
                meter.arrived(now, self._pool.name, load.tier)

    def _give_up(self, now: float, meter: DemandMeter) -> None:
        for tier, queue in self._waiting.items():
            while queue and now - queue[0].arrived > queue[0].load.wait_s and not queue[0].server:
                queue.popleft()
                meter.refused(now, self._pool.name, tier)

    def _start(self, now: float, meter: DemandMeter) -> None:
        """Start by tier: lower ones on cheap servers first, upper ones on ordinary ones first."""
        free = [s for s in self._servers.values() if s.ready <= now and not s.leaving]
        for tier, queue in self._waiting.items():
            lower = tier in self._lower
            for server in sorted(free, key=lambda s: (s.site.cheap != lower, s.busy)):
                while queue and server.busy < self._pool.slots:
                    self._run(now, queue.popleft(), server, meter)

    def _run(self, now: float, request: _Request, server: _Server, meter: DemandMeter) -> None:
        if not request.server:
            meter.started(now, self._pool.name, request.load.tier)
        request.server = server.id
        request.done = now + request.left_s
        server.busy += 1
        self._running.append(request)
        if request.load.tier in self._lower:
            self._lower_s[server.site.cheap] += request.left_s

    def _pay(self) -> None:
        for server in self._servers.values():
            price = self._pool.cheap_price if server.site.cheap else self._pool.price
            self._spending += price / HOUR_S

    def _poisson(self, mean: float) -> int:
        limit, count, product = math.exp(-mean), 0, self._random.random()
        while product > limit:
            count += 1
            product *= self._random.random()
        return count

"""Computes how many backend servers a load needs and splits them by kind and failure domain.

Engines process prompts one at a time, and all running streams wait meanwhile. Bursts of two or
three times the usual load build up within a second, faster than a new backend server starts. The
plan therefore targets a low utilization and consists mostly of reclaimable backend servers, which
are cheap enough to keep on standby. They are distributed over failure domains, since a whole
failure domain may be reclaimed at once. This module performs no I/O.
"""

from __future__ import annotations

import math
from collections import deque

import attrs

from hickoryloom.catalog import ScalingBounds

__all__ = ["DemandPeak", "Plan", "plan_servers"]

TARGET_UTILIZATION = 0.2
"""Target fraction of time that an engine processes prompts; a threefold burst still fits."""

MAX_UTILIZATION = 0.9
"""Utilization above which the queue of an engine grows for as long as the load lasts."""

MIN_STANDBY_FRACTION = 0.8
"""Minimum fraction of the upper bound that runs: a burst ends before a new server has started."""

REQUEST_OVERHEAD_S = 0.015
"""Engine time that a request takes in addition to its prompt."""

ON_DEMAND_FRACTION = 0.1
"""Fraction of the size that can't be reclaimed."""

PEAK_WINDOW_S = 25.0
"""Time for which a peak counts, since bursts recur before stopping and restarting pays off."""


@attrs.frozen
class Plan:
    """Number of backend servers planned for each failure domain.

    Attributes:
        on_demand: Number that can't be reclaimed, by failure domain.
        reclaimable: Number that can be reclaimed, by failure domain.
        minimum: Total number of any kind below which the queue grows under the current load.
    """

    on_demand: dict[str, int]
    reclaimable: dict[str, int]
    minimum: int = 0

    @property
    def total(self) -> int:
        """Total number of backend servers in the plan."""
        return sum(self.on_demand.values()) + sum(self.reclaimable.values())


@attrs.define
class DemandPeak:
    """The highest demand in the last `PEAK_WINDOW_S` seconds."""

    _samples: deque[tuple[float, float]] = attrs.field(factory=deque)

    def add(self, busy: float, now: float) -> float:
        """Add the number of currently busy engines and return the peak."""
        while self._samples and self._samples[0][0] <= now - PEAK_WINDOW_S:
            self._samples.popleft()
        while self._samples and self._samples[-1][1] <= busy:
            self._samples.pop()
        self._samples.append((now, busy))
        return self._samples[0][1]


def plan_servers(
    peak_busy: float,
    bounds: ScalingBounds,
    domains: tuple[str, ...],
    current_busy: float = 0.0,
    evacuated: frozenset[str] = frozenset(),
) -> Plan:
    """Plan the backend servers for a load.

    Evacuated failure domains are not in the plan; the others run their part, up to the bounds.

    Args:
        peak_busy: Number of engines that the peak load would keep fully busy.
        bounds: Bounds and prices.
        domains: Failure domains in which the service may run.
        current_busy: Number of engines that the current load keeps fully busy.
        evacuated: Failure domains in which none are planned.
    """
    upper = bounds.max_servers * len(domains)
    lower = max(1, bounds.min_servers * len(domains), math.ceil(MIN_STANDBY_FRACTION * upper))
    size = min(upper, max(lower, math.ceil(peak_busy / TARGET_UTILIZATION) + 1))
    domains = tuple(domain for domain in domains if domain not in evacuated)
    size = min(size, bounds.max_servers * len(domains))
    minimum = min(size, math.ceil(current_busy / MAX_UTILIZATION))
    by_price = sorted(domains, key=lambda domain: (bounds.prices.get(domain, 1.0), domain))
    if bounds.reclaimable_price is None:
        return Plan(
            _distribute(size, by_price, bounds.max_servers), dict.fromkeys(domains, 0), minimum
        )
    on_demand_size = max(1, round(ON_DEMAND_FRACTION * size))
    on_demand = _distribute(on_demand_size, by_price, bounds.max_servers)
    room = {domain: bounds.max_servers - on_demand[domain] for domain in domains}
    reclaimable = _distribute(size - on_demand_size, by_price, bounds.max_servers, room)
    for domain in domains:
        reclaimable[domain] = max(reclaimable[domain], bounds.min_servers - on_demand[domain])
    return Plan(on_demand, reclaimable, minimum)


def _distribute(
    number: int, domains: list[str], max_each: int, room: dict[str, int] | None = None
) -> dict[str, int]:
    """Distribute evenly over failure domains, starting with the first.

    Args:
        number: Number to distribute.
        domains: Failure domains in order of preference.
        max_each: Maximum in each failure domain, unless `room` is given.
        room: Maximum by failure domain.
    """
    counts = dict.fromkeys(domains, 0)
    limits = room or dict.fromkeys(domains, max_each)
    remaining = number
    while remaining > 0 and any(counts[domain] < limits[domain] for domain in domains):
        for domain in domains:
            if remaining > 0 and counts[domain] < limits[domain]:
                counts[domain] += 1
                remaining -= 1
    return counts

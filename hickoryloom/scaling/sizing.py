"""The number of backend servers that a load needs, and its split over kinds and places; pure.

The load: prompts that engines read one after the other while all running streams wait, in bursts of
twice or three times the usual within a second, sooner than a new backend server has started. So the
size goes by a low share of busy time, and most of it is reclaimable capacity, which is cheap enough
to stand by; it is spread over failure domains, since one of them may be taken away as a whole.
"""

from __future__ import annotations

import math
from collections import deque

import attrs

from hickoryloom.catalog import ScalingBounds

__all__ = ["DemandPeak", "Plan", "plan_servers"]

TARGET_BUSY = 0.2
"""Share of its time that an engine reads prompts: a burst of three times still fits."""

MOST_BUSY = 0.9
"""Share of its time above which an engine's queue grows as long as the load lasts."""

STANDBY_PART = 0.8
"""Least part of the bound that runs: a burst is over before a new backend server has started."""

REQUEST_BUSY_S = 0.015
"""Engine time that a request takes besides reading its prompt."""

FIRM_PART = 0.1
"""Part of the size that can't be reclaimed."""

PEAK_MEMORY_S = 25.0
"""A peak counts for so long: bursts come back sooner than it pays to start anew."""


@attrs.frozen
class Plan:
    """Backend servers wanted in each failure domain.

    Attributes:
        firm: Those that can't be reclaimed.
        reclaimable: Those that can.
        least: Backend servers of any kind without which the queue of now would only grow.
    """

    firm: dict[str, int]
    reclaimable: dict[str, int]
    least: int = 0

    @property
    def total(self) -> int:
        """All backend servers of the plan."""
        return sum(self.firm.values()) + sum(self.reclaimable.values())


@attrs.define
class DemandPeak:
    """The highest demand of the last `PEAK_MEMORY_S`."""

    _seen: deque[tuple[float, float]] = attrs.field(factory=deque)

    def add(self, busy: float, now: float) -> float:
        """Take in the busy engines of now and return the peak."""
        while self._seen and self._seen[0][0] <= now - PEAK_MEMORY_S:
            self._seen.popleft()
        while self._seen and self._seen[-1][1] <= busy:
            self._seen.pop()
        self._seen.append((now, busy))
        return self._seen[0][1]


def plan_servers(
    busy: float, bounds: ScalingBounds, domains: tuple[str, ...], busy_now: float = 0.0
) -> Plan:
    """Return the backend servers for a load.

    Args:
        busy: Engines that the peak load would keep busy all the time.
        bounds: Bounds and prices.
        domains: Failure domains in which the service may run.
        busy_now: Engines that the load of now keeps busy all the time.
    """
    most = bounds.max_servers * len(domains)
    fewest = max(1, bounds.min_servers * len(domains), math.ceil(STANDBY_PART * most))
    size = min(most, max(fewest, math.ceil(busy / TARGET_BUSY) + 1))
    least = min(size, math.ceil(busy_now / MOST_BUSY))
    by_price = sorted(domains, key=lambda domain: (bounds.prices.get(domain, 1.0), domain))
    if bounds.reclaimable_price is None:
        return Plan(_spread(size, by_price, bounds.max_servers), dict.fromkeys(domains, 0), least)
    firm_size = max(1, round(FIRM_PART * size))
    firm = _spread(firm_size, by_price, bounds.max_servers)
    room = {domain: bounds.max_servers - firm[domain] for domain in domains}
    reclaimable = _spread(size - firm_size, by_price, bounds.max_servers, room)
    for domain in domains:
        reclaimable[domain] = max(reclaimable[domain], bounds.min_servers - firm[domain])
    return Plan(firm, reclaimable, least)


def _spread(
    number: int, domains: list[str], most: int, room: dict[str, int] | None = None
) -> dict[str, int]:
    """Spread evenly over failure domains, the cheaper ones first."""
    spread = dict.fromkeys(domains, 0)
    limits = room or dict.fromkeys(domains, most)
    left = number
    while left > 0 and any(spread[domain] < limits[domain] for domain in domains):
        for domain in domains:
            if left > 0 and spread[domain] < limits[domain]:
                spread[domain] += 1
                left -= 1
    return spread

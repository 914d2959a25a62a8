"""Counts requests by customer and window, and the demand of services; pure but for its clock."""

from __future__ import annotations

import math
from collections import Counter

from hickoryloom.clock import Clock
from hickoryloom.metering.messages import InstanceCounts, ServiceDemand

__all__ = ["UsageMeter"]

KEPT_WINDOWS = 12
"""Windows kept, the newest first: a report that is late by an outage still finds its counts."""

DEMAND_MEMORY_S = 3.0
"""Time over which demand is averaged: shorter than a burst, longer than its noise."""


class _Rate:
    """An average per second that forgets exponentially."""

    def __init__(self, now: float) -> None:
        self._level = 0.0
        self._updated = now

    def add(self, amount: float, now: float) -> None:
        self._level = self.per_s(now) + amount / DEMAND_MEMORY_S
        self._updated = now

    def per_s(self, now: float) -> float:
        return self._level * math.exp((self._updated - now) / DEMAND_MEMORY_S)


class UsageMeter:
    """Counts of this process.

    Windows follow the time of day as it was when the process started, carried on by the steady
    clock: the time of day may jump.

    Args:
        clock: Source of time.
        window_s: Seconds of one window.
    """

    def __init__(self, clock: Clock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._offset_s = clock.wall() - clock.monotonic()
        self._windows: dict[int, Counter[str]] = {}
        self._rates: dict[tuple[str, str], _Rate] = {}

    def wall(self) -> float:
        """Return the Unix time, in seconds, that windows follow."""
        return self._clock.monotonic() + self._offset_s

    def window_at(self, monotonic: float) -> int:
        """Return the number of the window at a monotonic time."""
        return math.floor((monotonic + self._offset_s) / self._window_s)

    def count(self, customer: str, began: float) -> None:
        """Count one request that a backend server began at monotonic time `began`."""
        window = self.window_at(began)
        self._windows.setdefault(window, Counter())[customer] += 1
        for old in [known for known in self._windows if known <= window - KEPT_WINDOWS]:
            del self._windows[old]

    def note_demand(self, service: str, prompt_tokens: int) -> None:
        """Count a request that was sent on, with the tokens that it makes an engine read."""
        self._add(service, "requests", 1.0)
        self._add(service, "tokens", float(prompt_tokens))

    def note_refused(self, service: str) -> None:
        """Count a request that found no backend server."""
        self._add(service, "refused", 1.0)

    def counts(self) -> InstanceCounts:
        """Return all that is kept."""
        services = {service for service, _ in self._rates}
        return InstanceCounts(
            written=self.wall(),
            windows={str(window): dict(counts) for window, counts in self._windows.items()},
            demand={service: self._demand(service) for service in services},
        )

    def _demand(self, service: str) -> ServiceDemand:
        return ServiceDemand(
            requests_per_s=self._per_s(service, "requests"),
            prompt_tokens_per_s=self._per_s(service, "tokens"),
            refused_per_s=self._per_s(service, "refused"),
        )

    def _add(self, service: str, what: str, amount: float) -> None:
        now = self._clock.monotonic()
        self._rates.setdefault((service, what), _Rate(now)).add(amount, now)

    def _per_s(self, service: str, what: str) -> float:
        rate = self._rates.get((service, what))
        return 0.0 if rate is None else round(rate.per_s(self._clock.monotonic()), 2)

"""Counts requests by customer and window, and measures the demand for services.

This module performs no I/O except reading the clock.
"""

from __future__ import annotations

import math
from collections import Counter

from hickoryloom.clock import Clock
from hickoryloom.metering.messages import InstanceCounts, ServiceDemand

__all__ = ["UsageMeter"]

RETAINED_WINDOWS = 12
"""Number of most recent windows retained, so that a report delayed by an outage still
finds its counts."""

DEMAND_TIME_CONSTANT_S = 3.0
"""Time constant of the demand average: shorter than a burst, longer than random fluctuations."""


class _DecayingRate:
    """Exponentially decaying average of a rate per second."""

    def __init__(self, now: float) -> None:
        self._rate_per_s = 0.0
        self._updated = now

    def add(self, amount: float, now: float) -> None:
        self._rate_per_s = self.per_s(now) + amount / DEMAND_TIME_CONSTANT_S
        self._updated = now

    def per_s(self, now: float) -> float:
        return self._rate_per_s * math.exp((self._updated - now) / DEMAND_TIME_CONSTANT_S)


class UsageMeter:
    """Usage counts of this process.

    Windows follow the wall clock as read at the start of the process and advanced by the monotonic
    clock, because the wall clock may jump.

    Args:
        clock: Source of time.
        window_s: Length of a window in seconds.
    """

    def __init__(self, clock: Clock, window_s: float) -> None:
        self._clock = clock
        self._window_s = window_s
        self._offset_s = clock.wall() - clock.monotonic()
        self._windows: dict[int, Counter[str]] = {}
        self._rates: dict[tuple[str, str], _DecayingRate] = {}

    def wall(self) -> float:
        """Return the Unix time, in seconds, that determines windows."""
        return self._clock.monotonic() + self._offset_s

    def window_at(self, monotonic: float) -> int:
        """Return the number of the window at a monotonic time."""
        return math.floor((monotonic + self._offset_s) / self._window_s)

    def count(self, customer: str, started_at: float) -> None:
        """Count one request that a backend server started at monotonic time `started_at`."""
        window = self.window_at(started_at)
        self._windows.setdefault(window, Counter())[customer] += 1
        for expired in [known for known in self._windows if known <= window - RETAINED_WINDOWS]:
            del self._windows[expired]

    def record_demand(self, service: str, prompt_tokens: int) -> None:
        """Record a forwarded request and the prompt tokens that an engine must process for it."""
        self._add(service, "requests", 1.0)
        self._add(service, "tokens", float(prompt_tokens))

    def record_refused(self, service: str) -> None:
        """Record a request for which no backend server was available."""
        self._add(service, "refused", 1.0)

    def counts(self) -> InstanceCounts:
        """Return the counts of all retained windows and the current demand."""
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

    def _add(self, service: str, quantity: str, amount: float) -> None:
        now = self._clock.monotonic()
        self._rates.setdefault((service, quantity), _DecayingRate(now)).add(amount, now)

    def _per_s(self, service: str, quantity: str) -> float:
        rate = self._rates.get((service, quantity))
        return 0.0 if rate is None else round(rate.per_s(self._clock.monotonic()), 2)

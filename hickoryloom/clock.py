"""Clocks that are passed to decision logic, so that tests can control the time."""

from __future__ import annotations

import time
from typing import Protocol

import attrs

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """A source of time, in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never decrease and include the time during suspension."""

    def wall(self) -> float:
        """Return seconds since the epoch; operators may change it, so no lease depends on it."""


class SystemClock:
    """The clocks of the machine."""

    def monotonic(self) -> float:
        """Return seconds since boot, including time in suspension."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


@attrs.define
class ManualClock:
    """A clock that only advances when `advance` is called."""

    now: float = 0.0
    epoch: float = 1_800_000_000.0

    def monotonic(self) -> float:
        """Return the seconds that the clock was advanced so far."""
        return self.now

    def wall(self) -> float:
        """Return the epoch plus the seconds that the clock was advanced so far."""
        return self.epoch + self.now

    def advance(self, seconds: float) -> None:
        """Advance both clocks by `seconds`."""
        self.now += seconds

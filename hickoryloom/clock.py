"""Clocks that decision logic is handed, so that tests can drive time."""

from __future__ import annotations

import time
from typing import Protocol

import attrs

__all__ = ["Clock", "ManualClock", "SystemClock"]


class Clock(Protocol):
    """A source of time, in seconds."""

    def monotonic(self) -> float:
        """Return seconds that never go back and that count a suspended machine."""

    def wall(self) -> float:
        """Return seconds since the epoch; operators may set it, so no right depends on it."""


class SystemClock:
    """The machine's clocks."""

    def monotonic(self) -> float:
        """Return seconds since boot, suspension included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall(self) -> float:
        """Return seconds since the epoch."""
        return time.time()


@attrs.define
class ManualClock:
    """A clock that moves only when told to."""

    now: float = 0.0
    epoch: float = 1_800_000_000.0

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        return self.now

    def wall(self) -> float:
        """Return the epoch plus the seconds advanced so far."""
        return self.epoch + self.now

    def advance(self, seconds: float) -> None:
        """Move both clocks forward by `seconds`."""
        self.now += seconds

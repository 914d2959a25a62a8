"""Retry budget of one instance, a share of the budget of the whole fleet. Performs no I/O."""

from __future__ import annotations

from collections import deque

import attrs

__all__ = ["SharedRetryBudget"]

SAFETY_FACTOR = 0.8
"""Fraction of the fleet-wide budget in use. The rest is reserve, since the request counts of
instances differ."""

DEFAULT_INSTANCES = 10
"""Number of instances assumed until they have been counted."""


@attrs.define
class SharedRetryBudget:
    """Allows retries in proportion to this instance's first attempts within a sliding window.

    Args:
        ratio: Retries allowed per first attempt.
        slack: Additional retries allowed per window, over all instances.
        window_s: Length of the window in seconds.
        instances: Number of instances that share `slack`.
    """

    ratio: float
    slack: float
    window_s: float
    instances: int = DEFAULT_INSTANCES
    _first_sends: deque[float] = attrs.field(factory=deque)
    _retries: deque[float] = attrs.field(factory=deque)

    def record_first_send(self, now: float) -> None:
        """Count the first attempt of a request."""
        self._first_sends.append(now)

    def try_acquire(self, now: float) -> bool:
        """Reserve one retry; return False if the budget is exhausted."""
        if not self.has_room(now):
            return False
        self._retries.append(now)
        return True

    def has_room(self, now: float) -> bool:
        """Return whether one more retry is allowed."""
        for times in (self._first_sends, self._retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
        allowed = SAFETY_FACTOR * (
            self.ratio * len(self._first_sends) + self.slack / max(1, self.instances)
        )
        return len(self._retries) + 1 <= allowed

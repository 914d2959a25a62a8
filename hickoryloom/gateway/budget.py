"""An instance's part of the retries that all instances may make together; pure."""

from __future__ import annotations

from collections import deque

import attrs

__all__ = ["RetryWindow"]

SAFETY = 0.8
"""Part of the common budget that is used: instances see different numbers of requests."""

UNKNOWN_INSTANCES = 10
"""Instances assumed until they are counted."""


@attrs.define
class RetryWindow:
    """Allows retries in proportion to own first sends over a sliding window.

    Args:
        ratio: Retries for each first send.
        slack: Retries beside these in one window, over all instances.
        window_s: Seconds of the window.
    """

    ratio: float
    slack: float
    window_s: float
    instances: int = UNKNOWN_INSTANCES
    _first: deque[float] = attrs.field(factory=deque)
    _again: deque[float] = attrs.field(factory=deque)

    def note_first(self, now: float) -> None:
        """Count a first send."""
        self._first.append(now)

    def take(self, now: float) -> bool:
        """Take leave for one more send of a request; False when the budget is used up."""
        for times in (self._first, self._again):
            while times and times[0] <= now - self.window_s:
                times.popleft()
        allowed = SAFETY * (self.ratio * len(self._first) + self.slack / max(1, self.instances))
        if len(self._again) + 1 > allowed:
            return False
        self._again.append(now)
        return True

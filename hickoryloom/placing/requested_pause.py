"""Pauses that backend servers ask for when they turn requests away.

This answers the load of a burst that fills a backend server: the server states for how long it
wants no request. Until then it gets none, and afterwards the load comes back in steps, so that the
requests that waited don't fill it again at once.
"""

from __future__ import annotations

import attrs

from hickoryloom.placing.stated_number import parse_stated_number

__all__ = ["RequestedPause", "parse_pause"]

MAX_PAUSE_S = 120.0
"""Longest pause that is granted; a faulty value must not take a backend server out for good."""

UNREADABLE_PAUSE_S = 1.0
"""Pause for a value that is not a number of seconds."""

STEP_S = 0.25
"""Time after which the number of requests allowed in flight doubles, after a pause."""

STEPS = 8


def parse_pause(value: str) -> tuple[float, bool]:
    """Return the pause in seconds that a value asks for, and whether the value was sound."""
    seconds, sound = parse_stated_number(value, MAX_PAUSE_S)
    return (UNREADABLE_PAUSE_S if seconds is None else seconds), sound


@attrs.define
class RequestedPause:
    """The latest pause of one backend server.

    Attributes:
        until: Monotonic time of its end, in seconds.
    """

    until: float

    def extend(self, until: float) -> None:
        """End the pause at `until`, unless it ends later."""
        self.until = max(self.until, until)

    def is_over(self, now: float) -> bool:
        """Return whether the load has come back in full."""
        return now >= self.until + STEPS * STEP_S

    def rest_s(self, now: float) -> float:
        """Return the seconds for which no request must be sent; 0 after the pause."""
        return max(0.0, self.until - now)

    def allows(self, in_flight: int, now: float) -> bool:
        """Return whether a further request may be sent beside those in flight."""
        if now < self.until:
            return False
        return self.is_over(now) or in_flight < 2 ** int((now - self.until) / STEP_S)

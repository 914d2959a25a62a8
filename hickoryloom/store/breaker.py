"""Jittered back-off, and a circuit breaker that bounds attempts during an outage."""

from __future__ import annotations

import enum
from random import Random

__all__ = ["Backoff", "BreakerState", "CircuitBreaker"]

FIRST_DELAY_S = 0.25
MAX_DELAY_S = 4.0
FAILURES_TO_OPEN = 4
PROBE_TIMEOUT_S = 30.0


class Backoff:
    """Delays between tries that double up to a bound, each at random from its upper half.

    Args:
        random: Source of the jitter.
        first_s: Bound of the first delay, in seconds.
        max_s: Bound of all delays, in seconds.
    """

    def __init__(
        self, random: Random, first_s: float = FIRST_DELAY_S, max_s: float = MAX_DELAY_S
    ) -> None:
        self._random = random
        self._first_s = first_s
        self._max_s = max_s
        self._bound_s = first_s

    def next_s(self) -> float:
        """Return the delay before the next try, in seconds."""
        bound_s = self._bound_s
        self._bound_s = min(self._max_s, bound_s * 2)
        return self._random.uniform(bound_s / 2, bound_s)

    def reset(self) -> None:
        """Begin anew after a success."""
        self._bound_s = self._first_s


class BreakerState(enum.Enum):
    """Whether calls pass."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Stops calls after repeated failures and lets one probe through at a time.

    Pure: time and randomness are handed in.

    Args:
        random: Source of the jitter.
        max_delay_s: Longest pause between probes, in seconds.
    """

    def __init__(self, random: Random, max_delay_s: float = MAX_DELAY_S) -> None:
        self._backoff = Backoff(random, max_s=max_delay_s)
        self._failures = 0
        self._retry_at = 0.0
        self._probe_began = 0.0
        self._state = BreakerState.CLOSED

    @property
    def state(self) -> BreakerState:
        """Whether calls pass, are held back, or a probe is out."""
        return self._state

    def wait_s(self, now: float) -> float:
        """Return 0 if a call may be made now, else the seconds until a probe may be."""
        if self._state is BreakerState.CLOSED:
            return 0.0
        if self._state is BreakerState.OPEN:
            return max(0.0, self._retry_at - now)
        return max(0.0, PROBE_TIMEOUT_S - (now - self._probe_began))

    def begin(self, now: float) -> bool:
        """Ask leave for one call; when it is a probe, no other passes until it has ended."""
        if self.wait_s(now) > 0:
            return False
        if self._state is not BreakerState.CLOSED:
            self._state = BreakerState.HALF_OPEN
            self._probe_began = now
        return True

    def succeeded(self) -> bool:
        """Note an answer; return whether it ended an outage."""
        recovered = self._state is not BreakerState.CLOSED
        self._state = BreakerState.CLOSED
        self._failures = 0
        self._backoff.reset()
        return recovered

    def withdrew(self, now: float) -> None:
        """Note a call that ended without telling anything of the platform."""
        if self._state is BreakerState.HALF_OPEN:
            self._state = BreakerState.OPEN
            self._retry_at = now

    def failed(self, now: float) -> None:
        """Note a call without an answer."""
        self._failures += 1
        if self._state is BreakerState.CLOSED and self._failures < FAILURES_TO_OPEN:
            return
        self._state = BreakerState.OPEN
        self._retry_at = now + self._backoff.next_s()

"""Exponential backoff with jitter, and a circuit breaker that limits calls during an outage."""

from __future__ import annotations

import enum
from random import Random

__all__ = ["Backoff", "BreakerState", "CircuitBreaker"]

FIRST_DELAY_S = 0.25
MAX_DELAY_S = 4.0
FAILURES_TO_OPEN = 4
PROBE_TIMEOUT_S = 30.0


class Backoff:
    """Exponential delays between attempts, each drawn at random from half its limit to its limit.

    Args:
        random: Source of the jitter.
        first_s: Limit of the first delay, in seconds; it doubles with each attempt.
        max_s: Upper limit of all delays, in seconds.
    """

    def __init__(
        self, random: Random, first_s: float = FIRST_DELAY_S, max_s: float = MAX_DELAY_S
    ) -> None:
        self._random = random
        self._first_s = first_s
        self._max_s = max_s
        self._limit_s = first_s

    def next_delay_s(self) -> float:
        """Return the delay before the next attempt, in seconds."""
        limit_s = self._limit_s
        self._limit_s = min(self._max_s, limit_s * 2)
        return self._random.uniform(limit_s / 2, limit_s)

    def reset(self) -> None:
        """Start again with the first delay after a success."""
        self._limit_s = self._first_s


class BreakerState(enum.Enum):
    """State of a circuit breaker."""

    CLOSED = "closed"
    OPEN = "open"
    HALF_OPEN = "half-open"


class CircuitBreaker:
    """Blocks calls after repeated failures, except for one probe at a time.

    Pure: time and randomness are passed in.

    Args:
        random: Source of the jitter.
        max_delay_s: Longest delay between probes, in seconds.
        probe_timeout_s: Seconds after which a probe without a result no longer blocks the next.
    """

    def __init__(
        self,
        random: Random,
        max_delay_s: float = MAX_DELAY_S,
        probe_timeout_s: float = PROBE_TIMEOUT_S,
    ) -> None:
        self._probe_timeout_s = probe_timeout_s
        self._backoff = Backoff(random, max_s=max_delay_s)
        self._failure_count = 0
        self._retry_at = 0.0
        self._probe_started_at = 0.0
        self._state = BreakerState.CLOSED

    @property
    def state(self) -> BreakerState:
        """Whether calls pass, are blocked, or a probe is in flight."""
        return self._state

    def wait_s(self, now: float) -> float:
        """Return 0 if a call may be made now, else the seconds until the next probe may be sent."""
        if self._state is BreakerState.CLOSED:
            return 0.0
        if self._state is BreakerState.OPEN:
            return max(0.0, self._retry_at - now)
        return max(0.0, self._probe_timeout_s - (now - self._probe_started_at))

    def try_start(self, now: float) -> bool:
        """Return whether a call may be made now; a probe blocks all other calls until it ends."""
        if self.wait_s(now) > 0:
            return False
        if self._state is not BreakerState.CLOSED:
            self._state = BreakerState.HALF_OPEN
            self._probe_started_at = now
        return True

    def record_success(self) -> bool:
        """Record a response; return whether it ended an outage."""
        recovered = self._state is not BreakerState.CLOSED
        self._state = BreakerState.CLOSED
        self._failure_count = 0
        self._backoff.reset()
        return recovered

    def record_cancelled(self, now: float) -> None:
        """Record a call that gave no information on the platform, such as a cancelled one."""
        if self._state is BreakerState.HALF_OPEN:
            self._state = BreakerState.OPEN
            self._retry_at = now

    def record_failure(self, now: float, started_at: float | None = None) -> None:
        """Record a call without a usable response.

        Args:
            now: Monotonic time in seconds.
            started_at: Monotonic time at which the call started. The failure of a call that started
                before the latest probe does not delay the next one.
        """
        self._failure_count += 1
        if (
            self._state is BreakerState.HALF_OPEN
            and started_at is not None
            and started_at < self._probe_started_at
        ):
            return
        if self._state is BreakerState.CLOSED and self._failure_count < FAILURES_TO_OPEN:
            return
        self._state = BreakerState.OPEN
        self._retry_at = now + self._backoff.next_delay_s()

"""Rate limits of calls to the platform: token buckets for reads and writes, a limit on watches."""

from __future__ import annotations

import enum

import attrs

__all__ = ["CallBudget", "CallKind", "CallPriority"]

PLATFORM_WRITES_PER_S = 300.0
PLATFORM_READS_PER_S = 2000.0
FLEET_SHARE = 0.8
INITIAL_PROCESSES = 24
BURST_S = 2.0
MIN_BURST_CALLS = 8.0
MAX_WATCHES = 4


class CallKind(enum.Enum):
    """Kind of a call, which determines its rate limit."""

    READ = "read"
    WRITE = "write"
    WATCH = "watch"


class CallPriority(enum.Enum):
    """Which calls go first when the budget is nearly used up."""

    URGENT = "urgent"
    NORMAL = "normal"
    BACKGROUND = "background"


MAX_WAIT_S = {
    CallPriority.URGENT: 1.0,
    CallPriority.NORMAL: 0.2,
    CallPriority.BACKGROUND: 0.0,
}
RESERVED_PART = {
    CallPriority.URGENT: 0.0,
    CallPriority.NORMAL: 0.1,
    CallPriority.BACKGROUND: 0.3,
}
"""Part of a bucket's capacity that calls of each priority leave to calls of higher priority."""


@attrs.define
class _Bucket:
    rate: float
    tokens: float
    updated_at: float

    @property
    def capacity(self) -> float:
        return max(MIN_BURST_CALLS, self.rate * BURST_S)

    def refill(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)
        self.updated_at = now


class CallBudget:
    """One process's share of the platform's rate limits; pure, the time is passed in.

    Each process gets an equal share of the fleet's calls. A part of each bucket is reserved for
    calls of higher priority, so that lease renewals still pass when claims or status writes have
    used up their part.

    Args:
        now: Monotonic time in seconds.
        processes: Number of processes that share the limits.
        writes_per_s: Writes per second that the platform accepts from the whole fleet.
        reads_per_s: Reads per second that the platform accepts from the whole fleet.
    """

    def __init__(
        self,
        now: float,
        processes: int = INITIAL_PROCESSES,
        writes_per_s: float = PLATFORM_WRITES_PER_S,
        reads_per_s: float = PLATFORM_READS_PER_S,
    ) -> None:
        self._writes_per_s = writes_per_s * FLEET_SHARE
        self._reads_per_s = reads_per_s * FLEET_SHARE
        self._watches = 0
        self._processes = processes
        self._writes = _Bucket(self._writes_per_s / processes, 0.0, now)
        self._reads = _Bucket(self._reads_per_s / processes, 0.0, now)
        self._writes.tokens = self._writes.capacity
        self._reads.tokens = self._reads.capacity

    @property
    def watches(self) -> int:
        """Number of open watches."""
        return self._watches

    def rate(self, kind: CallKind) -> float:
        """Return the calls of one kind that this process may make per second."""
        return self._bucket(kind).rate

    def set_processes(self, processes: int, now: float) -> None:
        """Set the number of processes that share the rate limits.

        Each call reduces the number to no less than half of the previous one, so that a stale or
        incomplete count does not give every process a large share at once.
        """
        self._processes = max(1, processes, self._processes // 2)
        self._set_rate(self._writes, self._writes_per_s / self._processes, now)
        self._set_rate(self._reads, self._reads_per_s / self._processes, now)

    def set_rates(self, writes_per_s: float, reads_per_s: float, now: float) -> None:
        """Set the platform's rate limits for the whole fleet."""
        self._writes_per_s = writes_per_s * FLEET_SHARE
        self._reads_per_s = reads_per_s * FLEET_SHARE
        self._set_rate(self._writes, self._writes_per_s / self._processes, now)
        self._set_rate(self._reads, self._reads_per_s / self._processes, now)

    def acquire(self, kind: CallKind, priority: CallPriority, now: float) -> float | None:
        """Reserve one call in the budget.

        Returns:
            Seconds to wait before making the call, which is reserved already; None if the call
            exceeds the budget, in which case nothing is reserved.
        """
        if kind is CallKind.WATCH and self._watches >= MAX_WATCHES:
            return None
        bucket = self._bucket(kind)
        bucket.refill(now)
        missing = 1.0 + RESERVED_PART[priority] * bucket.capacity - bucket.tokens
        wait_s = max(0.0, missing / bucket.rate)
        if wait_s > MAX_WAIT_S[priority]:
            return None
        bucket.tokens -= 1.0
        if kind is CallKind.WATCH:
            self._watches += 1
        return wait_s

    def release_watch(self) -> None:
        """Release the slot of a watch that has ended."""
        self._watches -= 1

    def retry_after_s(self, kind: CallKind, priority: CallPriority, now: float) -> float:
        """Return the seconds after which a call of this kind would be accepted."""
        bucket = self._bucket(kind)
        bucket.refill(now)
        missing = 1.0 + RESERVED_PART[priority] * bucket.capacity - bucket.tokens
        return max(0.0, missing / bucket.rate)

    def drop_burst(self, now: float) -> None:
        """Drop accumulated tokens, so that the end of an outage does not cause a burst of calls."""
        for bucket in (self._writes, self._reads):
            bucket.refill(now)
            bucket.tokens = min(bucket.tokens, RESERVED_PART[CallPriority.NORMAL] * bucket.capacity)

    def _bucket(self, kind: CallKind) -> _Bucket:
        return self._writes if kind is CallKind.WRITE else self._reads

    def _set_rate(self, bucket: _Bucket, rate: float, now: float) -> None:
        bucket.refill(now)
        bucket.rate = rate
        bucket.tokens = min(bucket.tokens, bucket.capacity)

"""Lease logic of one candidate: a state machine over the platform's answers."""

from __future__ import annotations

import attrs

from hickoryloom.leases.messages import (
    LeaseRecord,
    LeaseTimes,
    ReadStep,
    Right,
    Step,
    WaitStep,
    WriteStep,
)
from hickoryloom.verdict import Applied

__all__ = ["LeaseState"]


@attrs.define
class LeaseState:
    """What one candidate knows of a lease, and what it may do next.

    The right of a holder is counted from before the write that renewed it was sent. A successor
    counts from after it saw the last change, and waits out the duration and the margin. Both
    use only their own monotonic clock, and the platform's versions decide every race: a stale
    read leads at worst to a write that conflicts.

    Args:
        incarnation: The candidate.
        times: Duration, margin and intervals of the lease.
    """

    incarnation: str
    times: LeaseTimes
    _record: LeaseRecord | None = None
    _version: int = 0
    _changed: float | None = None
    _read_at: float | None = None
    _must_read: bool = True
    _highest_term: int = 0
    _attempts: int = 0
    _sent: dict[int, float] = attrs.field(factory=dict)
    _right: Right | None = None
    _renewed: float = 0.0
    _retry_at: float = 0.0
    _released: bool = False
    _resigned_term: int = 0

    @property
    def record(self) -> LeaseRecord | None:
        """The lease as it was seen last; None before the first read or when absent."""
        return self._record

    def right(self, now: float) -> Right | None:
        """Return the right to act at `now`, or None."""
        if self._released or self._right is None or now >= self._right.until:
            return None
        return self._right

    def next_step(self, now: float) -> Step:
        """Return what to do at `now`."""
        if now < self._retry_at:
            return WaitStep(self._retry_at)
        if self._must_read:
            return ReadStep()
        if self._is_mine():
            return self._next_step_of_holder(now)
        return self._next_step_of_candidate(now)

    def on_read(self, now: float, version: int, record: LeaseRecord | None) -> None:
        """Take in an answer to a read that came at `now`; version 0 means no object."""
        self._must_read = False
        self._read_at = now
        if self._changed is None or version != self._version or record != self._record:
            self._changed = now
        self._version = version
        self._record = record
        if record is None:
            self._right = None
            return
        self._highest_term = max(self._highest_term, record.term)
        self._settle_right(record)

    def on_failed_read(self, now: float) -> None:
        """Take in that a read had no answer."""
        self._retry_at = now + self.times.retry_s

    def on_write(self, now: float, step: WriteStep, applied: Applied, version: int = 0) -> None:
        """Take in the fate of a write; `version` counts only when it was applied."""
        if applied is Applied.APPLIED:
            self._version = version
            self._changed = now
            self._record = step.record
            self._highest_term = max(self._highest_term, step.record.term)
            self._settle_right(step.record)
            return
        if applied is Applied.UNKNOWN:
            self._must_read = True
        self._retry_at = now + self.times.retry_s

    def on_conflict(self, now: float) -> None:
        """Take in that the object no longer had the version that a write expected."""
        self._must_read = True
        self._retry_at = now + self.times.retry_s

    def release(self) -> LeaseRecord | None:
        """End the own right for good and return the record that tells so, None when not held."""
        self._released = True
        if not self._is_mine() or self._record is None:
            return None
        return attrs.evolve(self._record, holder="", renewals=self._next_attempt())

    def resign(self, term: int) -> None:
        """End the own right of `term`; it is taken anew only with a higher one."""
        self._resigned_term = max(self._resigned_term, term)
        if self._right is not None and self._right.term <= term:
            self._right = None
        self._must_read = True

    @property
    def version(self) -> int:
        """Version of the object as it was seen last."""
        return self._version

    def _next_step_of_holder(self, now: float) -> Step:
        due = self._renewed + self.times.renew_s
        if now < due:
            return WaitStep(due)
        assert self._record is not None
        renewals = self._next_attempt()
        self._sent[renewals] = now
        return WriteStep(attrs.evolve(self._record, renewals=renewals), self._version)

    def _next_step_of_candidate(self, now: float) -> Step:
        assert self._read_at is not None
        free_at = self._free_at()
        read_due = min(self._read_at + self.times.read_s, max(free_at, self._read_at))
        if now < free_at:
            if now >= read_due:
                return ReadStep()
            return WaitStep(read_due)
        if now - self._read_at > self.times.fresh_s:
            return ReadStep()
        renewals = self._next_attempt()
        self._sent[renewals] = now
        record = LeaseRecord(
            holder=self.incarnation,
            term=self._highest_term + 1,
            duration_s=self.times.duration_s,
            renewals=renewals,
        )
        return WriteStep(record, self._version)

    def _free_at(self) -> float:
        """Return the time from which the lease may be taken."""
        assert self._changed is not None
        if self._record is None:
            return self._changed + self._wait_for_absent()
        if not self._record.holder:
            return self._changed
        duration_s = max(self._record.duration_s, self.times.duration_s)
        return self._changed + duration_s + self.times.margin_s

    def _wait_for_absent(self) -> float:
        if self._highest_term == 0:
            return 0.0
        return self.times.duration_s + self.times.margin_s

    def _is_mine(self) -> bool:
        if self._record is None or self._record.term <= self._resigned_term:
            return False
        return self._record.holder == self.incarnation

    def _settle_right(self, record: LeaseRecord) -> None:
        """Set the right from a record that is known to stand in the platform."""
        if record.holder != self.incarnation or record.term <= self._resigned_term:
            self._right = None
            self._sent.clear()
            return
        sent = self._sent.get(record.renewals)
        if sent is None:
            return
        until = sent + self.times.duration_s - self.times.margin_s
        self._right = Right(record.term, until)
        self._renewed = sent
        self._sent = {n: at for n, at in self._sent.items() if n > record.renewals}

    def _next_attempt(self) -> int:
        last = self._record.renewals if self._record is not None else 0
        self._attempts = max(self._attempts, last) + 1
        return self._attempts

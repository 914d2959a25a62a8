"""State machine of one lease candidate, driven by the platform's responses and free of I/O."""

from __future__ import annotations

import attrs

from hickoryloom.leases.messages import (
    LeaseGrant,
    LeaseRecord,
    LeaseTimes,
    ReadStep,
    Step,
    WaitStep,
    WriteStep,
)
from hickoryloom.store import split_version
from hickoryloom.verdict import Applied

__all__ = ["LeaseState"]

TERMS_PER_ERA = 2**40
"""Greater than any difference between revisions of the store, so that terms of a later era exceed
those of an earlier one, and small enough for terms to fit into 64 bits."""


@attrs.define
class LeaseState:
    """One candidate's knowledge of a lease, from which its next step follows.

    A holder's grant is timed from a moment before it sent the write that renewed the lease. A
    successor's wait, the duration plus the margin, is timed from a moment after it observed the
    last change. Both use only their own monotonic clock. Object versions in the platform decide
    every race, so a stale read causes at worst a write conflict.

    A store that returns from an older copy begins a new era and has lost the lease. Grants of the
    earlier era end as soon as the new one is known, and at the latest when they expire. So every
    candidate waits for a full duration after it first read the lease in the new era, even if the
    copy holds a released lease. Terms contain the era and the version that the holder replaced, so
    that they increase although the copy may hold an older term.

    Args:
        incarnation: Incarnation of the candidate.
        times: Timing parameters of the lease.
        instance: Instance of the candidate. Some receivers reject two holders that act in turn, so
            an instance waits before it takes back a lease that another one has just released.
    """

    incarnation: str
    times: LeaseTimes
    instance: str = ""
    _record: LeaseRecord | None = None
    _version: int = 0
    _changed_at: float | None = None
    _read_at: float | None = None
    _must_read: bool = True
    _highest_term: int = 0
    _last_write_number: int = 0
    _sent_at: dict[int, float] = attrs.field(factory=dict)
    _grant: LeaseGrant | None = None
    _renewed_at: float = 0.0
    _retry_at: float = 0.0
    _released: bool = False
    _resigned_term: int = 0
    _era: int = 0
    _era_known_at: float = 0.0
    _held_into_era: int = 0

    @property
    def record(self) -> LeaseRecord | None:
        """The lease record as last seen; None before the first read or if absent."""
        return self._record

    @property
    def era(self) -> int:
        """The latest known era of the store; 0 if it is not known."""
        return self._era

    @property
    def held_into_era(self) -> int:
        """The latest era that began while this candidate held the lease; 0 if none did."""
        return self._held_into_era

    def on_era(self, now: float, era: int, wall: float) -> None:
        """Handle the begin of a new era of the store; `wall` is the Unix time in seconds."""
        if self.current_grant(now) is not None:
            self._held_into_era = era
        self._era = era
        self._era_known_at = wall
        self._grant = None
        self._record = None
        self._version = 0
        self._changed_at = None
        self._sent_at.clear()
        self._must_read = True

    def current_grant(self, now: float) -> LeaseGrant | None:
        """Return the grant that is valid at `now`, or None."""
        if self._released or self._grant is None or now >= self._grant.until:
            return None
        return self._grant

    def next_step(self, now: float) -> Step:
        """Return the step to execute at `now`."""
        if now < self._retry_at:
            return WaitStep(self._retry_at)
        if self._must_read:
            return ReadStep()
        if self._is_holder():
            return self._next_holder_step(now)
        return self._next_candidate_step(now)

    def on_read(self, now: float, version: int, record: LeaseRecord | None) -> None:
        """Handle the response to a read, received at `now`; version 0 means absent."""
        self._must_read = False
        self._read_at = now
        if self._changed_at is None or version != self._version or record != self._record:
            self._changed_at = now
        self._version = version
        self._record = record
        if record is None:
            self._grant = None
            return
        self._highest_term = max(self._highest_term, record.term)
        self._update_grant(record)

    def on_failed_read(self, now: float) -> None:
        """Handle a failed read."""
        self._retry_at = now + self.times.retry_s

    def on_write(self, now: float, step: WriteStep, applied: Applied, version: int = 0) -> None:
        """Handle the outcome of a write; `version` is used only if it was applied."""
        if applied is Applied.APPLIED and step.record.era == self._era:
            self._version = version
            self._changed_at = now
            self._record = step.record
            self._highest_term = max(self._highest_term, step.record.term)
            self._update_grant(step.record)
            return
        if applied is not Applied.NOT_APPLIED:
            self._must_read = True
        self._retry_at = now + self.times.retry_s

    def on_conflict(self, now: float) -> None:
        """Handle a write rejected because the object's version had changed."""
        self._must_read = True
        self._retry_at = now + self.times.retry_s

    def release(self) -> LeaseRecord | None:
        """Give up the grant permanently.

        Returns the record that releases the lease, or None if the lease is not held.
        """
        self._released = True
        if not self._is_holder() or self._record is None:
            return None
        return attrs.evolve(self._record, holder="", renewals=self._next_write_number())

    def resign(self, term: int) -> None:
        """Give up the grant of `term`; the lease can be acquired again only with a higher term."""
        self._resigned_term = max(self._resigned_term, term)
        if self._grant is not None and self._grant.term <= term:
            self._grant = None
        self._must_read = True

    @property
    def version(self) -> int:
        """Version of the object as last seen."""
        return self._version

    def _next_holder_step(self, now: float) -> Step:
        renew_at = self._renewed_at + self.times.renew_s
        if now < renew_at:
            return WaitStep(renew_at)
        assert self._record is not None
        renewals = self._next_write_number()
        self._sent_at[renewals] = now
        return WriteStep(attrs.evolve(self._record, renewals=renewals), self._version)

    def _next_candidate_step(self, now: float) -> Step:
        assert self._read_at is not None
        available_at = self._available_at()
        read_at = min(self._read_at + self.times.read_s, max(available_at, self._read_at))
        if now < available_at:
            if now >= read_at:
                return ReadStep()
            return WaitStep(read_at)
        if now - self._read_at > self.times.max_read_age_s:
            return ReadStep()
        renewals = self._next_write_number()
        self._sent_at[renewals] = now
        record = LeaseRecord(
            holder=self.incarnation,
            term=self._next_term(),
            duration_s=self.times.duration_s,
            renewals=renewals,
            instance=self.instance,
            previous_instance=self._previous_instance(),
            era=self._era,
            era_known_at=self._era_start(),
        )
        return WriteStep(record, self._version)

    def _available_at(self) -> float:
        """Return the time from which the lease may be acquired."""
        assert self._changed_at is not None
        if self._record is None:
            return self._changed_at + self._absence_wait_s()
        released = not self._record.holder and self._record.era == self._era
        if released and not self._returns_after_another():
            return self._changed_at
        duration_s = max(self._record.duration_s, self.times.duration_s)
        return self._changed_at + duration_s + self.times.margin_s

    def _next_term(self) -> int:
        if not self._era:
            return self._highest_term + 1
        revision = split_version(self._version)[1]
        return max(self._highest_term, self._era * TERMS_PER_ERA + revision) + 1

    def _era_start(self) -> float:
        """Return the Unix time by which the current era had begun, according to its holders."""
        if self._record is not None and self._record.era == self._era:
            return self._record.era_known_at
        return self._era_known_at

    def _previous_instance(self) -> str:
        """Return the last instance other than this one that held the lease."""
        if self._record is None:
            return ""
        if self._record.instance == self.instance:
            return self._record.previous_instance
        return self._record.instance

    def _returns_after_another(self) -> bool:
        """Return whether this instance held the lease right before the last holder."""
        assert self._record is not None
        if not self.instance or self._record.instance == self.instance:
            return False
        return self._record.previous_instance == self.instance

    def _absence_wait_s(self) -> float:
        if self._highest_term == 0 and not self._era:
            return 0.0
        return self.times.duration_s + self.times.margin_s

    def _is_holder(self) -> bool:
        return self._record is not None and self._is_own(self._record)

    def _is_own(self, record: LeaseRecord) -> bool:
        """Return whether a record entitles this candidate to act in the current era."""
        return (
            record.holder == self.incarnation
            and record.term > self._resigned_term
            and record.era == self._era
        )

    def _update_grant(self, record: LeaseRecord) -> None:
        """Update the grant from a record that is known to be stored in the platform."""
        if not self._is_own(record):
            self._grant = None
            self._sent_at.clear()
            return
        sent_at = self._sent_at.get(record.renewals)
        if sent_at is None:
            return
        until = sent_at + self.times.duration_s - self.times.margin_s
        self._grant = LeaseGrant(record.term, until, record.era, record.era_known_at)
        self._renewed_at = sent_at
        self._sent_at = {n: at for n, at in self._sent_at.items() if n > record.renewals}

    def _next_write_number(self) -> int:
        last = self._record.renewals if self._record is not None else 0
        self._last_write_number = max(self._last_write_number, last) + 1
        return self._last_write_number

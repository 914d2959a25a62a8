"""Messages of leases."""

from __future__ import annotations

import attrs

__all__ = ["LeaseRecord", "LeaseTimes", "ReadStep", "Right", "Step", "WaitStep", "WriteStep"]

MARGIN_PART = 0.1
RENEW_PART = 0.25
READ_PART = 0.4
RETRY_PART = 0.05
FRESH_PART = 0.05


@attrs.frozen
class LeaseRecord:
    """A lease as it stands in the platform's objects.

    Attributes:
        holder: Incarnation of the holder; empty after a release.
        term: Counts up with each new holder; the fencing number of its orders.
        duration_s: Seconds for which the holder may act after a renewal.
        renewals: Number of the write, unlike for each attempt, so that a reader can tell which
            of its writes took effect.
    """

    holder: str
    term: int
    duration_s: float
    renewals: int = 0


@attrs.frozen
class Right:
    """A holder's right to act, to be asked for at the moment of use.

    Attributes:
        term: Fencing number.
        until: Monotonic time of this process at which the right ends, margin deducted.
    """

    term: int
    until: float


@attrs.frozen
class LeaseTimes:
    """Times of a lease, in seconds.

    Attributes:
        duration_s: From a renewal on.
        margin_s: Deducted by the holder and added by the successor. Clocks may differ in rate
            by `margin_s / duration_s`.
        renew_s: Between renewals.
        read_s: Between reads of a candidate.
        retry_s: After a call without an answer.
        fresh_s: Age up to which a read need not be repeated before the lease is taken.
    """

    duration_s: float
    margin_s: float
    renew_s: float
    read_s: float
    retry_s: float
    fresh_s: float

    @classmethod
    def of(cls, duration_s: float) -> LeaseTimes:
        """Return the times that go with a duration."""
        return cls(
            duration_s=duration_s,
            margin_s=duration_s * MARGIN_PART,
            renew_s=duration_s * RENEW_PART,
            read_s=duration_s * READ_PART,
            retry_s=duration_s * RETRY_PART,
            fresh_s=duration_s * FRESH_PART,
        )


@attrs.frozen
class ReadStep:
    """Read the lease's object now."""


@attrs.frozen
class WriteStep:
    """Write `record` now, if the object still has version `if_version` (0: if it is absent)."""

    record: LeaseRecord
    if_version: int


@attrs.frozen
class WaitStep:
    """Do nothing until monotonic time `until`."""

    until: float


Step = ReadStep | WriteStep | WaitStep

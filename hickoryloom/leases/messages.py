"""Data types of leases: the stored record, timing and the steps of a candidate."""

from __future__ import annotations

import attrs

__all__ = ["LeaseRecord", "LeaseTimes", "ReadStep", "LeaseGrant", "Step", "WaitStep", "WriteStep"]

MARGIN_RATIO = 0.1
RENEW_INTERVAL_RATIO = 0.25
READ_INTERVAL_RATIO = 0.4
RETRY_DELAY_RATIO = 0.05
MAX_READ_AGE_RATIO = 0.05


@attrs.frozen
class LeaseRecord:
    """A lease as stored in the platform's object store.

    Attributes:
        holder: Incarnation of the holder; empty after a release.
        term: Incremented with each new holder; the fencing token of its orders.
        duration_s: Time for which the holder may act after a renewal, in seconds.
        renewals: Number of the write. It differs for every attempted write, so that a reader can
            tell which of its writes took effect.
        instance: Instance of the holder, or of the last one after a release.
        previous_instance: The last other instance that held the lease before.
        era: Era of the store in which it was written. A record of an earlier era comes from a copy
            and may lack later holders.
        era_known_at: Unix time at which the first holder of the era knew of it, in seconds.
    """

    holder: str
    term: int
    duration_s: float
    renewals: int = 0
    instance: str = ""
    previous_instance: str = ""
    era: int = 0
    era_known_at: float = 0.0


@attrs.frozen
class LeaseGrant:
    """A holder's permission to act under the lease; query it again before every use.

    Attributes:
        term: Fencing token.
        until: Expiry on this process's monotonic clock, in seconds, with the margin deducted.
        era: Era of the store in which the lease was written.
        era_known_at: Unix time by which that era had begun, in seconds.
    """

    term: int
    until: float
    era: int = 0
    era_known_at: float = 0.0


@attrs.frozen
class LeaseTimes:
    """Timing parameters of a lease, in seconds.

    Attributes:
        duration_s: Validity of the lease after a renewal.
        margin_s: Safety margin that the holder deducts and a successor adds. It tolerates clock
            rates that differ by up to `margin_s / duration_s`.
        renew_s: Interval between renewals.
        read_s: Interval between reads by a candidate.
        retry_s: Delay after a failed call.
        max_read_age_s: Maximum age of the last read when a candidate acquires the lease; an older
            read is repeated first.
    """

    duration_s: float
    margin_s: float
    renew_s: float
    read_s: float
    retry_s: float
    max_read_age_s: float

    @classmethod
    def from_duration(cls, duration_s: float) -> LeaseTimes:
        """Derive the timing parameters from the duration of the lease."""
        return cls(
            duration_s=duration_s,
            margin_s=duration_s * MARGIN_RATIO,
            renew_s=duration_s * RENEW_INTERVAL_RATIO,
            read_s=duration_s * READ_INTERVAL_RATIO,
            retry_s=duration_s * RETRY_DELAY_RATIO,
            max_read_age_s=duration_s * MAX_READ_AGE_RATIO,
        )


@attrs.frozen
class ReadStep:
    """Read the lease object now."""


@attrs.frozen
class WriteStep:
    """Write `record` now if the object still has version `if_version`; 0 means absent."""

    record: LeaseRecord
    if_version: int


@attrs.frozen
class WaitStep:
    """Wait until monotonic time `until`."""

    until: float


Step = ReadStep | WriteStep | WaitStep

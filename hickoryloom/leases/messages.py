"""Messages of leases."""

from __future__ import annotations

import attrs

__all__ = ["LeaseRecord", "Right"]


@attrs.frozen
class LeaseRecord:
    """A lease as it stands in the platform's objects.

    Attributes:
        holder: Incarnation of the holder; empty after a release.
        term: Counts up with each new holder; the fencing number of its orders.
        duration_s: Seconds for which the holder may act after a renewal.
        renewals: Counts renewals, so that each one changes the object.
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

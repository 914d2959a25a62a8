"""Age of the configuration view, and what a view of that age may be used for. Performs no I/O."""

from __future__ import annotations

import attrs

__all__ = ["Confirmation", "ViewAge"]

REVOKE_MARGIN_S = 0.5
"""Allows for the time between the check and the start of work at the backend server."""

READY_AGE_FRACTION = 0.55
"""Fraction of `revoke_s` beyond which the instance reports that it is not ready, since another
instance then serves callers better."""


@attrs.frozen
class Confirmation:
    """A read of the store that returned a version of the catalog's object.

    Attributes:
        version: Version of the object in the store.
        confirmed_at: Monotonic time at which the read was sent at the latest, in seconds.
    """

    version: int
    confirmed_at: float


@attrs.define
class ViewAge:
    """Decides from the age of the view whether its keys may still be trusted.

    A key that was withdrawn after the view was read is still part of it. The age counts from the
    time at which the confirming read was sent, on a clock that includes system suspension.

    Args:
        revoke_s: Seconds within which a withdrawn key must stop working.
    """

    revoke_s: float
    _confirmed_at: float | None = None

    @property
    def confirmed_at(self) -> float | None:
        """Monotonic time at which the view was last known to be current; None before the first."""
        return self._confirmed_at

    def confirm(self, sent_at: float) -> None:
        """Record that a read sent at `sent_at` returned the newest version."""
        if self._confirmed_at is None or sent_at > self._confirmed_at:
            self._confirmed_at = sent_at

    def age(self, now: float) -> float:
        """Return the seconds since the view was last known to be current."""
        return float("inf") if self._confirmed_at is None else now - self._confirmed_at

    def allows_keys(self, now: float) -> bool:
        """Return whether a request with a key may be forwarded."""
        return self.age(now) <= self.revoke_s - REVOKE_MARGIN_S

    def ready_for_callers(self, now: float) -> bool:
        """Return whether the load balancer should keep sending callers to this instance."""
        return self.age(now) <= self.revoke_s * READY_AGE_FRACTION

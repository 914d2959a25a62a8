"""How old the view of the configuration is, and what may be done with a view that old; pure."""

from __future__ import annotations

import attrs

__all__ = ["ViewAge"]

REVOKE_MARGIN_S = 0.5
"""Covers the time from the check to the backend server's start of work."""

READY_PART = 0.55
"""Part of the bound after which callers are better served by another instance."""


@attrs.define
class ViewAge:
    """Tells whether a key may still be trusted.

    A key that was withdrawn after the view was taken is still in it. The view is as old as the
    moment at which the read that confirmed it was sent, on a clock that counts suspension.

    Args:
        revoke_s: Seconds after its withdrawal within which a key must stop working.
    """

    revoke_s: float
    _confirmed: float | None = None

    def confirm(self, sent: float) -> None:
        """Take in that a read sent at `sent` told the newest version."""
        if self._confirmed is None or sent > self._confirmed:
            self._confirmed = sent

    def age(self, now: float) -> float:
        """Return the seconds since the view was known to be the newest."""
        return float("inf") if self._confirmed is None else now - self._confirmed

    def trusts_keys(self, now: float) -> bool:
        """Return whether a request with a key may be sent on."""
        return self.age(now) <= self.revoke_s - REVOKE_MARGIN_S

    def fit_for_callers(self, now: float) -> bool:
        """Return whether the balancer should go on sending callers here."""
        return self.age(now) <= self.revoke_s * READY_PART

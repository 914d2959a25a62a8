"""Requests that hold a slot, and the choice of those to preempt."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.admission.messages import Admitted

__all__ = ["Running", "choose_victim"]


@attrs.define(eq=False)
class Running:
    """One request that holds a slot.

    Attributes:
        admitted: What its caller was told.
        resumable: Whether its answer may be cut and continued later.
        preempted: Whether it was told to give its slot back.
    """

    admitted: Admitted
    resumable: bool
    preempted: bool = False

    @property
    def tier(self) -> int:
        """Tier of its class."""
        return self.admitted.request.tier


def choose_victim(running: Iterable[Running], tier: int) -> Running | None:
    """Return the request whose preemption for `tier` loses least, or None.

    Only strictly lower tiers outside of their reserved share are taken, and no request that may
    not be repeated. Resumable ones go first, then the latest begun.
    """
    candidates = [
        found
        for found in running
        if found.tier > tier
        and not found.preempted
        and not found.admitted.reserved
        and found.admitted.request.idempotent
    ]
    if not candidates:
        return None
    return max(candidates, key=lambda found: (found.resumable, found.tier, found.admitted.started))

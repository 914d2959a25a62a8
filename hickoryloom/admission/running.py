"""Running requests and the selection of a preemption victim."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.admission.messages import Admitted

__all__ = ["Running", "choose_victim"]


@attrs.define(eq=False)
class Running:
    """A request that holds a slot.

    Attributes:
        admitted: The admission that was returned to the caller.
        resumable: Whether the response may be interrupted and continued later.
        preempted: Whether the request has been asked to release its slot.
    """

    admitted: Admitted
    resumable: bool
    preempted: bool = False

    @property
    def tier(self) -> int:
        """Tier of the request's class."""
        return self.admitted.request.tier


def choose_victim(running: Iterable[Running], tier: int) -> Running | None:
    """Return the request whose preemption for `tier` wastes the least work, or None.

    Candidates are idempotent requests of strictly lower tiers that run outside of their reserve.
    Resumable requests are preferred, then lower tiers, then later starts.
    """
    candidates = [
        candidate
        for candidate in running
        if candidate.tier > tier
        and not candidate.preempted
        and not candidate.admitted.reserved
        and candidate.admitted.request.idempotent
    ]
    if not candidates:
        return None
    return max(
        candidates,
        key=lambda candidate: (candidate.resumable, candidate.tier, candidate.admitted.started),
    )

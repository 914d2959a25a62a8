"""Makes a duty's calls while the right to them holds."""

from __future__ import annotations

from collections.abc import Callable

import logbook
from result import Err

from hickoryloom.duties.messages import DutyCall, DutyOutcome
from hickoryloom.http import JsonAnswer, JsonClient
from hickoryloom.leases import LeaseKeeper, Right
from hickoryloom.logs import log_event

__all__ = ["DutyCaller"]

CALL_TIMEOUT_S = 1.5
"""Longer than slow answers take, shorter than a lease lasts."""

CONNECTIONS = 16
"""Orders for all failure domains of a region, of both kinds, go side by side."""

log = logbook.Logger("hickoryloom.duties")


class DutyCaller:
    """Sends a call only if the lease is held at the moment of the write.

    Args:
        address: `host:port` that takes the calls.
        keeper: Keeper of the duty's lease.
    """

    def __init__(self, address: str, keeper: LeaseKeeper) -> None:
        self._http = JsonClient(address, timeout_s=CALL_TIMEOUT_S, connections=CONNECTIONS)
        self._keeper = keeper

    def right(self) -> Right | None:
        """Return the right to act now, or None."""
        return self._keeper.right()

    def call(
        self, call: DutyCall, right: Right, read: Callable[[JsonAnswer], DutyOutcome]
    ) -> DutyOutcome:
        """Make one call under a right.

        Args:
            call: The call.
            right: The right whose term the call carries.
            read: Decodes an answer.
        """
        answer = self._http.call(
            "POST", call.path, call.body, headers=call.headers, guard=self._keeper.guard(right)
        )
        if isinstance(answer, Err):
            failed = answer.err_value
            outcome = DutyOutcome.REJECTED if failed.refused_by_guard else DutyOutcome.UNKNOWN
            detail = failed.detail
        else:
            outcome = read(answer.ok_value)
            detail = f"status {answer.ok_value.status}"
        log_event(
            log, "duty-call", path=call.path, term=right.term, outcome=outcome.value, detail=detail
        )
        if outcome is DutyOutcome.FENCED:
            self._keeper.resign(right)
        return outcome

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

"""HTTP client for the calls of a duty, guarded by its lease."""

from __future__ import annotations

from collections.abc import Callable

import logbook
from result import Err

from hickoryloom.duties.messages import DutyCall, DutyOutcome
from hickoryloom.http import JsonAnswer, JsonClient
from hickoryloom.leases import LeaseKeeper, Right
from hickoryloom.logs import log_event

__all__ = ["DutyClient"]

CALL_TIMEOUT_S = 1.5
"""Longer than slow responses take and shorter than the duration of a lease."""

MAX_CONNECTIONS = 16
"""Allows orders of both kinds for all failure domains of a region to be sent concurrently."""

log = logbook.Logger("hickoryloom.duties")


class DutyClient:
    """Sends a call only if the lease is still held at the moment of writing the request.

    Args:
        address: `host:port` to which the calls are sent.
        keeper: Holds the lease of the duty.
    """

    def __init__(self, address: str, keeper: LeaseKeeper) -> None:
        self._http = JsonClient(address, timeout_s=CALL_TIMEOUT_S, connections=MAX_CONNECTIONS)
        self._keeper = keeper

    def right(self) -> Right | None:
        """Return the current right to act, or None if the lease is not held."""
        return self._keeper.right()

    def call(
        self, call: DutyCall, right: Right, read: Callable[[JsonAnswer], DutyOutcome]
    ) -> DutyOutcome:
        """Make one call and log its outcome.

        If the receiver rejects the call because it has seen a higher term, the process resigns
        from the lease.

        Args:
            call: Call to make.
            right: Right under which the call is made; the call carries its term.
            read: Decodes the response.
        """
        response = self._http.call(
            "POST", call.path, call.body, headers=call.headers, guard=self._keeper.guard(right)
        )
        if isinstance(response, Err):
            failed = response.err_value
            outcome = DutyOutcome.REJECTED if failed.refused_by_guard else DutyOutcome.UNKNOWN
            detail = failed.detail
        else:
            outcome = read(response.ok_value)
            detail = f"status {response.ok_value.status}"
        log_event(
            log, "duty-call", path=call.path, term=right.term, outcome=outcome.value, detail=detail
        )
        if outcome is DutyOutcome.FENCED:
            self._keeper.resign(right)
        return outcome

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

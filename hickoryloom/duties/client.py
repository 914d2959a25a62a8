"""HTTP client for the calls of a duty, guarded by its lease."""

from __future__ import annotations

from collections.abc import Callable

import logbook
from result import Err

from hickoryloom.duties.messages import DutyCall, DutyOutcome
from hickoryloom.http import JsonClient, JsonResponse
from hickoryloom.leases import LeaseGrant, LeaseManager
from hickoryloom.logs import log_event

__all__ = ["DutyClient"]

CALL_TIMEOUT_S = 1.5
"""Longer than slow responses take and shorter than the duration of a lease."""

MIN_CALL_TIMEOUT_S = 0.05
"""Timeout of a call whose grant is about to expire; the guard rejects it after the expiry."""

MAX_CONNECTIONS = 16
"""Allows orders of both kinds for all failure domains of a region to be sent concurrently."""

log = logbook.Logger("hickoryloom.duties")


class DutyClient:
    """Sends a call only if the lease is still held at the moment of writing the request.

    Args:
        address: `host:port` to which the calls are sent.
        lease_manager: Holds the lease of the duty.
    """

    def __init__(self, address: str, lease_manager: LeaseManager) -> None:
        self._http = JsonClient(address, timeout_s=CALL_TIMEOUT_S, connections=MAX_CONNECTIONS)
        self._lease_manager = lease_manager

    def current_grant(self) -> LeaseGrant | None:
        """Return the current grant to act, or None if the lease is not held."""
        return self._lease_manager.current_grant()

    @property
    def held_into_era(self) -> int:
        """The latest era of the store that began while the lease was held; 0 if none did."""
        return self._lease_manager.held_into_era

    def call(
        self, call: DutyCall, grant: LeaseGrant, read: Callable[[JsonResponse], DutyOutcome]
    ) -> DutyOutcome:
        """Make one call and log its outcome.

        If the receiver rejects the call because it has seen a higher term, the process resigns
        from the lease.

        Args:
            call: Call to make.
            grant: Lease grant under which the call is made; the call carries its term.
            read: Decodes the response.
        """
        current = self._lease_manager.current_grant() or grant
        left_s = current.until - self._lease_manager.now()
        response = self._http.call(
            "POST",
            call.path,
            call.body,
            timeout_s=min(CALL_TIMEOUT_S, max(MIN_CALL_TIMEOUT_S, left_s)),
            headers=call.headers,
            guard=self._lease_manager.guard(grant),
        )
        if isinstance(response, Err):
            failed = response.err_value
            outcome = DutyOutcome.REJECTED if failed.refused_by_guard else DutyOutcome.UNKNOWN
            detail = failed.detail
        else:
            outcome = read(response.ok_value)
            detail = f"status {response.ok_value.status}"
        log_event(
            log, "duty-call", path=call.path, term=grant.term, outcome=outcome.value, detail=detail
        )
        if outcome is DutyOutcome.FENCED:
            self._lease_manager.resign(grant)
        return outcome

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

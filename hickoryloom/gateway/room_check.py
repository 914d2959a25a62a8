"""Checks whether a new request may take capacity of its service while that is short."""

from __future__ import annotations

from hickoryloom.catalog import Customer
from hickoryloom.contention import NewRequest
from hickoryloom.gateway.context import GatewayContext
from hickoryloom.gateway.crash_guard import CrashGuard
from hickoryloom.gateway.messages import Refusal
from hickoryloom.gateway.request_log import RequestLog
from hickoryloom.gateway.send_checks import Refuse
from hickoryloom.placing import Placement, PlacementRequest

__all__ = ["RoomCheck"]


class RoomCheck:
    """Check that precedes the first send of one request.

    Args:
        context: Dependencies shared by all requests.
        log: Log of the request.
        customer: The customer that is billed; None on a route that requires no key.
        request: The request.
        deadline: Monotonic time at which it times out, in seconds.
        guard: Provides the digest by which a request that its caller sends again is recognized.
        applies: Whether the request competes for capacity: it is neither taken up nor handed over.
        refuse: Builds the refusal.
    """

    def __init__(
        self,
        context: GatewayContext,
        log: RequestLog,
        customer: Customer | None,
        request: PlacementRequest,
        deadline: float,
        guard: CrashGuard,
        applies: bool,
        refuse: Refuse,
    ) -> None:
        self._contention = context.contention
        self._placer = context.placer
        self._log = log
        self._customer = customer
        self._request = request
        self._deadline = deadline
        self._guard = guard
        self._applies = applies and context.contention.is_on
        self._refuse = refuse

    @property
    def work(self) -> float:
        """Work of the request, comparable with that of others at the same service."""
        return float(self._request.prompt_tokens or 1)

    def check(self, placement: Placement, now: float) -> Refusal | None:
        """Return the refusal of a new request that must leave its place to others."""
        if not self._applies or self._customer is None:
            return None
        self._applies = False
        contention, server = self._contention, placement.server
        customer, urgency = self._customer.name, self._request.urgency
        returned = contention.takes_returning(self._digest, now)
        contention.record_asked(server.service, customer, self.work, now, urgency, returned)
        occupancy = self._placer.occupancy(server.id, now)
        expected_s = placement.expected_s
        if not self._request.prompt_tokens:
            expected_s = contention.work_times.wait_s(server.service, occupancy, server.slots)
        refused = contention.check(
            NewRequest(
                server.service,
                customer,
                urgency,
                occupancy,
                expected_s,
                self._deadline - now,
                returned,
            ),
            now,
        )
        if refused is None:
            return None
        contention.returning.record_refused(self._digest(), now)
        self._log.log_short_of_room(server.service, urgency, returned, refused)
        return self._refuse(refused.reason, refused.wait_s)

    def _digest(self) -> str:
        return self._guard.digest

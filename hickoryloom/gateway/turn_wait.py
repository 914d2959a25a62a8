"""Waits for a turn at a cold server."""

from __future__ import annotations

import gevent

from hickoryloom.catalog import Route
from hickoryloom.discovery import BackendServer
from hickoryloom.gateway.context import GatewayContext
from hickoryloom.gateway.request_log import RequestLog
from hickoryloom.placing import COLD_DELAY_S, PlacementRequest, Ticket

__all__ = ["TurnWait"]

TURN_CHECK_S = 0.005
"""Shortest wait for a turn at a cold server, while others that come first are about to take
theirs."""

MAX_TURN_CHECK_S = 0.1
"""Longest wait before the estimate of the next turn is renewed: servers become warm, and more
urgent requests arrive."""


class TurnWait:
    """The wait of one request for its turn at a cold server.

    Args:
        context: Dependencies shared by all requests.
        log: Log of the request.
        route: Route of the request.
        arrived: Monotonic time of its arrival, in seconds.
        deadline: Monotonic time at which it times out, in seconds.
    """

    def __init__(
        self,
        context: GatewayContext,
        log: RequestLog,
        route: Route,
        arrived: float,
        deadline: float,
    ) -> None:
        self._clock = context.clock
        self._cold = context.cold
        self._discovery = context.discovery
        self._log = log
        self._route = route
        self._arrived = arrived
        self._deadline = deadline
        self._ticket: Ticket | None = None
        self._since = arrived

    @property
    def is_waiting(self) -> bool:
        """Whether the request has a place in the queue for turns."""
        return self._ticket is not None

    def must_yield(self, server: BackendServer, request: PlacementRequest, now: float) -> bool:
        """Return whether others get a turn at a server before this request."""
        if not self._cold.is_active:
            return False
        return self._cold.must_yield(server, request, self._ticket, now)

    def wait(
        self,
        request: PlacementRequest,
        excluded: frozenset[str],
        resume_after: int | None,
        now: float,
    ) -> bool:
        """Wait for a turn at a cold server if the request can still meet its target then.

        Args:
            request: The request.
            excluded: Ids of servers that must not be chosen again.
            resume_after: Id of the last forwarded event; None before the first.
            now: Monotonic time in seconds.

        Returns:
            Whether to try again.
        """
        cold = self._cold
        if not cold.is_active:
            return False
        if self._ticket is None:
            self._ticket = cold.join(request, self._arrived)
            self._since = now
        wait_s = cold.next_turn_s(request, self._ticket, excluded, now)
        if wait_s is None:
            self.end()
            return False
        # The callers of a stream wait for its next event as for its first one.
        begun_at = self._arrived if resume_after is None else self._since
        target_at = begun_at + self._route.target_s - COLD_DELAY_S
        if now + wait_s > min(target_at, self._deadline):
            cold.record_refused()
            return False
        gevent.sleep(min(max(wait_s, TURN_CHECK_S), MAX_TURN_CHECK_S))
        return True

    def end(self) -> None:
        """Give up the place in the queue; idempotent."""
        if self._ticket is None:
            return
        self._cold.leave(self._ticket)
        self._ticket = None
        waited_s = self._clock.monotonic() - self._since
        if waited_s >= TURN_CHECK_S:
            self._log.log_turn(waited_s)

    def has_lost_turn(self, server: BackendServer, request: PlacementRequest) -> bool:
        """Return whether a server takes no request now only because it is cold."""
        now = self._clock.monotonic()
        if not self._cold.is_active or not self._discovery.is_usable(server):
            return False
        return self._cold.wait_s(server, request, now) > 0

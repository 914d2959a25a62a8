"""Wait of a request while it is examined whether its service can be reached."""

from __future__ import annotations

import gevent

from hickoryloom.catalog import Route
from hickoryloom.gateway.context import GatewayContext

__all__ = ["ReachWait"]

MAX_WAIT_S = 0.1
"""Longest wait for the examination. It takes two round trips; a path on which it takes longer
doesn't reset connections."""

CHECK_S = 0.002


class ReachWait:
    """Holds back a send that would lose the request if its service can't be reached.

    Args:
        context: Dependencies shared by all requests.
        service: The service of the request.
        route: Its route.
    """

    def __init__(self, context: GatewayContext, service: str, route: Route) -> None:
        self._context = context
        self._service = service
        self._route = route
        self._deadline: float | None = None

    def wait(self, sends: int, now: float) -> bool:
        """Wait while the service is examined; return False if the request may be sent.

        A first send that may be repeated doesn't wait: it can be sent again if it is lost.

        Args:
            sends: Number of sends of the request so far.
            now: Monotonic time in seconds.
        """
        if not self._context.reach.is_in_doubt(self._service):
            return False
        if self._route.repeatable and not sends:
            return False
        if self._deadline is None:
            self._deadline = now + MAX_WAIT_S
        if now >= self._deadline:
            return False
        gevent.sleep(CHECK_S)
        return True

"""Finds out by trial connections when a service can be reached again."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from random import Random

import logbook

from hickoryloom.clock import Clock
from hickoryloom.discovery import BackendServer
from hickoryloom.loops import TaskLoop
from hickoryloom.reach.state import Reach
from hickoryloom.upstream import AttemptError, ConnectionPool

__all__ = ["ReachProbe"]

INTERVAL_S = 0.4
"""First interval between trial connections to a service that is unreachable."""

MAX_INTERVAL_S = 2.0
INTERVAL_GROWTH = 1.3
"""The interval grows, since all instances try at once while a service is down."""

JITTER = 0.25
"""Fraction by which the interval varies, so that instances don't come back in step."""

log = logbook.Logger("hickoryloom.reach")


class ReachProbe:
    """Opens a connection to one server of each unreachable service, at intervals.

    A connection that opens is kept for the next request.

    Args:
        reach: Which services are unreachable.
        connections: The connections to backend servers.
        servers: Returns the registered servers.
        clock: Source of time.
        rng: Selects the servers.
    """

    def __init__(
        self,
        reach: Reach,
        connections: ConnectionPool,
        servers: Callable[[], Iterable[BackendServer]],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._reach = reach
        self._connections = connections
        self._servers = servers
        self._clock = clock
        self._rng = rng
        self._interval_s = INTERVAL_S
        self._loop = TaskLoop(self._step, "reach", log)

    def start(self) -> None:
        """Start to probe."""
        self._loop.start()

    def stop(self) -> None:
        """Stop probing."""
        self._loop.stop()

    def _step(self) -> float:
        unreachable = self._reach.unreachable
        grown_s = min(MAX_INTERVAL_S, self._interval_s * INTERVAL_GROWTH)
        self._interval_s = grown_s if unreachable else INTERVAL_S
        for service in unreachable:
            usable = [
                server
                for server in self._servers()
                if server.service == service and not server.leaving
            ]
            if usable:
                self._probe(self._rng.choice(usable), len(usable))
        self._reach.refresh(self._clock.monotonic())
        return self._interval_s * (1.0 - JITTER * self._rng.random())

    def _probe(self, server: BackendServer, servers: int) -> None:
        started_at = self._clock.monotonic()
        try:
            self._connections.prepare(server.address)
        except AttemptError:
            now = self._clock.monotonic()
            self._reach.record_unreachable(server.service, server.id, servers, now)
            return
        self._reach.record_contact(server.service, started_at, self._clock.monotonic())

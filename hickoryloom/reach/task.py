"""Finds out by trial connections when a service can be reached again."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

import logbook

from hickoryloom.clock import Clock
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
        addresses: Returns the addresses of a service's usable servers by id.
        clock: Source of time.
        rng: Selects the servers.
    """

    def __init__(
        self,
        reach: Reach,
        connections: ConnectionPool,
        addresses: Callable[[str], Mapping[str, str]],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._reach = reach
        self._connections = connections
        self._addresses = addresses
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
            addresses = self._addresses(service)
            if addresses:
                server, address = self._rng.choice(sorted(addresses.items()))
                self._probe(service, server, address, len(addresses))
        self._reach.refresh(self._clock.monotonic())
        return self._interval_s * (1.0 - JITTER * self._rng.random())

    def _probe(self, service: str, server: str, address: str, servers: int) -> None:
        started_at = self._clock.monotonic()
        try:
            self._connections.prepare(address)
        except AttemptError:
            now = self._clock.monotonic()
            self._reach.record_unreachable(service, server, servers, now)
            return
        self._reach.record_contact(service, started_at, self._clock.monotonic())

"""Finds out by health checks and trial connections whether a service can be reached."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

import gevent
import logbook

from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.reach.state import Reach
from hickoryloom.upstream import (
    AttemptError,
    ConnectionPool,
    FailureCause,
    request_head,
)

__all__ = ["ReachProbe"]

INTERVAL_S = 0.4
"""First interval between trials at a service that is unreachable."""

MAX_INTERVAL_S = 2.0
INTERVAL_GROWTH = 1.3
"""The interval grows, since all instances try at once while a service is down."""

JITTER = 0.25
"""Fraction by which the interval varies, so that instances don't come back in step."""

CHECK_TIMEOUT_S = 0.4
"""Time for the response to a health check, as for a connection; a server may be silent for longer,
which shows nothing."""

EXAMINED = 4
"""Servers that are checked after a lost connection. With fewer, servers that end together would
often be all that are drawn."""

CHECK_ID = "health-check"
METHOD = "GET"

log = logbook.Logger("hickoryloom.reach")


class ReachProbe:
    """Checks servers of services that are unreachable, at intervals, and after lost connections.

    Where a service has a health path, only a response shows that it can be reached: what is between
    may accept connections and reset them. Elsewhere a connection that opens has to do, and is
    kept for the next request.

    Args:
        reach: Which services are unreachable.
        connections: The connections to backend servers.
        addresses: Returns the addresses of a service's usable servers by id.
        clock: Source of time.
        rng: Selects the servers.
        health_path: Returns the path of a service's health checks; empty if it has none.
    """

    def __init__(
        self,
        reach: Reach,
        connections: ConnectionPool,
        addresses: Callable[[str], Mapping[str, str]],
        clock: Clock,
        rng: Random,
        health_path: Callable[[str], str] = lambda service: "",
    ) -> None:
        self._reach = reach
        self._connections = connections
        self._addresses = addresses
        self._clock = clock
        self._rng = rng
        self._health_path = health_path
        self._interval_s = INTERVAL_S
        self._loop = TaskLoop(self._step, "reach", log)
        reach.subscribe_doubt(self._on_doubt)

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
            self._probe(service, 1)
        self._reach.refresh(self._clock.monotonic())
        return self._interval_s * (1.0 - JITTER * self._rng.random())

    def _on_doubt(self, service: str) -> bool:
        """Examine a service to which a connection was lost; return whether it can be examined."""
        if not self._health_path(service) or not self._addresses(service):
            return False
        gevent.spawn(self._examine, service)
        return True

    def _examine(self, service: str) -> None:
        try:
            self._probe(service, EXAMINED)
        finally:
            self._reach.end_doubt(service)

    def _probe(self, service: str, number: int) -> None:
        """Try some servers at the same time, and record failures if none of them is reached."""
        addresses = self._addresses(service)
        drawn = self._rng.sample(sorted(addresses.items()), min(number, len(addresses)))
        started_at = self._clock.monotonic()
        trials = {gevent.spawn(self._try, service, address): id for id, address in drawn}
        failed: dict[str, FailureCause] = {}
        try:
            for trial in gevent.iwait(list(trials)):
                now = self._clock.monotonic()
                if trial.successful() and trial.value is None:
                    self._reach.record_contact(service, started_at, now)
                    return
                failed[trials[trial]] = trial.value
        finally:
            # What the others find has no effect after a contact.
            gevent.killall(list(trials), block=False)
        for server, cause in failed.items():
            if cause is FailureCause.TIMED_OUT:
                self._reach.record_silent(service, now)
            else:
                self._reach.record_unreachable(service, server, len(addresses), now)

    def _try(self, service: str, address: str) -> FailureCause | None:
        """Return why a server was not reached; None if it was."""
        path = self._health_path(service)
        try:
            if path:
                self._check(address, path)
            else:
                self._connections.prepare(address)
        except AttemptError as error:
            # Whatever a server has sent shows that it can be reached.
            is_answered = error.failure.cause is FailureCause.MALFORMED
            return None if is_answered else error.failure.cause
        return None

    def _check(self, address: str, path: str) -> None:
        """Make a health check; any response will do.

        Raises:
            AttemptError: There is no response.
        """
        try:
            head = request_head(METHOD, path, address, (), 0)
        except ValueError as error:
            log_event(log, "health-path-unusable", path=path[:60], error=str(error))
            self._connections.prepare(address)
            return
        exchange = self._connections.open(address, CHECK_ID, METHOD, new_connection=True)
        try:
            exchange.read_deadline = self._clock.monotonic() + CHECK_TIMEOUT_S
            exchange.send(head, b"")
            exchange.read_head()
        finally:
            self._connections.close(exchange)

"""Finds out whether a backend server has ended, after a connection to it was lost.

A lost connection alone says little: the server may have closed it, something between may have reset
it, or this instance may be cut off from all servers. A server has ended if its registration has
gone or names another start, or if it takes no new connection while another server does.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from random import Random

import gevent
import logbook

from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.upstream import AttemptError, ConnectionPool

__all__ = ["EndWitness"]

REGISTRATION_S = 0.3
"""Time within which the registration of a server that restarts at once is seen to change."""

REMEMBERED_S = 1.0
"""Time for which a further lost connection to a server that has ended needs no new examination."""

MAX_OTHERS = 3
"""Other servers that are tried before this instance counts as cut off itself."""

log = logbook.Logger("hickoryloom.reach")


class EndWitness:
    """Examines servers to which connections were lost, one examination of a server at a time.

    Args:
        connections: Connections to backend servers.
        services: Returns the names of all services.
        addresses: Returns the addresses of a service's usable servers by id.
        is_registered: Returns whether a start of a server is registered, by its id and start.
        clock: Source of time.
        rng: Selects the other servers.
    """

    def __init__(
        self,
        connections: ConnectionPool,
        services: Callable[[], Iterable[str]],
        addresses: Callable[[str], Mapping[str, str]],
        is_registered: Callable[[str, int], bool],
        clock: Clock,
        rng: Random,
    ) -> None:
        self._connections = connections
        self._services = services
        self._addresses = addresses
        self._is_registered = is_registered
        self._clock = clock
        self._rng = rng
        self._waiting: dict[tuple[str, int], list[Callable[[], None]]] = {}
        self._ended_at: dict[tuple[str, int], float] = {}

    def examine(
        self, service: str, server: str, started: int, address: str, on_end: Callable[[], None]
    ) -> None:
        """Call `on_end`, soon, if a server has ended.

        Args:
            service: Service of the server.
            server: Its id.
            started: Its start, as registered; 0 if unknown.
            address: `host:port`.
            on_end: What to do then.
        """
        key, now = (server, started), self._clock.monotonic()
        if now - self._ended_at.get(key, float("-inf")) < REMEMBERED_S:
            on_end()
            return
        if key in self._waiting:
            self._waiting[key].append(on_end)
            return
        self._waiting[key] = [on_end]
        gevent.spawn(self._examine, service, key, address)

    def _examine(self, service: str, key: tuple[str, int], address: str) -> None:
        server, started = key
        try:
            ended = self._has_ended(service, server, started, address)
        finally:
            waiting = self._waiting.pop(key)
        log_event(
            log,
            "connection-lost",
            backend_server=server,
            service=service,
            ended=ended,
            requests=len(waiting),
        )
        if not ended:
            return
        now = self._clock.monotonic()
        self._ended_at = {
            known: at for known, at in self._ended_at.items() if now - at < REMEMBERED_S
        }
        self._ended_at[key] = now
        for on_end in waiting:
            on_end()

    def _has_ended(self, service: str, server: str, started: int, address: str) -> bool:
        if not self._is_registered(server, started):
            return True
        if not self._opens(address):
            return not self._is_registered(server, started) or self._reaches_another(
                service, server
            )
        gevent.sleep(REGISTRATION_S)
        return not self._is_registered(server, started)

    def _reaches_another(self, service: str, server: str) -> bool:
        """Return whether another server takes connections, or none is known."""
        near = [address for id, address in self._addresses(service).items() if id != server]
        far = [
            address
            for name in self._services()
            if name != service
            for address in self._addresses(name).values()
        ]
        tried = self._rng.sample(near, min(MAX_OTHERS, len(near)))
        tried += self._rng.sample(far, min(MAX_OTHERS, len(far)))
        return not tried or any(self._opens(address) for address in tried)

    def _opens(self, address: str) -> bool:
        try:
            self._connections.prepare(address)
        except AttemptError:
            return False
        return True

"""A connection pool that asks a guard right before each write, and loses no connection.

The HTTP library repeats calls of idempotent methods that meet a closed connection, once for each
place in the pool. Here a call is made again only after a kept connection was found closed.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import attrs
from gevent import getcurrent
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

__all__ = ["Attempt", "GuardRefused", "GuardedClient"]

Guard = Callable[[], bool]


class GuardRefused(Exception):  # noqa: N818
    """The guard said no; nothing was written."""


@attrs.define
class Attempt:
    """One call's use of a connection.

    Attributes:
        guard: Asked once a connection is at hand; None for no question.
        began: Whether a byte may have been written.
        fresh: Whether the connection used last was opened for it.
        held: The connection in use, None before and after.
    """

    guard: Guard | None = None
    began: bool = False
    fresh: bool = False
    held: Any = None


class NotRepeated(ConnectionError):  # noqa: N818
    """A new connection was closed without an answer; the call is not made again."""


class GuardedClient(HTTPClient):
    """The HTTP client, with a pool that knows which call uses which connection.

    Args:
        host: Host to connect to.
        port: Port to connect to.
        timeout_s: Seconds for connecting and for each read.
        connections: Most connections kept open.
    """

    def __init__(self, host: str, port: int, timeout_s: float, connections: int) -> None:
        super().__init__(host, port)
        self._connection_pool = _Pool(
            host,
            port,
            host,
            port,
            size=connections,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )

    def begin(self, guard: Guard | None) -> Attempt:
        """Enter the current greenlet's call."""
        return self._connection_pool.begin(guard)

    def end(self) -> None:
        """End the current greenlet's call; a connection that it still holds is closed."""
        self._connection_pool.end()

    def close_idle(self) -> None:
        """Close the connections that no call uses."""
        self._connection_pool.close_idle()


class _Pool(ConnectionPool):
    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._attempts: dict[Any, Attempt] = {}

    def begin(self, guard: Guard | None) -> Attempt:
        attempt = Attempt(guard)
        self._attempts[getcurrent()] = attempt
        return attempt

    def end(self) -> None:
        attempt = self._attempts.pop(getcurrent())
        if attempt.held is not None:
            super().release_socket(attempt.held)

    def close_idle(self) -> None:
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def get_socket(self) -> Any:
        # The caller writes to the socket without a yield after this returns.
        attempt = self._attempts[getcurrent()]
        if attempt.fresh:
            raise NotRepeated("closed without an answer")
        found = super().get_socket()
        if attempt.guard is not None and not attempt.guard():
            super().return_socket(found)
            raise GuardRefused
        attempt.began = True
        attempt.held = found
        return found

    def _create_socket(self) -> Any:
        found = super()._create_socket()
        self._attempts[getcurrent()].fresh = True
        return found

    def return_socket(self, sock: Any) -> None:
        if self._let_go(sock):
            super().return_socket(sock)

    def release_socket(self, sock: Any) -> None:
        if self._let_go(sock):
            super().release_socket(sock)

    def _let_go(self, sock: Any) -> bool:
        for attempt in self._attempts.values():
            if attempt.held is sock:
                attempt.held = None
                return True
        return False

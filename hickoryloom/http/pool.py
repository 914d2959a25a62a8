"""A connection pool that calls a guard directly before each write and leaks no connections.

When a connection is closed, the HTTP library retries calls of idempotent methods, once for each
connection that the pool may hold. This pool allows a retry only after a reused connection turned
out to be closed.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from gevent import getcurrent
from geventhttpclient import HTTPClient
from geventhttpclient.connectionpool import ConnectionPool

from hickoryloom.http.response_heads import StatusLineCheck
from hickoryloom.http.socket_state import (
    MAX_READ_WITH_HEAD_BYTES,
    RESET_CHECK_S,
    RESET_WAIT_S,
    is_reset,
    unacknowledged_bytes,
)

__all__ = ["Attempt", "GuardRefused", "GuardedClient"]

YIELD_BYTES = 64 * 1024
"""Bytes after which other greenlets run, though more have arrived."""

Guard = Callable[[], bool]


class GuardRefused(Exception):  # noqa: N818
    """The guard prevented the write; nothing was sent."""


@attrs.define
class Attempt:
    """The use of connections by one call.

    Attributes:
        guard: Called when a connection is available; None to write without a check.
        write_started: Whether any byte may have been written.
        is_new_connection: Whether the last connection was opened for this call.
        connection: The connection in use, or None.
    """

    guard: Guard | None = None
    write_started: bool = False
    is_new_connection: bool = False
    connection: Any = None


class NotRetried(ConnectionError):  # noqa: N818
    """A new connection was closed without a response; the call is not retried."""


class GuardedClient(HTTPClient):
    """An HTTP client whose pool tracks which call uses which connection.

    Args:
        host: Host to connect to.
        port: Port to connect to.
        timeout_s: Timeout in seconds, separately for connecting and for each read.
        connections: Maximum number of connections.
        max_response_bytes: Largest response, with its head.
    """

    def __init__(
        self, host: str, port: int, timeout_s: float, connections: int, max_response_bytes: int
    ) -> None:
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
        self._connection_pool.max_response_bytes = max_response_bytes

    def begin(self, guard: Guard | None) -> Attempt:
        """Start an attempt for the call of the current greenlet."""
        return self._connection_pool.begin(guard)

    def end(self) -> None:
        """End the attempt of the current greenlet and close a connection that it still uses."""
        self._connection_pool.end()

    def close_idle(self) -> None:
        """Close the connections that are not in use."""
        self._connection_pool.close_idle()


class _CheckedSocket:
    """A socket that fails if a response is too large or has a status that HTTP doesn't have.

    The HTTP library sets no bound, and takes a status below 100 for an interim one.

    Args:
        sock: The connected socket.
        max_response_bytes: Largest response, with its head.
    """

    def __init__(self, sock: Any, max_response_bytes: int) -> None:
        self._sock = sock
        self._max_response_bytes = max_response_bytes
        self._sent_bytes = 0
        self._received_bytes = 0
        self._status_lines = StatusLineCheck()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def sendall(self, data: bytes) -> None:
        """Send a request or a part of it; its response is counted from its start."""
        if self._received_bytes:
            self._sent_bytes = 0
        self._sent_bytes += len(data)
        self._received_bytes = 0
        self._status_lines = StatusLineCheck()
        self._sock.sendall(data)

    def recv(self, size: int) -> bytes:
        """Receive bytes; other greenlets run in between, also if bytes come without a pause.

        Raises:
            ConnectionError: The response exceeds the limit, or was reset after its end.
            HTTPParseError: It doesn't begin with a status line.
        """
        data = self._sock.recv(size)
        before = self._received_bytes // YIELD_BYTES
        self._received_bytes += len(data)
        if self._received_bytes > self._max_response_bytes:
            raise ConnectionError(f"response exceeds {self._max_response_bytes} bytes")
        self._status_lines.feed(data)
        if not data and self._received_bytes and self._sent_bytes > MAX_READ_WITH_HEAD_BYTES:
            self._check_end()
        if self._received_bytes // YIELD_BYTES > before:
            gevent.sleep(0)
        return bytes(data)

    def _check_end(self) -> None:
        """Check the end of a response without a length, which may be cut off by a reset.

        Raises:
            ConnectionError: It is.
        """
        until = time.monotonic() + RESET_WAIT_S
        while not is_reset(self._sock) and time.monotonic() < until:
            gevent.sleep(RESET_CHECK_S)
        if is_reset(self._sock) or unacknowledged_bytes(self._sock):
            raise ConnectionError("connection reset before the request was read")


class _Pool(ConnectionPool):
    max_response_bytes = 0

    def __init__(self, *arguments: Any, **options: Any) -> None:
        super().__init__(*arguments, **options)
        self._attempts: dict[Any, Attempt] = {}

    def begin(self, guard: Guard | None) -> Attempt:
        attempt = Attempt(guard)
        self._attempts[getcurrent()] = attempt
        return attempt

    def end(self) -> None:
        attempt = self._attempts.pop(getcurrent())
        if attempt.connection is not None:
            super().release_socket(attempt.connection)

    def close_idle(self) -> None:
        while not self._socket_queue.empty():
            self._socket_queue.get(block=False).close()

    def get_socket(self) -> Any:
        # The HTTP library writes to the returned socket without a greenlet switch in between, so
        # that what the guard found still holds at the write.
        attempt = self._attempts[getcurrent()]
        if attempt.is_new_connection:
            raise NotRetried("connection closed without a response")
        sock = super().get_socket()
        if attempt.guard is not None and not attempt.guard():
            super().return_socket(sock)
            raise GuardRefused
        attempt.write_started = True
        attempt.connection = sock
        return sock

    def _create_socket(self) -> Any:
        sock = super()._create_socket()
        self._attempts[getcurrent()].is_new_connection = True
        return _CheckedSocket(sock, self.max_response_bytes)

    def return_socket(self, sock: Any) -> None:
        if self._untrack(sock):
            super().return_socket(sock)

    def release_socket(self, sock: Any) -> None:
        if self._untrack(sock):
            super().release_socket(sock)

    def _untrack(self, sock: Any) -> bool:
        for attempt in self._attempts.values():
            if attempt.connection is sock:
                attempt.connection = None
                return True
        return False

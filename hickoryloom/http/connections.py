"""The open connections of a server, by what they wait for, and their end when the server stops."""

from __future__ import annotations

import math
import time
from collections.abc import Callable
from typing import Any

import logbook
from gevent import socket
from gevent.event import Event

from hickoryloom.http.connection_log import ConnectionLog, RequestStage, unread_bytes
from hickoryloom.logs import log_event

__all__ = ["Connections"]

log = logbook.Logger("hickoryloom.http")

REUSE_GRACE_S = 0.5
"""Time for which a stopping server keeps a connection that has just become idle. Its caller may
not have been asked to close it and may use it again at once; the time covers a round trip and a
busy caller, and is a fraction of the seconds that a stop has."""


class Connections:
    """The open connections of a server.

    A connection that is in none of the sets reads the rest of a body after the response, or ends.

    Attributes:
        starting: Sockets of accepted connections whose handler has not begun to run.
        open: Handlers that have begun to run.
        idle: Those that wait for the first byte of a request.
        reading: Those that have read a part of a request, but not all headers.
        serving: Those with a request in progress.

    Args:
        ends: Logs the ends of connections.
    """

    def __init__(self, ends: ConnectionLog) -> None:
        self.starting: set[Any] = set()
        self.open: set[Any] = set()
        self.idle: set[Any] = set()
        self.reading: set[Any] = set()
        self.serving: set[Any] = set()
        self._ends = ends
        self._changed = Event()
        self._waiting = 0

    @property
    def unread(self) -> int:
        """The number of connections with bytes of a request that have not been read yet."""
        sockets = [handler.socket for handler in self.idle if not handler.closed_idle]
        return sum(1 for sock in [*sockets, *self.starting] if unread_bytes(sock))

    @property
    def is_quiet(self) -> bool:
        """Whether no request is in progress, being read or unread on an accepted connection."""
        return not (self.starting or self.reading or self.serving or self.unread)

    def add_idle(self, handler: Any) -> None:
        """Record that a connection waits for the first byte of a request."""
        handler.idle_since = time.monotonic()
        self.idle.add(handler)
        self.notify()

    def end_request(self, handler: Any) -> None:
        """Record that the response to a request has been sent or abandoned."""
        self.serving.discard(handler)
        self.notify()

    def end(self, handler: Any) -> None:
        """Record that a connection has ended."""
        for handlers in (self.open, self.idle, self.reading, self.serving):
            handlers.discard(handler)
        self.notify()

    def notify(self) -> None:
        """Let those that wait for a state look again."""
        if self._waiting:
            self._changed.set()

    def wait_until(self, is_reached: Callable[[], bool], timeout_s: float | None) -> bool:
        """Wait for a state of the connections; return whether it was reached."""
        end = None if timeout_s is None else time.monotonic() + timeout_s
        while not is_reached():
            left_s = None if end is None else end - time.monotonic()
            if left_s is not None and left_s <= 0:
                return False
            self.wait(left_s)
        return True

    def wait(self, timeout_s: float | None) -> None:
        """Wait until a request or a connection has ended or a connection has become idle."""
        self._changed.clear()
        self._waiting += 1
        try:
            self._changed.wait(timeout_s)
        finally:
            self._waiting -= 1

    def close_idle(self, idle_since: float | None = None) -> None:
        """Close the idle connections without unread bytes.

        No greenlet runs between the look at a connection and its close. Bytes that arrive in
        between are not served, as they could not be answered.

        Args:
            idle_since: Closes only those that have been idle since this monotonic time; None for
                all.
        """
        closed = crossed = kept = 0
        for handler in list(self.idle):
            if handler.closed_idle or (idle_since is not None and handler.idle_since > idle_since):
                continue
            if unread_bytes(handler.socket):
                kept += 1
                continue
            handler.closed_idle = True
            closed += 1
            try:
                handler.socket.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                log_event(log, "idle-connection-gone", error=str(error))
                continue
            crossed += bool(unread_bytes(handler.socket))
        if closed or idle_since is None:
            self._ends.log_idle_closed(closed, crossed, kept)

    def finish(self, timeout_s: float | None) -> int:
        """Close each connection once it is idle and nothing on it is unread.

        Args:
            timeout_s: Maximum time to wait for the requests that have arrived; None for no limit.

        Returns:
            The number of requests that are left unanswered.
        """
        end = math.inf if timeout_s is None else time.monotonic() + timeout_s
        while self.starting or self.open:
            now = time.monotonic()
            if now >= end:
                break
            self.close_idle(now - REUSE_GRACE_S)
            due = [
                handler.idle_since + REUSE_GRACE_S
                for handler in self.idle
                if not handler.closed_idle and handler.idle_since + REUSE_GRACE_S > now
            ]
            left_s = min([end, *due]) - now
            self.wait(None if math.isinf(left_s) else left_s)
        self.close_idle()
        return self._abandon()

    def _abandon(self) -> int:
        """Log each request that has arrived and is left; return their number."""
        error = TimeoutError("the server stops")
        for handler in list(self.serving):
            handler.abandon(error)
        reading = len(self.reading) + self.unread
        for _ in range(reading):
            self._ends.log_unanswered(RequestStage.READING, error)
        return len(self.serving) + reading

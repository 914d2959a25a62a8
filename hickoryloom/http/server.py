"""A falcon application on gevent's server, with a stop that cuts no request."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import gevent
import logbook
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from hickoryloom.http.framing import StrictFraming
from hickoryloom.http.limits import (
    BoundedLines,
    ConnectionLimits,
    HeadersTooLargeError,
    HeadersTooSlowError,
)
from hickoryloom.logs import log_event

__all__ = ["SOCKET_KEY", "Server"]

log = logbook.Logger("hickoryloom.http")

MAX_LOGGED_DETAIL = 200
"""Characters of what was wrong with a request; its own text is part of that."""

CLOSE_POLL_S = 0.02
IO_TIMEOUT_S = 60.0
"""Shortest time after which a read or write that stalls ends its connection."""

IDLE_MARGIN_S = 1.0
"""Time beyond the idle limit, for a request that is on its way when the limit is reached."""

MAX_CONNECTIONS = 8192
SOCKET_KEY = "hickoryloom.socket"

REFUSAL = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
"""Answer to a request of which not even the headers could be read."""

TOO_SLOW = "408 Request Timeout"
TOO_LARGE = "431 Request Header Fields Too Large"

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Server:
    """Serves one WSGI application on one address.

    Attributes:
        limits: What is accepted on one connection; may be replaced at any time.

    Args:
        app: The WSGI application.
        address: `host:port`; port 0 takes a free one.
    """

    def __init__(self, app: WsgiApp, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._app = app
        self.limits = ConnectionLimits()
        self._active = 0
        self._stopping = False
        self._server = WSGIServer(
            (host, int(port)),
            self._handle,
            handler_class=_Handler,
            log=None,
            error_log=None,
            spawn=MAX_CONNECTIONS,
            environ={"SERVER_NAME": host},
        )
        self._server.owner = self
        self._idle: set[Any] = set()

    @property
    def address(self) -> str:
        """`host:port` that it listens on."""
        return f"{self._server.server_host}:{self._server.server_port}"

    @property
    def active(self) -> int:
        """Requests being served."""
        return self._active

    def bind(self) -> None:
        """Take the address without serving yet, so that it can be told to others.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.init_socket()

    def start(self) -> None:
        """Begin to accept connections.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.start()

    def drain(self) -> None:
        """Go on accepting, but ask callers to close kept connections after each answer."""
        self._stopping = True

    def stop_accepting(self) -> None:
        """Accept no new connections; those that are open go on."""
        self._stopping = True
        self._server.stop_accepting()

    def close_idle(self) -> None:
        """Close the connections on which no byte of a request has been read."""
        for handler in list(self._idle):
            try:
                handler.socket.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                log_event(log, "idle-connection-gone", error=str(error))

    def note_idle(self, handler: Any, idle: bool) -> None:
        """Take in whether a connection waits for its next request."""
        if idle:
            self._idle.add(handler)
        else:
            self._idle.discard(handler)

    def wait_idle(self, timeout_s: float | None = None) -> bool:
        """Wait until no request is being served; return whether that came about in time."""
        with gevent.Timeout(timeout_s, False):
            while self._active:
                gevent.sleep(CLOSE_POLL_S)
        return self._active == 0

    def close(self) -> None:
        """Close the listening socket and every connection."""
        self._server.stop(timeout=0)

    def _handle(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        self._active += 1
        try:
            answer = self._app(environ, self._start_response(start_response))
        except BaseException:
            self._active -= 1
            raise
        return _Counted(answer, self._finish)

    def _start_response(self, start_response: Callable[..., Any]) -> Callable[..., Any]:
        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            if self._stopping:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, *rest)

        return start

    def _finish(self) -> None:
        self._active -= 1


class _Handler(StrictFraming, WSGIHandler):
    """Bounds slow callers, sends at once, writes no access log, drops connection errors."""

    _header_timer: gevent.Timeout | None = None

    def handle(self) -> None:
        """Serve one connection; a read or write that stalls too long ends it."""
        self.socket.settimeout(
            max(IO_TIMEOUT_S, self.server.owner.limits.idle_timeout_s + IDLE_MARGIN_S)
        )
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        super().handle()

    def handle_one_request(self) -> Any:
        """Serve one request, or refuse one whose headers don't come in time."""
        try:
            return super().handle_one_request()
        except HeadersTooSlowError as error:
            return self._handle_client_error(error)
        finally:
            self._stop_header_timer()

    def read_requestline(self) -> Any:
        """Read a request's first line; until its first byte the connection counts as idle."""
        owner = self.server.owner
        owner.note_idle(self, True)
        try:
            self.rfile.peek(1)
        finally:
            owner.note_idle(self, False)
        self._header_timer = gevent.Timeout.start_new(
            owner.limits.header_timeout_s, HeadersTooSlowError("headers took too long")
        )
        return super().read_requestline()

    def MessageClass(self, file: Any, *rest: Any) -> Any:  # noqa: N802
        """Parse the headers within the limits."""
        lines = BoundedLines(file, self.server.owner.limits.header_bytes)
        try:
            return super().MessageClass(lines, *rest)
        finally:
            self._stop_header_timer()

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Refuse a request that can't be read; gevent's own answer is always 400."""
        answer: tuple[str, bytes] = super()._handle_client_error(ex)
        if isinstance(ex, HeadersTooSlowError):
            answer = TOO_SLOW, REFUSAL % TOO_SLOW.encode()
        elif isinstance(ex, HeadersTooLargeError):
            answer = TOO_LARGE, REFUSAL % TOO_LARGE.encode()
        log_event(log, "request-unreadable", status=answer[0], detail=str(ex)[:MAX_LOGGED_DETAIL])
        return answer

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.close()
            self._header_timer = None

    def get_environ(self) -> dict[str, Any]:
        """Add the connection's socket, so that an application can tell when its caller left."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def log_request(self) -> None:
        """Write nothing: each slice logs its own events."""

    def handle_error(self, type_: Any, value: Any, tb: Any) -> None:
        """Drop errors of callers that left; report others as pywsgi does."""
        if isinstance(value, OSError):
            self.close_connection = True
            return
        super().handle_error(type_, value, tb)


class _Counted:
    """A WSGI answer that calls back once it has been sent or given up."""

    def __init__(self, answer: Iterable[bytes], finish: Callable[[], None]) -> None:
        self._answer = answer
        self._finish: Callable[[], None] | None = finish

    def __iter__(self) -> Any:
        return iter(self._answer)

    def close(self) -> None:
        """Close the wrapped answer and report the end once."""
        try:
            close = getattr(self._answer, "close", None)
            if close is not None:
                close()
        finally:
            if self._finish is not None:
                finish, self._finish = self._finish, None
                finish()

"""A WSGI server based on gevent that can stop without interrupting requests."""

from __future__ import annotations

import struct
from collections.abc import Callable, Iterable
from typing import Any

import gevent
import logbook
from gevent import socket
from gevent.pywsgi import WSGIHandler, WSGIServer

from hickoryloom.http.connection_log import ConnectionLog, Phase, RequestStage, unread_bytes
from hickoryloom.http.framing import StrictFraming
from hickoryloom.http.limits import (
    BoundedLineReader,
    ConnectionLimits,
    HeadersTooLargeError,
    HeadersTooSlowError,
)
from hickoryloom.http.write_watch import CallerWrites, WriteWatch, send_all
from hickoryloom.logs import log_event

__all__ = ["REQUEST_KEY", "SOCKET_KEY", "WRITES_KEY", "Server"]

log = logbook.Logger("hickoryloom.http")

MAX_LOGGED_DETAIL_CHARS = 200
"""Maximum length of a logged error, which may quote parts of the request."""

CLOSE_POLL_S = 0.02
IO_TIMEOUT_S = 60.0
"""Minimum timeout of a stalled read or write, which closes the connection."""

IDLE_MARGIN_S = 1.0
"""Time added to the idle timeout for a request in transit when the timeout expires."""

SEND_BUFFER_BYTES = 64 * 1024
"""Send buffer of a watched connection, for a round trip at 85 Mbit/s. Left to itself, the kernel
takes 1 MB for a caller that reads nothing, which no budget of the process counts."""

MAX_CONNECTIONS = 8192
REQUEST_KEY = "hickoryloom.request"
"""Key of the WSGI environment for the id of a request, which an application notes for the log."""

SOCKET_KEY = "hickoryloom.socket"
WRITES_KEY = "hickoryloom.writes"

REJECTION = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
"""Response to a request whose headers could not be read."""

STATUS_TOO_SLOW = "408 Request Timeout"
STATUS_TOO_LARGE = "431 Request Header Fields Too Large"

WsgiApp = Callable[[dict[str, Any], Callable[..., Any]], Iterable[bytes]]


class Server:
    """Serves a WSGI application on one address.

    Attributes:
        limits: Limits for each connection, which may be replaced at any time.
        ends: Logs and counts the requests whose connection ends without a complete response.

    Args:
        app: The WSGI application.
        address: `host:port`; port 0 selects a free port.
        write_watch: Notices callers that don't read; None if nothing is done about them.
        name: Name of the server in the log.
    """

    def __init__(
        self,
        app: WsgiApp,
        address: str,
        write_watch: WriteWatch | None = None,
        name: str = "",
    ) -> None:
        host, _, port = address.rpartition(":")
        self.ends = ConnectionLog(name or address)
        self.write_watch = write_watch
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
        self._reading: set[Any] = set()

    @property
    def address(self) -> str:
        """`host:port` that the server listens on."""
        return f"{self._server.server_host}:{self._server.server_port}"

    @property
    def active(self) -> int:
        """The number of requests in progress."""
        return self._active

    @property
    def reading(self) -> int:
        """The number of requests of which a part has been read, but not all headers."""
        return len(self._reading)

    @property
    def unread(self) -> int:
        """The number of connections with bytes of a request that the process has not read yet."""
        return sum(1 for handler in self._idle if unread_bytes(handler.socket))

    def bind(self) -> None:
        """Bind the address without serving yet, so that it can be announced.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.init_socket()

    def start(self) -> None:
        """Start accepting connections.

        Raises:
            OSError: The address can't be bound.
        """
        self._server.start()

    def drain(self) -> None:
        """Keep accepting connections, but ask callers to close them after each response."""
        self._stopping = True
        self.ends.phase = Phase.DRAINING

    def stop_accepting(self) -> None:
        """Stop accepting new connections and keep serving open ones."""
        self._stopping = True
        self.ends.phase = Phase.CLOSING
        self._server.stop_accepting()

    def close_idle(self) -> None:
        """Close the connections that are waiting for the first byte of a request."""
        self.ends.log_idle_closed(len(self._idle), self.unread)
        for handler in list(self._idle):
            handler.closed_idle = True
            try:
                handler.socket.shutdown(socket.SHUT_RDWR)
            except OSError as error:
                log_event(log, "idle-connection-gone", error=str(error))

    def set_idle(self, handler: Any, idle: bool) -> None:
        """Record whether a connection is waiting for its next request."""
        if idle:
            self._idle.add(handler)
        else:
            self._idle.discard(handler)

    def set_reading(self, handler: Any, reading: bool) -> None:
        """Record whether the headers of a request are being read on a connection."""
        if reading:
            self._reading.add(handler)
        else:
            self._reading.discard(handler)

    def wait_idle(self, timeout_s: float | None = None) -> bool:
        """Wait until no request is in progress; return False if the timeout expires first."""
        with gevent.Timeout(timeout_s, False):
            while self._active:
                gevent.sleep(CLOSE_POLL_S)
        return self._active == 0

    def close(self) -> None:
        """Close the listening socket and all connections."""
        self._server.stop(timeout=0)

    def _handle(self, environ: dict[str, Any], start_response: Callable[..., Any]) -> Any:
        self._active += 1
        try:
            response = self._app(environ, self._start_response(start_response))
        except BaseException:
            self._active -= 1
            raise
        return _TrackedResponse(response, self._on_end)

    def _start_response(self, start_response: Callable[..., Any]) -> Callable[..., Any]:
        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            if self._stopping:
                headers = [*headers, ("Connection", "close")]
            return start_response(status, headers, *rest)

        return start

    def _on_end(self) -> None:
        self._active -= 1


class _Handler(StrictFraming, WSGIHandler):
    """A handler that limits slow callers, disables Nagle's algorithm and ignores disconnects.

    It writes no access log.
    """

    _header_timer: gevent.Timeout | None = None
    _writes: CallerWrites | None = None
    _write_failed = False
    closed_idle = False

    def handle(self) -> None:
        """Serve one connection and close it if a read or write stalls for too long."""
        self.socket.settimeout(
            max(IO_TIMEOUT_S, self.server.owner.limits.idle_timeout_s + IDLE_MARGIN_S)
        )
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        if self.server.owner.write_watch is not None:
            self._writes = CallerWrites(self.server.owner.write_watch, self.socket)
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        super().handle()

    def handle_one_request(self) -> Any:
        """Serve one request, or reject it if its headers don't arrive in time."""
        try:
            return super().handle_one_request()
        except HeadersTooSlowError as error:
            return self._handle_client_error(error)
        finally:
            self._stop_header_timer()
            self.server.owner.set_reading(self, False)

    def read_requestline(self) -> Any:
        """Read the request line; the connection is idle until the first byte arrives."""
        owner = self.server.owner
        owner.set_idle(self, True)
        try:
            begun = bool(self.rfile.peek(1))
        finally:
            owner.set_idle(self, False)
        if begun:
            owner.set_reading(self, True)
        self._header_timer = gevent.Timeout.start_new(
            owner.limits.header_timeout_s, HeadersTooSlowError("headers took too long")
        )
        return super().read_requestline()

    def MessageClass(self, file: Any, *rest: Any) -> Any:  # noqa: N802
        """Parse the headers, limited in size and time."""
        reader = BoundedLineReader(file, self.server.owner.limits.header_bytes)
        try:
            return super().MessageClass(reader, *rest)
        finally:
            self._stop_header_timer()

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Reject an unreadable request with a specific status, where gevent always sends 400."""
        response: tuple[str, bytes] = super()._handle_client_error(ex)
        self.server.owner.ends.log_unanswered(RequestStage.READING, ex)
        if isinstance(ex, HeadersTooSlowError):
            response = STATUS_TOO_SLOW, REJECTION % STATUS_TOO_SLOW.encode()
        elif isinstance(ex, HeadersTooLargeError):
            response = STATUS_TOO_LARGE, REJECTION % STATUS_TOO_LARGE.encode()
        log_event(
            log, "request-unreadable", status=response[0], detail=str(ex)[:MAX_LOGGED_DETAIL_CHARS]
        )
        return response

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.close()
            self._header_timer = None

    def get_environ(self) -> dict[str, Any]:
        """Add the socket, so that an application can detect that the caller disconnected."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        if self._writes is not None:
            environ[WRITES_KEY] = self._writes
        return environ

    def run_application(self) -> None:
        """Serve one request whose headers have been read; log it if its response isn't complete."""
        self.server.owner.set_reading(self, False)
        self._write_failed = False
        try:
            super().run_application()
        except Exception as error:
            stage = RequestStage.SERVING
            if self._write_failed:
                stage = RequestStage.SENDING
            self.server.owner.ends.log_unanswered(
                stage,
                error,
                self.environ.get(REQUEST_KEY, ""),
                response_begun=self.headers_sent,
                closed_idle=self.closed_idle,
            )
            raise

    def _sendall(self, data: bytes | bytearray) -> None:
        try:
            if self._writes is None:
                send_all(self.socket, data)
            else:
                self._writes.send_all(data)
            self.response_length += len(data)
        except OSError:
            self._write_failed = True
            raise

    @property
    def _ends_with_connection(self) -> bool:
        """Whether only the end of the connection marks the end of the response (HTTP/1.0)."""
        return not self.response_use_chunked and self.provided_content_length is None

    def log_request(self) -> None:
        """Write no access log, since each package logs its own events."""

    def handle_error(self, type_: Any, value: Any, tb: Any) -> None:
        """Ignore connection errors and report others as pywsgi does."""
        if isinstance(value, OSError):
            self.close_connection = True
            if self.headers_sent and self._ends_with_connection:
                _reset_on_close(self.socket)
            return
        super().handle_error(type_, value, tb)


def _reset_on_close(sock: Any) -> None:
    """Make closing the socket reset its connection, which no caller takes for a complete end."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except OSError as error:
        log_event(log, "connection-gone", error=str(error))


class _TrackedResponse:
    """A WSGI response that runs a callback once it has been sent or abandoned."""

    def __init__(self, response: Iterable[bytes], on_end: Callable[[], None]) -> None:
        self._response = response
        self._on_end: Callable[[], None] | None = on_end

    def __iter__(self) -> Any:
        return iter(self._response)

    def close(self) -> None:
        """Close the wrapped response and run the callback once."""
        try:
            close = getattr(self._response, "close", None)
            if close is not None:
                close()
        finally:
            if self._on_end is not None:
                on_end, self._on_end = self._on_end, None
                on_end()

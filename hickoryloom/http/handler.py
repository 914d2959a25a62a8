"""Handles one connection: limits slow callers, and answers each request or ends it visibly."""

from __future__ import annotations

import io
import struct
import time
from http.client import HTTPException
from typing import Any

import gevent
import logbook
from gevent import socket
from gevent.pywsgi import WSGIHandler, _InvalidClientInput

from hickoryloom.http.caller_input import CallerReader, discard_body, is_body_read
from hickoryloom.http.connection_log import RequestStage, unread_bytes
from hickoryloom.http.framing import StrictFraming
from hickoryloom.http.limits import BoundedLineReader, HeadersTooLargeError, HeadersTooSlowError
from hickoryloom.http.write_watch import CallerWrites, send_all
from hickoryloom.logs import log_event

__all__ = ["REQUEST_KEY", "SOCKET_KEY", "WATCHES_KEY", "WRITES_KEY", "Handler"]

log = logbook.Logger("hickoryloom.http")

MAX_LOGGED_DETAIL_CHARS = 200
"""Maximum length of a logged error, which may quote parts of the request."""

IO_TIMEOUT_S = 60.0
"""Minimum timeout of a stalled read or write, which closes the connection."""

IDLE_MARGIN_S = 1.0
"""Time added to the idle timeout for a request in transit when the timeout expires."""

BODY_TIMEOUT_S = 60.0
"""Maximum time from the head of a request to the last byte of its body, for applications without a
limit of their own."""

DISCARD_TIMEOUT_S = 5.0
"""Maximum time for reading the rest of a body after the response. Closing at once would reset the
connection, and the caller could lose the response."""

SEND_BUFFER_BYTES = 64 * 1024
"""Send buffer of a watched connection, for a round trip at 85 Mbit/s. Left to itself, the kernel
takes 1 MB for a caller that reads nothing, which no budget of the process counts."""

REQUEST_KEY = "hickoryloom.request"
"""Key of the WSGI environment for the id of a request, which an application notes for the log."""

SOCKET_KEY = "hickoryloom.socket"
WATCHES_KEY = "hickoryloom.watches"
"""Key for the list of objects whose `stop` is called when the request ends."""

WRITES_KEY = "hickoryloom.writes"

CLOSE_HEADER = ("Connection", "close")
REJECTION = b"HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
"""Response to a request whose headers could not be read."""

STATUS_INVALID = "400 Bad Request"
STATUS_TOO_SLOW = "408 Request Timeout"
STATUS_TOO_LARGE = "431 Request Header Fields Too Large"
STATUS_FAILED = "500 Internal Server Error"


class ResponseLengthError(Exception):
    """A response has more or fewer bytes than its `Content-Length` says."""


class Handler(StrictFraming, WSGIHandler):
    """Handles the requests on one connection. It writes no access log.

    An error of the application is answered with status 500. Once a part of the response has been
    sent, the connection ends such that no caller takes the response for a complete one.

    Attributes:
        idle_since: Monotonic time at which the connection last became idle.
        closed_idle: Whether the server has closed the connection as an idle one.
    """

    idle_since = 0.0
    closed_idle = False
    _header_timer: gevent.Timeout | None = None
    _writes: CallerWrites | None = None
    _write_error: OSError | None = None
    _promised_bytes: int | None = None
    _body_bytes = 0
    _is_complete = False
    _is_logged = False

    def __init__(self, sock: Any, address: Any, server: Any) -> None:
        super().__init__(sock, address, server)
        self._reader = CallerReader(sock)
        self.rfile = io.BufferedReader(self._reader)
        self._owner = server.owner
        self._connections = server.owner.connections

    def handle(self) -> None:
        """Serve one connection and close it if a read or write stalls for too long."""
        self._connections.starting.discard(self.socket)
        self._connections.open.add(self)
        try:
            self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            if self._owner.write_watch is not None:
                self._writes = CallerWrites(self._owner.write_watch, self.socket)
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
            super().handle()
        finally:
            self._connections.end(self)

    def handle_one_request(self) -> Any:
        """Serve one request, or reject it if its headers can't be read in time."""
        try:
            result = super().handle_one_request()
        except Exception as error:
            result = self._handle_client_error(error)
        finally:
            self._stop_header_timer()
            self._connections.reading.discard(self)
        if isinstance(result, tuple):
            self._reject(*result)
            return None
        return result

    def read_requestline(self) -> Any:
        """Read the request line; the connection is idle until the first byte arrives."""
        self._connections.add_idle(self)
        try:
            begun = self._wait_for_request()
        finally:
            self._connections.idle.discard(self)
        if not begun:
            return ""
        self._connections.reading.add(self)
        self._header_timer = gevent.Timeout.start_new(
            self._owner.limits.header_timeout_s, HeadersTooSlowError("headers took too long")
        )
        try:
            return super().read_requestline()
        except OSError as error:
            self._owner.ends.log_unanswered(RequestStage.READING, error)
            raise

    def _wait_for_request(self) -> bool:
        """Return whether a request has begun, rather than the connection ended."""
        while True:
            # The limit may change while the connection is idle.
            timeout_s = max(IO_TIMEOUT_S, self._owner.limits.idle_timeout_s + IDLE_MARGIN_S)
            left_s = self.idle_since + timeout_s - time.monotonic()
            self._reader.deadline = None
            self.socket.settimeout(max(0.0, left_s))
            try:
                begun = bool(self.rfile.peek(1))
            except (TimeoutError, BlockingIOError):
                if left_s > 0:
                    continue
                log_event(log, "idle-connection-expired", idle_s=round(timeout_s))
                return False
            if begun and self.closed_idle:
                crossed = ConnectionAbortedError("arrived while the connection was being closed")
                self._owner.ends.log_unanswered(RequestStage.READING, crossed, closed_idle=True)
                return False
            self.socket.settimeout(timeout_s)
            return begun

    def MessageClass(self, file: Any, *rest: Any) -> Any:  # noqa: N802
        """Parse the headers, limited in size and time."""
        reader = BoundedLineReader(file, self._owner.limits.header_bytes)
        try:
            return super().MessageClass(reader, *rest)
        finally:
            self._stop_header_timer()

    def _handle_client_error(self, ex: Exception) -> tuple[str, bytes]:
        """Return a specific rejection of an unreadable request, where gevent always sends 400."""
        status = STATUS_INVALID
        if isinstance(ex, HeadersTooSlowError | TimeoutError):
            status = STATUS_TOO_SLOW
        elif isinstance(ex, HeadersTooLargeError):
            status = STATUS_TOO_LARGE
        elif not isinstance(ex, ValueError | OSError | HTTPException):
            status = STATUS_FAILED
        log_event(
            log,
            "request-unreadable",
            status=status,
            detail=f"{type(ex).__name__}: {ex}"[:MAX_LOGGED_DETAIL_CHARS],
        )
        return status, REJECTION % status.encode()

    def _reject(self, status: str, response: bytes) -> None:
        self._connections.reading.add(self)
        try:
            send_all(self.socket, response)
        except OSError as error:
            self._owner.ends.log_unanswered(RequestStage.READING, error)
        finally:
            self._connections.reading.discard(self)

    def _stop_header_timer(self) -> None:
        if self._header_timer is not None:
            self._header_timer.close()
            self._header_timer = None

    def _connection_upgrade_requested(self) -> bool:
        """Ignore requests for another protocol.

        The body of an upgraded request would be read to the end of the connection, and with it the
        requests that follow.
        """
        return False

    def get_environ(self) -> dict[str, Any]:
        """Add the socket, so that an application can detect that the caller disconnected."""
        environ: dict[str, Any] = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        environ[WATCHES_KEY] = []
        if self._writes is not None:
            environ[WRITES_KEY] = self._writes
        return environ

    def start_response(self, status: str, headers: Any, exc_info: Any = None) -> Any:
        """Ask the caller to close the connection if the server stops and no request follows."""
        if self._owner.is_stopping and CLOSE_HEADER not in headers and not self._next_has_arrived():
            headers = [*headers, CLOSE_HEADER]
        write = super().start_response(status, headers, exc_info)
        self._promised_bytes = None
        if self.provided_content_length is not None and self.code not in (204, 304):
            self._promised_bytes = int(self.provided_content_length)
        return write

    def _next_has_arrived(self) -> bool:
        if not is_body_read(self.wsgi_input):
            return False
        self._reader.blocked = True
        try:
            return bool(self.rfile.peek(1)) or unread_bytes(self.socket) > 0
        finally:
            self._reader.blocked = False

    def run_application(self) -> None:
        """Serve one request whose headers have been read."""
        self._connections.reading.discard(self)
        self._connections.serving.add(self)
        self._write_error = self._reader.error = self._promised_bytes = None
        self._is_complete = self._is_logged = False
        self._body_bytes = 0
        self._reader.deadline = time.monotonic() + BODY_TIMEOUT_S
        try:
            super().run_application()
        except BaseException as error:
            self._end_failed(error)
            if isinstance(error, KeyboardInterrupt):
                raise
        finally:
            self._connections.end_request(self)
            for watch in self.environ[WATCHES_KEY]:
                watch.stop()
        self._discard_body()

    def process_result(self) -> None:
        """Send the response."""
        super().process_result()
        if self._promised_bytes is not None and self.command != "HEAD":
            self._check_length(self._body_bytes == self._promised_bytes)
        self._is_complete = True

    def finalize_headers(self) -> None:
        """Complete the headers; a response to HEAD has no body, not even a last chunk."""
        super().finalize_headers()
        if self.command == "HEAD":
            self.response_use_chunked = False

    def _write(self, data: bytes) -> None:
        if self.command == "HEAD" or not data:
            return
        self._body_bytes += len(data)
        if self._promised_bytes is not None:
            self._check_length(self._body_bytes <= self._promised_bytes)
        super()._write(data)

    def _check_length(self, is_right: bool) -> None:
        if not is_right:
            raise ResponseLengthError(
                f"response has {self._body_bytes} of {self._promised_bytes} bytes"
            )

    def _sendall(self, data: bytes | bytearray) -> None:
        try:
            if self._writes is None:
                send_all(self.socket, data)
            else:
                self._writes.send_all(data)
        except OSError as error:
            self._write_error = error
            raise
        self.response_length += len(data)

    def _end_failed(self, error: BaseException) -> None:
        """End a request whose application or connection has failed."""
        self.close_connection = True
        if error is self._write_error:
            self._log_unanswered(RequestStage.SENDING, error)
            self._reset_if_unmarked()
            return
        status = self._status_for(error)
        log_event(
            log,
            "request-failed",
            server=self._owner.name,
            request=self.environ.get(REQUEST_KEY),
            status=None if self.headers_sent else status,
            response_begun=self.headers_sent,
            error=f"{type(error).__name__}: {error}"[:MAX_LOGGED_DETAIL_CHARS],
        )
        if isinstance(error, Exception) and not isinstance(error, OSError | SystemError):
            self._log_error(type(error), error, error.__traceback__)
        if self._is_complete:
            return
        if self.headers_sent:
            self._log_unanswered(RequestStage.SERVING, error)
            self._reset_if_unmarked()
            return
        try:
            body = status.encode()
            length = str(len(body))
            self.start_response(status, [CLOSE_HEADER, ("Content-Length", length)])
            self.write(body)
        except OSError as failure:
            self._log_unanswered(RequestStage.SENDING, failure)

    def _status_for(self, error: BaseException) -> str:
        if isinstance(error, TimeoutError) and error is self._reader.error:
            return STATUS_TOO_SLOW
        if isinstance(error, _InvalidClientInput) or error is self._reader.error:
            return STATUS_INVALID
        return STATUS_FAILED

    def _log_unanswered(self, stage: RequestStage, error: BaseException) -> None:
        """Log once that the request ends without a complete response."""
        if self._is_logged:
            return
        self._is_logged = True
        self._owner.ends.log_unanswered(
            stage,
            error,
            self.environ.get(REQUEST_KEY, ""),
            response_begun=self.headers_sent,
            closed_idle=self.closed_idle,
        )

    def abandon(self, error: BaseException) -> None:
        """Log the request in progress, which the end of the process will cut off."""
        self._log_unanswered(RequestStage.SERVING, error)
        self._reset_if_unmarked()

    def _reset_if_unmarked(self) -> None:
        """Make closing an incomplete response reset its connection, unless it is visibly short.

        Only the end of the connection marks the end of a response without chunks and length.
        """
        if self.headers_sent and not self.response_use_chunked and self._promised_bytes is None:
            try:
                linger = struct.pack("ii", 1, 0)
                self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            except OSError as error:
                log_event(log, "connection-gone", error=str(error))

    def _discard_body(self) -> None:
        if not discard_body(self.wsgi_input, DISCARD_TIMEOUT_S):
            self.close_connection = True

    def log_request(self) -> None:
        """Write no access log, since each package logs its own events."""

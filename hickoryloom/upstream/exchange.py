"""One request and its response on one connection to a backend server."""

from __future__ import annotations

import errno
from typing import Any

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from hickoryloom.clock import Clock
from hickoryloom.http import (
    MAX_READ_WITH_HEAD_BYTES,
    RESET_CHECK_S,
    RESET_WAIT_S,
    StatusLineCheck,
    find_invalid_head,
    find_invalid_reason,
    is_reset,
    unacknowledged_bytes,
)
from hickoryloom.upstream.messages import AttemptFailure, BodyFraming, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["AttemptError", "Exchange"]

READ_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
MAX_FIELDS = 1_000
"""Header and trailer fields of a response. A field of a few bytes costs 4 us; without a limit, an
endless head cost 17 ms in each attempt before it exceeded `MAX_HEADER_BYTES`."""

SEND_TIMEOUT_S = 10.0
"""Longest time for sending where there is no deadline."""

READING_TIMEOUT_S = 1.0
"""Time for a peer to begin to read a request. One that takes longer would also answer late."""

END_READ_TIMEOUT_S = 0.2
MIN_READ_TIMEOUT_S = 0.001

EARLY_RESET_WAIT_S = 0.5
"""Time for the reset of a server whose response began before it had acknowledged the request."""

READY_GRACE_S = 0.25
"""Time after the read deadline for which bytes are still read that have already arrived."""

FINAL_STATUS = 200
MAX_FRAMING_BYTES = 16 * 1024
MAX_FRAMING_RATIO = 8
"""Bytes between the chunks of a body, for each byte of it: a chunk of one byte takes five."""


class AttemptError(Exception):
    """Ends a failed attempt; handled by the code that makes the attempts."""

    def __init__(self, failure: AttemptFailure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class _Message:
    """One HTTP response, with the body chunks that have arrived and were not read yet."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.chunks: list[bytes] = []
        self.headers_complete = False
        self.complete = False

    def header(self, name: str) -> str:
        """Return the first value of header `name` (lower case), or an empty string."""
        return next((value for found, value in self.headers if found == name), "")

    @property
    def framing(self) -> BodyFraming:
        """What marks the end of its body."""
        if self.header("content-length") or self.status in (204, 304):
            return BodyFraming.LENGTH
        if "chunked" in self.header("transfer-encoding").lower():
            return BodyFraming.CHUNKED
        return BodyFraming.CLOSE


class _Response(HTTPResponse):
    """Parses received bytes and separates consecutive responses on one connection."""

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.messages: list[_Message] = []
        self._status_lines = StatusLineCheck()
        self._fault: HTTPParseError | None = None

    def feed(self, data: bytes) -> None:
        """Parse further bytes.

        Raises:
            HTTPParseError: They are no response.
        """
        # The parser also takes RTSP and ICE, which it does not tell apart later.
        self._status_lines.feed(data)
        super().feed(data)
        if self._fault is not None:
            # The library ignores what follows the head of a response to HEAD, also its faults.
            raise self._fault

    def _on_message_begin(self) -> None:
        super()._on_message_begin()
        self.messages.append(_Message())

    def _on_headers_complete(self) -> Any:
        result = super()._on_headers_complete()
        message = self.messages[-1]
        message.status = int(self.get_code())
        message.headers = tuple((name.lower(), value) for name, value in self.items())
        self._check(find_invalid_head(self.get_http_version(), message.status, message.headers))
        message.headers_complete = True
        return result

    def _on_status(self, msg: str) -> None:
        super()._on_status(msg)
        self._check(find_invalid_reason(msg))

    def _check(self, invalid_part: str) -> None:
        if invalid_part:
            self._fault = HTTPParseError(f"invalid {invalid_part}")
            raise self._fault

    def _on_header_field(self, string: str) -> None:
        if self._header_position >= MAX_FIELDS:
            raise HTTPParseError(f"more than {MAX_FIELDS} header fields")
        super()._on_header_field(string)

    def _on_body(self, buf: Any) -> None:
        self.messages[-1].chunks.append(bytes(buf))

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.messages[-1].complete = True


class Exchange:
    """Sends one request, once, and reads its response.

    Attributes:
        address: The backend server's `host:port`.
        attempt_id: Id that the backend server must echo.
        wait_started_at: Monotonic time at which the current wait for bytes started; None if not
            waiting.
        last_wait_started_at: Monotonic time at which the latest wait for bytes started; None before
            the first.
        bytes_sent: Whether bytes of the request may have been sent.
        id_confirmed: Whether the response carries this attempt's id.
        read_deadline: Monotonic time at which reading times out; None for no timeout.
        keep_alive_s: Idle timeout of the backend server's connections, in seconds; None if unknown.

    Args:
        sock: A connected socket, which the exchange takes ownership of.
        address: The backend server's `host:port`.
        attempt_id: Id of the attempt.
        method: HTTP method.
        clock: Source of time.
        id_header: Response header, in lower case, that carries the id of the request.
    """

    def __init__(
        self,
        sock: Any,
        address: str,
        attempt_id: str,
        method: str,
        clock: Clock,
        id_header: str = "x-request-id",
    ) -> None:
        self.address = address
        self.attempt_id = attempt_id
        self.wait_started_at: float | None = None
        self.last_wait_started_at: float | None = None
        self.bytes_sent = False
        self.id_confirmed = False
        self.read_deadline: float | None = None
        self.keep_alive_s: float | None = None
        self._id_header = id_header
        self._sock = sock
        self._recv = sock.recv
        self._monotonic = clock.monotonic
        self._response = _Response(method)
        self._message = _Message()
        self._received_bytes = 0
        self._body_bytes = 0
        self._is_sent = True
        self._request_body_bytes = 0
        self._is_early: bool | None = None
        self._failure: AttemptError | None = None
        self._interruption: FailureCause | None = None
        self._closed = False

    @property
    def status(self) -> int:
        """Status code of the response."""
        return self._message.status

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Headers of the response, names in lower case."""
        return self._message.headers

    @property
    def framing(self) -> BodyFraming | None:
        """What marks the end of the response body; None before its headers are complete."""
        return self._message.framing if self._message.headers_complete else None

    @property
    def closed(self) -> bool:
        """Whether the socket was released."""
        return self._closed

    @property
    def ended(self) -> bool:
        """Whether the complete response was received."""
        return self._message.complete

    def header(self, name: str) -> str:
        """Return the first value of header `name` (lower case), or an empty string."""
        return self._message.header(name)

    def send(self, head: bytes, body: bytes) -> None:
        """Send the request.

        Raises:
            AttemptError: The connection failed; part of the request may have been sent.
        """
        self._check_interruption()
        self.bytes_sent = True
        self._request_body_bytes = len(body)
        self._write(head + body)

    def send_when_read(self, head: bytes, body: bytes) -> None:
        """Send the head, and the body once the peer reads the request.

        The peer says so by status 100. Before that it lacks the end of the request, so a failure
        means that the request has not run, also on a connection that the peer was closing.

        Args:
            head: Request line and headers, with `Expect: 100-continue`.
            body: The encoded body; not empty, since it ends the request.

        Raises:
            AttemptError: The connection failed, or the peer doesn't read in time.
        """
        self._check_interruption()
        deadline = self.read_deadline
        until = self._monotonic() + READING_TIMEOUT_S
        self.read_deadline = until if deadline is None else min(until, deadline)
        self._write(head)
        while not (messages := self._response.messages) or not messages[0].headers_complete:
            self._receive()
            if self._received_bytes > MAX_HEADER_BYTES:
                raise self.error(FailureCause.TOO_LARGE, "headers are too large")
        self.read_deadline = deadline
        self._check_interruption()
        self.bytes_sent = True
        if messages[0].status >= FINAL_STATUS:
            # The peer has answered without reading the body, which must not follow any more.
            self._is_sent = False
            return
        self._request_body_bytes = len(body)
        self._write(body)

    def _check_interruption(self) -> None:
        if self._interruption is not None:
            raise self.error(self._interruption, "interrupted before it was sent")

    def _write(self, data: bytes) -> None:
        view, written = memoryview(data), 0
        until = self._monotonic() + SEND_TIMEOUT_S
        if self.read_deadline is not None:
            until = min(until, self.read_deadline)
        try:
            while written < len(view):
                left_s = until - self._monotonic()
                if left_s <= 0:
                    raise TimeoutError("deadline")
                self._sock.settimeout(left_s)
                written += self._sock.send(view[written:])
            self._sock.settimeout(None)
        except OSError as error:
            # The kernel reports an error that it knew before it took any bytes.
            self.bytes_sent = self.bytes_sent and written > 0
            cause = FailureCause.CONNECTION_LOST
            if _is_expiry(error):
                cause = FailureCause.TIMED_OUT
            raise self.error(cause, f"while sending: {error}")

    def read_head(self, skip_mismatched: bool = False) -> None:
        """Read until the headers of the final response are complete.

        Args:
            skip_mismatched: Whether to skip a complete response whose id belongs to another
                request. A late duplicate may arrive before this request's response.

        Raises:
            AttemptError: There is no valid response head.
        """
        size = 0
        while not self._find_message(skip_mismatched):
            size += self._receive()
            if size > MAX_HEADER_BYTES and not self._message.headers_complete:
                raise self.error(FailureCause.TOO_LARGE, "headers are too large")

    def _find_message(self, skip_mismatched: bool) -> bool:
        """Select the first final response; return whether its headers are complete."""
        for message in self._response.messages:
            if message.headers_complete and 100 <= message.status < FINAL_STATUS:
                continue
            self._message = message
            mismatched = skip_mismatched and self._is_mismatched(message)
            if mismatched and message.complete:
                continue
            if message.headers_complete:
                return not mismatched
        return False

    def _is_mismatched(self, message: _Message) -> bool:
        return message.header(self._id_header) not in ("", self.attempt_id)

    def check_id(self) -> None:
        """Compare the id in the response headers, if any, with the attempt's id.

        Raises:
            AttemptError: The response belongs to another request.
        """
        echoed = self.header(self._id_header)
        if echoed and echoed != self.attempt_id:
            raise self.error(FailureCause.WRONG_RESPONSE, "response of another request")
        self.id_confirmed = bool(echoed)

    def read(self) -> bytes:
        """Return the next available bytes of the body, or an empty string at its end.

        What has arrived before a failure is returned first.

        Raises:
            AttemptError: The response is truncated or malformed.
        """
        message = self._message
        while not message.chunks:
            if self._failure is not None:
                raise self._failure
            if message.complete:
                return b""
            try:
                self._receive()
                self._check_framing(message)
            except AttemptError as error:
                if not message.chunks:
                    raise
                self._failure = error
        chunks = message.chunks
        chunk = chunks[0] if len(chunks) == 1 else b"".join(chunks)
        chunks.clear()
        self._body_bytes += len(chunk)
        return chunk

    def _check_framing(self, message: _Message) -> None:
        """Check that the response does not consist of chunk extensions or trailers.

        Raises:
            AttemptError: Too much was received for the body that it contains.
        """
        body = self._body_bytes + sum(map(len, message.chunks))
        framing = self._received_bytes - body
        if framing > MAX_HEADER_BYTES + MAX_FRAMING_BYTES + MAX_FRAMING_RATIO * body:
            raise self.error(FailureCause.TOO_LARGE, "too many bytes that are not of the body")

    def read_remainder(self) -> None:
        """Read the rest of a response after its last event, so that its connection is reusable.

        Further body bytes or a failure mark the response as unconfirmed.
        """
        with gevent.Timeout(END_READ_TIMEOUT_S, False):
            try:
                if self.read():
                    self.id_confirmed = False
            except AttemptError:
                self.id_confirmed = False

    def interrupt(self, cause: FailureCause) -> None:
        """Make the reading greenlet fail with `cause`; may be called from any greenlet."""
        if self._interruption is None:
            self._interruption = cause
            _shut_down(self._sock)

    def error(self, cause: FailureCause, detail: str) -> AttemptError:
        """Return the error that ends the attempt, with its execution verdict."""
        verdict = Verdict.MAY_HAVE_RUN if self.bytes_sent else Verdict.NOT_RUN
        if self._interruption is not None:
            cause, detail = self._interruption, "interrupted"
        return AttemptError(AttemptFailure(cause, verdict, detail))

    def release(self) -> Any:
        """Release the socket: return it if it is reusable, otherwise close it and return None."""
        if self._closed:
            return None
        self._closed = True
        if self._is_reusable():
            return self._sock
        self._sock.close()
        return None

    def _is_reusable(self) -> bool:
        if self._interruption is not None or self._failure is not None:
            return False
        if not self._message.complete or not self._is_sent:
            return False
        if self._message is not self._response.messages[-1]:
            return False
        return self.id_confirmed and not self._response.should_close()

    def _receive(self) -> int:
        self.wait_started_at = self.last_wait_started_at = self._monotonic()
        try:
            if self.read_deadline is not None:
                if self.last_wait_started_at > self.read_deadline + READY_GRACE_S:
                    raise TimeoutError
                self._sock.settimeout(
                    max(MIN_READ_TIMEOUT_S, self.read_deadline - self.last_wait_started_at)
                )
            data = self._recv(READ_BYTES)
        except OSError as error:
            if _is_expiry(error):
                raise self.error(FailureCause.TIMED_OUT, "no bytes in time")
            raise self.error(FailureCause.CONNECTION_LOST, f"while receiving: {error}")
        finally:
            self.wait_started_at = None
        if not data:
            return self._handle_peer_close()
        self._received_bytes += len(data)
        if self._is_early is None and self._request_body_bytes > MAX_READ_WITH_HEAD_BYTES:
            self._is_early = unacknowledged_bytes(self._sock) > 0
        try:
            self._response.feed(data)
        except (HTTPParseError, ValueError) as error:
            raise self.error(FailureCause.MALFORMED, f"not a response: {error}")
        return len(data)

    def _handle_peer_close(self) -> int:
        """Handle the end of the received bytes.

        It is a valid end only of a response without a length, and only if the peer closed the
        connection: `interrupt` ends the received bytes as well, and so does a reset after the end.
        """
        message = self._message
        interrupted = self._interruption is not None
        if interrupted or message.complete or self.framing is not BodyFraming.CLOSE:
            raise self.error(FailureCause.CONNECTION_LOST, "closed before the end of the response")
        self._check_request_taken()
        message.complete = True
        self.id_confirmed = False
        return 0

    def _check_request_taken(self) -> None:
        """Wait until it is known that the peer has not reset the connection after its response.

        A peer that closes before it has read the whole request resets the connection, and its
        response may be cut off anywhere.

        Raises:
            AttemptError: It has, or has not acknowledged the request in time.
        """
        wait_s = 0.0
        if self._request_body_bytes > MAX_READ_WITH_HEAD_BYTES:
            wait_s = EARLY_RESET_WAIT_S if self._is_early else RESET_WAIT_S
        acknowledged_at: float | None = None
        while self._request_body_bytes:
            now = self._monotonic()
            if self._interruption is not None or is_reset(self._sock):
                raise self.error(FailureCause.CONNECTION_LOST, "reset after the response had begun")
            is_late = self.read_deadline is not None and now >= self.read_deadline
            if acknowledged_at is None and not unacknowledged_bytes(self._sock):
                acknowledged_at = now
            if acknowledged_at is None and is_late:
                raise self.error(FailureCause.CONNECTION_LOST, "closed before it took the request")
            if acknowledged_at is not None and (is_late or now >= acknowledged_at + wait_s):
                return
            gevent.sleep(RESET_CHECK_S)


def _is_expiry(error: OSError) -> bool:
    """Return whether a timeout of this process expired; TCP's own end connections."""
    return isinstance(error, TimeoutError) and error.errno != errno.ETIMEDOUT


def _shut_down(sock: Any) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass

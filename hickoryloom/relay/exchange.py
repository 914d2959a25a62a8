"""One request and its response on one connection to a backend server."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from hickoryloom.clock import Clock
from hickoryloom.relay.messages import AttemptFailed, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["AttemptError", "Exchange"]

READ_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
SEND_TIMEOUT_S = 10.0
END_TIMEOUT_S = 0.2


class AttemptError(Exception):
    """Ends an attempt; raised inside the relay only."""

    def __init__(self, failed: AttemptFailed) -> None:
        super().__init__(failed.detail)
        self.failed = failed


class _Response(HTTPResponse):
    """Parses a response and keeps the body's blocks as they come."""

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.blocks: list[bytes] = []

    def _on_body(self, buf: Any) -> None:
        self.blocks.append(bytes(buf))


class Exchange:
    """Sends one request, once, and reads its response.

    Attributes:
        address: The backend server's `host:port`.
        attempt_id: Id that the backend server must send back.
        waiting_since: Monotonic time since which it waits for bytes; None while it doesn't.
        waited_at: Monotonic time at which it last began to wait for bytes; None before.
        wrote: Whether a byte of the request may have left.
        confirmed: Whether the response was seen to be the attempt's own.

    Args:
        sock: A connected socket, owned from now on.
        address: The backend server's `host:port`.
        attempt_id: Id of the attempt.
        method: HTTP method.
        clock: Source of time.
    """

    def __init__(self, sock: Any, address: str, attempt_id: str, method: str, clock: Clock) -> None:
        self.address = address
        self.attempt_id = attempt_id
        self.waiting_since: float | None = None
        self.waited_at: float | None = None
        self.wrote = False
        self.confirmed = False
        self._sock = sock
        self._recv = sock.recv
        self._monotonic = clock.monotonic
        self._response = _Response(method)
        self._interruption: FailureCause | None = None
        self._closed = False

    @property
    def status(self) -> int:
        """Status code of the response."""
        return int(self._response.get_code())

    @property
    def headers(self) -> tuple[tuple[str, str], ...]:
        """Headers of the response, names in lower case."""
        return tuple((name.lower(), value) for name, value in self._response.items())

    @property
    def closed(self) -> bool:
        """Whether the socket was given up."""
        return self._closed

    @property
    def ended(self) -> bool:
        """Whether the response was read to its end."""
        return bool(self._response.message_complete)

    def header(self, name: str) -> str:
        """Return the first value of header `name` (lower case), or an empty string."""
        for found, value in self.headers:
            if found == name:
                return value
        return ""

    def send(self, head: bytes, body: bytes) -> None:
        """Write the request.

        Raises:
            AttemptError: The connection broke; a part may have been written.
        """
        if self._interruption is not None:
            raise self.error(self._interruption, "interrupted before it was sent")
        self.wrote = True
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            self._sock.sendall(head + body)
            self._sock.settimeout(None)
        except OSError as error:
            raise self.error(FailureCause.CUT, f"while sending: {error}")

    def read_head(self) -> None:
        """Read until the headers of the final response are complete.

        Raises:
            AttemptError: There is no sound head.
        """
        size = 0
        while not self._response.headers_complete or self.status < 200:
            size += self._receive()
            if size > MAX_HEADER_BYTES and not self._response.headers_complete:
                raise self.error(FailureCause.TOO_LARGE, "headers are too large")

    def check_id(self) -> None:
        """Compare the id that the response's headers carry, if any, with the attempt's own.

        Raises:
            AttemptError: It is another request's response.
        """
        echoed = self.header("x-request-id")
        if echoed and echoed != self.attempt_id:
            raise self.error(FailureCause.CROSSED, "response of another request")
        self.confirmed = bool(echoed)

    def read(self) -> bytes:
        """Return the next bytes of the body as they come, empty at the end.

        Raises:
            AttemptError: The response is cut short or malformed.
        """
        response = self._response
        while not response.blocks:
            if response.message_complete:
                return b""
            self._receive()
        blocks = response.blocks
        block = blocks[0] if len(blocks) == 1 else b"".join(blocks)
        blocks.clear()
        return block

    def read_end(self) -> None:
        """Read what little follows the answer's terminator, so that the connection can be kept."""
        with gevent.Timeout(END_TIMEOUT_S, False):
            try:
                if self.read():
                    self.confirmed = False
            except AttemptError:
                self.confirmed = False

    def interrupt(self, cause: FailureCause) -> None:
        """Make the greenlet that reads fail with `cause`; safe from any greenlet."""
        if self._interruption is None:
            self._interruption = cause
            _shut_down(self._sock)

    def error(self, cause: FailureCause, detail: str) -> AttemptError:
        """Return the error that ends the attempt now, with its verdict."""
        verdict = Verdict.MAY_HAVE_RUN if self.wrote else Verdict.NOT_RUN
        if self._interruption is not None:
            cause, detail = self._interruption, "interrupted"
        return AttemptError(AttemptFailed(cause, verdict, detail))

    def release(self) -> Any:
        """Give up the socket: return it if it may carry another request, else close it."""
        if self._closed:
            return None
        self._closed = True
        if self._is_reusable():
            return self._sock
        self._sock.close()
        return None

    def _is_reusable(self) -> bool:
        if self._interruption is not None or not self._response.message_complete:
            return False
        return self.confirmed and not self._response.should_close()

    def _receive(self) -> int:
        self.waiting_since = self.waited_at = self._monotonic()
        try:
            data = self._recv(READ_BYTES)
        except OSError as error:
            raise self.error(FailureCause.CUT, f"while receiving: {error}")
        finally:
            self.waiting_since = None
        if not data:
            raise self.error(FailureCause.CUT, "closed before the end of the response")
        try:
            self._response.feed(data)
        except (HTTPParseError, ValueError) as error:
            raise self.error(FailureCause.MALFORMED, f"not a response: {error}")
        return len(data)


def _shut_down(sock: Any) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass

"""One request and its response on one connection to a backend server."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from geventhttpclient.response import HTTPParseError, HTTPResponse

from hickoryloom.clock import Clock
from hickoryloom.upstream.messages import AttemptFailed, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["AttemptError", "Exchange"]

READ_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
SEND_TIMEOUT_S = 10.0
END_TIMEOUT_S = 0.2
MIN_WAIT_S = 0.001


class AttemptError(Exception):
    """Ends an attempt; raised inside the relay only."""

    def __init__(self, failed: AttemptFailed) -> None:
        super().__init__(failed.detail)
        self.failed = failed


class _Message:
    """One response on the wire, with the blocks of its body as they come."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self.blocks: list[bytes] = []
        self.headers_complete = False
        self.complete = False

    def header(self, name: str) -> str:
        """Return the first value of header `name` (lower case), or an empty string."""
        return next((value for found, value in self.headers if found == name), "")

    @property
    def framed(self) -> bool:
        """Whether its end is told by a length or by chunks, not by the connection's end."""
        if self.header("content-length") or self.status in (204, 304):
            return True
        return "chunked" in self.header("transfer-encoding").lower()


class _Response(HTTPResponse):
    """Parses what arrives and keeps apart the responses that follow each other."""

    def __init__(self, method: str) -> None:
        super().__init__(method=method)
        self.messages: list[_Message] = []

    def _on_message_begin(self) -> None:
        super()._on_message_begin()
        self.messages.append(_Message())

    def _on_headers_complete(self) -> Any:
        result = super()._on_headers_complete()
        message = self.messages[-1]
        message.status = int(self.get_code())
        message.headers = tuple((name.lower(), value) for name, value in self.items())
        message.headers_complete = True
        return result

    def _on_body(self, buf: Any) -> None:
        self.messages[-1].blocks.append(bytes(buf))

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        self.messages[-1].complete = True


class Exchange:
    """Sends one request, once, and reads its response.

    Attributes:
        address: The backend server's `host:port`.
        attempt_id: Id that the backend server must send back.
        waiting_since: Monotonic time since which it waits for bytes; None while it doesn't.
        waited_at: Monotonic time at which it last began to wait for bytes; None before.
        wrote: Whether a byte of the request may have left.
        confirmed: Whether the response was seen to be the attempt's own.
        read_until: Monotonic time at which reading gives up; None for never.
        keep_s: Seconds for which the backend server keeps an idle connection; None when unknown.

    Args:
        sock: A connected socket, owned from now on.
        address: The backend server's `host:port`.
        attempt_id: Id of the attempt.
        method: HTTP method.
        clock: Source of time.
        id_header: Header, in lower case, in which the backend server sends the id back.
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
        self.waiting_since: float | None = None
        self.waited_at: float | None = None
        self.wrote = False
        self.confirmed = False
        self.read_until: float | None = None
        self.keep_s: float | None = None
        self._id_header = id_header
        self._sock = sock
        self._recv = sock.recv
        self._monotonic = clock.monotonic
        self._response = _Response(method)
        self._message = _Message()
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
    def closed(self) -> bool:
        """Whether the socket was given up."""
        return self._closed

    @property
    def ended(self) -> bool:
        """Whether the response was read to its end."""
        return self._message.complete

    def header(self, name: str) -> str:
        """Return the first value of header `name` (lower case), or an empty string."""
        return self._message.header(name)

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

    def read_head(self, skip_foreign: bool = False) -> None:
        """Read until the headers of the final response are complete.

        Args:
            skip_foreign: Whether a whole response to another request, told by its id, is passed
                over: a late duplicate may arrive where this one's response is due.

        Raises:
            AttemptError: There is no sound head.
        """
        size = 0
        while not self._find_message(skip_foreign):
            size += self._receive()
            if size > MAX_HEADER_BYTES and not self._message.headers_complete:
                raise self.error(FailureCause.TOO_LARGE, "headers are too large")

    def _find_message(self, skip_foreign: bool) -> bool:
        """Take the first final response; return whether its headers are complete."""
        for message in self._response.messages:
            if message.headers_complete and 100 <= message.status < 200:
                continue
            self._message = message
            foreign = skip_foreign and self._is_foreign(message)
            if foreign and message.complete:
                continue
            if message.headers_complete:
                return not foreign
        return False

    def _is_foreign(self, message: _Message) -> bool:
        return message.header(self._id_header) not in ("", self.attempt_id)

    def check_id(self) -> None:
        """Compare the id that the response's headers carry, if any, with the attempt's own.

        Raises:
            AttemptError: It is another request's response.
        """
        echoed = self.header(self._id_header)
        if echoed and echoed != self.attempt_id:
            raise self.error(FailureCause.CROSSED, "response of another request")
        self.confirmed = bool(echoed)

    def read(self) -> bytes:
        """Return the next bytes of the body as they come, empty at the end.

        Raises:
            AttemptError: The response is cut short or malformed.
        """
        message = self._message
        while not message.blocks:
            if message.complete:
                return b""
            self._receive()
        blocks = message.blocks
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
        if self._interruption is not None or not self._message.complete:
            return False
        if self._message is not self._response.messages[-1]:
            return False
        return self.confirmed and not self._response.should_close()

    def _receive(self) -> int:
        self.waiting_since = self.waited_at = self._monotonic()
        try:
            if self.read_until is not None:
                self._sock.settimeout(max(MIN_WAIT_S, self.read_until - self.waited_at))
            data = self._recv(READ_BYTES)
        except TimeoutError:
            raise self.error(FailureCause.SILENT, "no bytes in time")
        except OSError as error:
            raise self.error(FailureCause.CUT, f"while receiving: {error}")
        finally:
            self.waiting_since = None
        if not data:
            return self._receive_end()
        try:
            self._response.feed(data)
        except (HTTPParseError, ValueError) as error:
            raise self.error(FailureCause.MALFORMED, f"not a response: {error}")
        return len(data)

    def _receive_end(self) -> int:
        """Take in that the peer closed; only a response without a length may end so."""
        message = self._message
        if not message.headers_complete or message.complete or message.framed:
            raise self.error(FailureCause.CUT, "closed before the end of the response")
        message.complete = True
        self.confirmed = False
        return 0


def _shut_down(sock: Any) -> None:
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass

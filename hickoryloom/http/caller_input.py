"""Reads from the connection of a caller without starving other callers."""

from __future__ import annotations

import io
import time
from typing import Any

import gevent
import logbook

from hickoryloom.logs import log_event

__all__ = ["CallerReader", "discard_body", "is_body_read"]

log = logbook.Logger("hickoryloom.http")

YIELD_BYTES = 64 * 1024
"""Bytes after which other greenlets run, though more have arrived."""


class CallerReader(io.RawIOBase):
    """The bytes that a caller sends.

    Unlike the file object of a socket, it can be read again after a timeout.

    Attributes:
        error: The last error of the connection; None if there was none.
        deadline: Monotonic time after which nothing more is read; None for no limit.
        blocked: Whether reading returns nothing, so that only buffered bytes are seen.

    Args:
        sock: The connection to the caller.
    """

    def __init__(self, sock: Any) -> None:
        self.error: OSError | None = None
        self.deadline: float | None = None
        self.blocked = False
        self._sock = sock
        self._since_yield = 0

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Receive bytes; return their number.

        Raises:
            OSError: The connection failed, or the deadline has passed.
        """
        if self.blocked:
            return None
        if self._since_yield >= YIELD_BYTES:
            # Before the next bytes are received, as an idle connection must have no bytes that
            # only this process knows of.
            self._since_yield = 0
            gevent.sleep(0)
        try:
            if self.deadline is not None and time.monotonic() > self.deadline:
                raise TimeoutError("the body took too long to arrive")
            size = int(self._sock.recv_into(buffer))
        except OSError as error:
            self.error = error
            raise
        self._since_yield += size
        return size


def is_body_read(body: Any) -> bool:
    """Return whether a request body, the input of gevent's server, was read to its end."""
    if body.chunked_input:
        return bool(body.chunk_length == 0)
    return bool(body.position >= (body.content_length or 0))


def discard_body(body: Any, timeout_s: float) -> bool:
    """Read the rest of a request body; return whether its end was reached.

    Args:
        body: Input of gevent's server.
        timeout_s: Maximum time for all of it.
    """
    if is_body_read(body):
        return True
    try:
        with gevent.Timeout(timeout_s):
            body._discard()
            return not body._chunked_input_error
    except (gevent.Timeout, OSError, ValueError) as error:
        log_event(log, "body-not-discarded", error=f"{type(error).__name__}: {error}")
    body._chunked_input_error = True  # gevent then reads no more of it
    return False

"""Notices callers that don't read their responses. Costs nothing while writes don't block."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from gevent import socket

from hickoryloom.clock import Clock
from hickoryloom.http.socket_state import unacknowledged_bytes
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop

__all__ = ["CallerWrites", "WriteWatch", "send_all"]

log = logbook.Logger("hickoryloom.http")

CHECK_INTERVAL_S = 0.05
"""Interval for checking blocked writes; servers cut off a response that remains unread for some
seconds."""

QUEUE_INTERVAL_S = 0.5
"""Interval for looking at the kernel's send queue. It takes further bytes only once a good part of
it is free, which takes a caller that reads 1 KB/s most of a minute."""


class CallerWrites:
    """Writes to one caller.

    Attributes:
        timeout_s: Seconds for which the caller may read nothing; None for no limit.
        on_blocked: Called repeatedly while a write blocks; None for nothing.
        progress_at: Monotonic time at which the current write began or the caller last took bytes.

    Args:
        watch: Checks the writes that block.
        sock: The connection to the caller.
    """

    def __init__(self, watch: WriteWatch, sock: Any) -> None:
        self.timeout_s: float | None = None
        self.on_blocked: Callable[[], None] | None = None
        self.progress_at = 0.0
        self._queued_bytes = 0
        self._looked_at = 0.0
        self._watch = watch
        self._sock = sock

    def send_all(self, data: bytes | bytearray) -> None:
        """Send bytes.

        Raises:
            OSError: The caller has disconnected, or was disconnected.
        """
        view = memoryview(data)
        self.progress_at = self._watch.monotonic()
        self._queued_bytes = 0
        self._looked_at = self.progress_at
        self._watch.pending.add(self)
        try:
            while view:
                started_at = self._watch.monotonic()
                try:
                    sent = self._sock.send(view)
                except TimeoutError:
                    if self.progress_at > started_at:
                        continue
                    raise
                if sent:
                    view = view[sent:]
                    self.progress_at = self._watch.monotonic()
        finally:
            self._watch.pending.discard(self)

    def look(self, now: float) -> None:
        """Notice what the caller has taken from the kernel's send queue."""
        if now - self._looked_at < QUEUE_INTERVAL_S:
            return
        self._looked_at = now
        try:
            queued = unacknowledged_bytes(self._sock)
        except (OSError, ValueError) as error:
            log_event(log, "connection-gone", error=str(error))
            return
        if queued < self._queued_bytes:
            self.progress_at = now
        self._queued_bytes = queued

    def disconnect(self) -> None:
        """Close the connection in both directions; a blocked write fails."""
        try:
            self._sock.shutdown(socket.SHUT_RDWR)
        except OSError as error:
            log_event(log, "connection-gone", error=str(error))

    def reset(self) -> None:
        """Watch no further write of this response."""
        self.timeout_s = self.on_blocked = None


def send_all(sock: Any, data: bytes | bytearray) -> None:
    """Send bytes on a connection that nobody watches.

    Its timeout holds for a caller that takes nothing, not for the whole data.

    Raises:
        OSError: The caller has disconnected, or has taken nothing within two timeouts.
    """
    view = memoryview(data)
    queued: int | None = None
    while view:
        try:
            sent = sock.send(view)
        except TimeoutError:
            before, queued = queued, unacknowledged_bytes(sock)
            # The kernel takes further bytes only once a good part of its queue is free.
            if before is not None and queued >= before:
                raise
            continue
        view = view[sent:]
        queued = None


class WriteWatch:
    """Checks the writes that block.

    Attributes:
        pending: Connections with a write that has not ended.
        monotonic: Returns the time in seconds.
        disconnected: Number of callers that were disconnected because they read nothing.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self.pending: set[CallerWrites] = set()
        self.monotonic = clock.monotonic
        self.disconnected = 0
        self._loop = TaskLoop(self.check, "write-watch", log)

    def start(self) -> None:
        """Start checking."""
        self._loop.start()

    def stop(self) -> None:
        """Stop checking."""
        self._loop.stop()

    def check(self) -> float:
        """Check each blocked write; return the seconds until the next check."""
        now = self.monotonic()
        for writes in list(self.pending):
            writes.look(now)
            silent_s = now - writes.progress_at
            if writes.timeout_s is not None and silent_s >= writes.timeout_s:
                self.disconnected += 1
                log_event(log, "caller-not-reading", silent_ms=round(silent_s * 1000))
                writes.disconnect()
            elif writes.on_blocked is not None:
                writes.on_blocked()
        return CHECK_INTERVAL_S

"""Reads a stream on while its caller does not, so that its backend server doesn't cut it off.

Addresses callers that stop reading for some seconds. Until a write to the caller blocks, events are
passed on as they arrive; from then on they are buffered up to a bound.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

import gevent
import logbook
from gevent.event import Event

from hickoryloom.logs import log_event
from hickoryloom.upstream import BufferBudget, Holder

__all__ = ["MAX_AHEAD_BYTES", "ReadAhead"]

log = logbook.Logger("hickoryloom.gateway")

MAX_AHEAD_BYTES = 64 * 1024
"""Events of a stream that are buffered for a caller that doesn't read: several thousand tokens."""


class ReadAhead:
    """Iterates over the events of a stream, reading on while the caller's write blocks.

    Args:
        source: The events as they arrive.
        holder: Memory that is held for the request.
        buffers: Memory of the process.
        request: Id of the request.
    """

    def __init__(
        self, source: Iterator[bytes], holder: Holder, buffers: BufferBudget, request: str = ""
    ) -> None:
        self._request = request
        self._has_begun = False
        self._source = source
        self._buffers = buffers
        self._reservation = holder.reserve()
        self._events: deque[bytes] = deque()
        self._queued_bytes = 0
        self._written_bytes = 0
        self._reader: gevent.Greenlet | None = None
        self._awaited = False
        self._changed = Event()
        self._error: BaseException | None = None
        self._ended = False

    def on_blocked(self) -> None:
        """Read on in another greenlet, if there is memory."""
        if self._reader is None and self._may_read():
            if not self._has_begun:
                self._has_begun = True
                self._buffers.read_ahead += 1
                log_event(log, "stream-read-ahead", request=self._request)
            self._reader = gevent.spawn(self._read)

    def __iter__(self) -> Iterator[bytes]:
        return self

    def __next__(self) -> bytes:
        while self._reader is not None and not self._events:
            self._awaited = True
            self._changed.clear()
            self._changed.wait()
        self._awaited = False
        if self._events:
            data = b"".join(self._events)
            self._events.clear()
            self._written_bytes, self._queued_bytes = self._queued_bytes, 0
            return data
        if self._written_bytes:
            self._written_bytes = 0
            self._reservation.resize(0)
        if self._error is not None:
            raise self._error
        if self._ended:
            raise StopIteration
        return next(self._source)

    def close(self) -> None:
        """End the stream and release its memory."""
        if self._reader is not None:
            self._reader.kill()
        close = getattr(self._source, "close", None)
        if close is not None:
            close()
        self._events.clear()
        self._reservation.release()

    def _may_read(self) -> bool:
        if self._ended or self._error is not None or self._buffers.is_under_pressure:
            return False
        return self._queued_bytes + self._written_bytes < MAX_AHEAD_BYTES

    def _read(self) -> None:
        try:
            while not self._awaited and self._may_read():
                events = next(self._source, None)
                if events is None:
                    self._ended = True
                    break
                self._events.append(events)
                self._queued_bytes += len(events)
                self._reservation.resize(self._queued_bytes + self._written_bytes)
                self._changed.set()
        except gevent.GreenletExit:
            raise
        except BaseException as error:
            # Raised for the caller once it has received the events before. Without it, the end of
            # the failed source would look like the end of a complete stream.
            self._error = error
        finally:
            self._reader = None
            self._changed.set()

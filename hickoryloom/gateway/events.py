"""Cuts a stream of server-sent events at the ends of events, and keeps count; pure."""

from __future__ import annotations

import re

__all__ = ["EventCutter", "EventGapError"]

MAX_EVENT_BYTES = 1024 * 1024
"""Far above any event of a few tokens; bounds what a broken backend server makes us hold."""

EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)\r?(?=\n)")


class EventGapError(Exception):
    """An event is missing, or comes twice."""


class EventCutter:
    """Passes on whole events only, so that another backend server can go on after the last one.

    Args:
        last_id: Id of the last event that the caller has; None for a stream from its start.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._last_id = last_id
        self._rest = b""

    @property
    def last_id(self) -> int | None:
        """Id of the last event passed on; None before the first."""
        return self._last_id

    @property
    def rest(self) -> bytes:
        """Bytes of an event that has not ended."""
        return self._rest

    def feed(self, block: bytes) -> bytes:
        """Take in a block and return the events that it ends.

        Raises:
            EventGapError: The events' ids don't rise by one, or an event is too large.
        """
        data = self._rest + block
        end = max(_end_after(data, b"\n\n"), _end_after(data, b"\n\r\n"))
        whole, self._rest = data[:end], data[end:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise EventGapError(f"event of more than {MAX_EVENT_BYTES} bytes")
        for found in EVENT_ID.finditer(whole):
            self._check(int(found.group(1)))
        return whole

    def drop_rest(self) -> None:
        """Forget the event that has not ended; the next backend server sends it again."""
        self._rest = b""

    def _check(self, id: int) -> None:
        if self._last_id is not None and id != self._last_id + 1:
            raise EventGapError(f"event {id} after event {self._last_id}")
        self._last_id = id


def _end_after(data: bytes, blank_line: bytes) -> int:
    found = data.rfind(blank_line)
    return 0 if found < 0 else found + len(blank_line)

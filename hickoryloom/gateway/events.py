"""Splits a stream of server-sent events at event boundaries and checks event ids."""

from __future__ import annotations

import re

__all__ = ["EventSplitter", "EventSequenceError"]

MAX_EVENT_BYTES = 1024 * 1024
"""Far larger than an event of a few tokens; limits the memory that a faulty backend server can use.
"""

EVENT_ID = re.compile(rb"(?:^|\n)id: ?(\d+)\r?(?=\n)")


class EventSequenceError(Exception):
    """An event is missing, duplicated or too large."""


class EventSplitter:
    """Forwards complete events only, so that another backend server can resume after the last one.

    Args:
        last_id: Id of the last event that the caller has received; None for a new stream.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._last_id = last_id
        self._incomplete = b""

    @property
    def last_id(self) -> int | None:
        """Id of the last forwarded event; None before the first."""
        return self._last_id

    @property
    def incomplete(self) -> bytes:
        """Bytes of the event that is not complete yet."""
        return self._incomplete

    @property
    def inside_event(self) -> bool:
        """Whether part of an event has arrived; further blank lines belong to none."""
        return bool(self._incomplete.strip(b"\r\n"))

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that it completes.

        Raises:
            EventSequenceError: The event ids are not consecutive, or an event is too large.
        """
        data = self._incomplete + chunk
        end = max(_end_after(data, b"\n\n"), _end_after(data, b"\n\r\n"))
        whole, self._incomplete = data[:end], data[end:]
        if len(self._incomplete) > MAX_EVENT_BYTES:
            raise EventSequenceError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        for found in EVENT_ID.finditer(whole):
            self._check_sequence(int(found.group(1)))
        return whole

    def discard_incomplete(self) -> None:
        """Discard the incomplete event; the next backend server sends it again."""
        self._incomplete = b""

    def _check_sequence(self, id: int) -> None:
        if self._last_id is not None and id != self._last_id + 1:
            raise EventSequenceError(f"event id {id} follows event id {self._last_id}")
        self._last_id = id


def _end_after(data: bytes, blank_line: bytes) -> int:
    found = data.rfind(blank_line)
    return 0 if found < 0 else found + len(blank_line)

"""Splits a stream of server-sent events at event boundaries and checks each event."""

from __future__ import annotations

import re

__all__ = ["FIRST_EVENT_ID", "EventSplitter"]

FIRST_EVENT_ID = 1
"""Id of the first event of a stream. The ids of the others follow without gaps."""

MAX_EVENT_BYTES = 1024 * 1024
"""Far larger than an event of a few tokens; limits the memory that a faulty backend server can use.
"""

TOO_LARGE = f"event exceeds {MAX_EVENT_BYTES} bytes"
MAX_ID_DIGITS = 18

USUAL_EVENT = re.compile(rb"id: (\d{1,18})\n(?:data: [^\n]*\n)+\n")
"""Spares most events the separate searches for their end and fields."""

CONTENT = re.compile(rb"[^\r\n]")
BLANK_LINE = re.compile(rb"\n\r?\n")
ID_FIELD = re.compile(rb"^id(?:: ?([^\r\n]*))?\r?$", re.MULTILINE)
DATA_FIELD = re.compile(rb"^data[:\r\n]", re.MULTILINE)
COMMENTS = re.compile(rb"(?::[^\n]*\n|\r?\n)*")


class EventSplitter:
    """Forwards complete events only, so that another backend server can resume after the last one.

    A faulty event ends the stream of a backend server. The events before it are returned, so that
    `last_id` never counts an event that was not returned.

    Args:
        last_id: Id of the last event that the caller has received; None for a new stream.
    """

    def __init__(self, last_id: int | None = None) -> None:
        self._last_id = last_id
        self._incomplete = b""
        self._fault = ""

    @property
    def last_id(self) -> int | None:
        """Id of the last returned event; None before the first."""
        return self._last_id

    @property
    def incomplete(self) -> bytes:
        """Bytes after the last returned event."""
        return self._incomplete

    @property
    def inside_event(self) -> bool:
        """Whether part of an event has arrived; further blank lines belong to none."""
        return bool(self._incomplete.strip(b"\r\n"))

    @property
    def fault(self) -> str:
        """What is wrong with the event after the last returned one; empty if nothing is."""
        return self._fault

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the events that it completes, up to the first faulty one.

        After a fault, nothing is returned until the stream is resumed.
        """
        known = len(self._incomplete)
        data = self._incomplete + chunk
        # The blank line that ends an incomplete event is not entirely in the bytes known before.
        completes = not known or BLANK_LINE.search(data, max(0, known - 2)) is not None
        end = 0
        while completes and not self._fault:
            usual = USUAL_EVENT.match(data, end)
            if usual and int(usual[1]) == self._next_id and usual.end() - end <= MAX_EVENT_BYTES:
                self._last_id = self._next_id
                end = usual.end()
                continue
            content = CONTENT.search(data, end)
            blank_line = BLANK_LINE.search(data, content.start()) if content else None
            if blank_line is None:
                break
            if self._accept(data[end : blank_line.end()]):
                end = blank_line.end()
        self._incomplete = data[end:]
        if not self._fault and len(self._incomplete) > MAX_EVENT_BYTES:
            self._fault = TOO_LARGE
        return data[:end]

    def resume(self) -> None:
        """Discard what is incomplete or faulty; the next backend server sends it again."""
        self._incomplete = b""
        self._fault = ""

    @property
    def _next_id(self) -> int:
        return FIRST_EVENT_ID if self._last_id is None else self._last_id + 1

    def _accept(self, event: bytes) -> bool:
        """Check a complete event; return whether it is the next one or only a comment."""
        expected = self._next_id
        ids = ID_FIELD.findall(event)
        if len(event) > MAX_EVENT_BYTES:
            self._fault = TOO_LARGE
        elif not ids and COMMENTS.fullmatch(event):
            return True
        elif len(ids) != 1:
            self._fault = f"event with {len(ids)} ids instead of id {expected}"
        elif not ids[0].isdigit() or len(ids[0]) > MAX_ID_DIGITS or int(ids[0]) != expected:
            self._fault = f"event id {ids[0][:MAX_ID_DIGITS]!r} instead of {expected}"
        elif not DATA_FIELD.search(event):
            self._fault = f"event id {expected} has no data"
        else:
            self._last_id = expected
        return not self._fault

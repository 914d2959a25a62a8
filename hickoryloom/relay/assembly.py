"""Merges the event streams of several attempts into one gapless stream."""

from __future__ import annotations

import enum
import json
from typing import Any

import attrs

from hickoryloom.relay.template import EventTemplate, derive_template, event_text

__all__ = ["StreamAssembler", "StreamFault"]

DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024


class StreamFault(enum.Enum):
    """Why the rest of a stream is discarded."""

    WRONG_RESPONSE = "crossed"
    GAP = "gap"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    ENGINE_ERROR = "engine-error"
    NO_USAGE = "no-usage"


@attrs.define
class StreamAssembler:
    """Delivers each event of a completion once and in order, whichever attempt sends it.

    Attributes:
        request_id: Request id in the events delivered to the caller.
        next_position: Position of the next event to deliver.
        duplicates: Number of events dropped because they had already been delivered.
        usage: The engine's token counts; None until they have arrived.
        complete: Whether the completion was delivered in full, including its terminator.
        fault: Why the current attempt's stream was abandoned; None while it is valid.
    """

    request_id: str
    next_position: int = 0
    duplicates: int = 0
    usage: dict[str, Any] | None = None
    complete: bool = False
    fault: StreamFault | None = None
    _attempt_id: str = ""
    _partial_event: bytes = b""
    _template: EventTemplate | None = None
    _text: bytearray = attrs.field(factory=bytearray)

    @property
    def text(self) -> str:
        """The text delivered so far."""
        return str(json.loads(b'"' + bytes(self._text) + b'"'))

    def begin_attempt(self, attempt_id: str) -> None:
        """Prepare for a new stream, whose events carry `attempt_id`."""
        self.fault = None
        self._attempt_id = attempt_id
        self._partial_event = b""
        self._template = None

    def feed(self, block: bytes) -> bytes:
        """Process bytes of the current attempt and return the bytes to deliver.

        Afterwards, `fault` and `complete` tell whether the attempt is over. Events that precede
        a fault in the same block are returned.
        """
        if self.fault is not None or self.complete:
            return b""
        if self._partial_event:
            block = self._partial_event + block
            self._partial_event = b""
        end = block.rfind(EVENT_END)
        if end < 0:
            self._buffer_partial_event(block)
            return b""
        events = block[:end].split(EVENT_END) if block.find(EVENT_END) < end else [block[:end]]
        whole = b"".join([self._handle_event(event) for event in events])
        if self.fault is None:
            self._buffer_partial_event(block[end + 2 :])
        return whole

    def finish(self) -> bytes:
        """Return the terminator if all events have arrived and only it is missing."""
        if self.complete or self.usage is None:
            return b""
        self.complete = True
        return DONE_EVENT + EVENT_END

    def _buffer_partial_event(self, partial: bytes) -> None:
        self._partial_event = partial
        if len(partial) > MAX_EVENT_BYTES:
            self.fault = StreamFault.TOO_LARGE

    def _handle_event(self, event: bytes) -> bytes:
        if self.fault is not None or self.complete:
            return b""
        if self._template is not None:
            text = self._template.match(event, self.next_position)
            if text is not None:
                return self._deliver(event, text)
        return self._handle_unmatched_event(event)

    def _handle_unmatched_event(self, event: bytes) -> bytes:
        if event == DONE_EVENT:
            return self._handle_done_event()
        if not event.startswith(b"data:"):
            return self._handle_non_data_line(event)
        parsed = _parse(event)
        if parsed is None:
            return self._fail_stream(StreamFault.MALFORMED)
        if "error" in parsed:
            return self._fail_stream(StreamFault.ENGINE_ERROR)
        if parsed.get("id") != self._attempt_id:
            return self._fail_stream(StreamFault.WRONG_RESPONSE)
        return self._handle_parsed_event(event, parsed)

    def _handle_parsed_event(self, event: bytes, parsed: dict[str, Any]) -> bytes:
        position = parsed.get("position")
        if type(position) is not int or position < 0:
            return self._fail_stream(StreamFault.MALFORMED)
        if position < self.next_position:
            self.duplicates += 1
            return b""
        if position > self.next_position:
            return self._fail_stream(StreamFault.GAP)
        usage = parsed.get("usage")
        if isinstance(usage, dict):
            self.usage = usage
        else:
            self._template = derive_template(event, self._attempt_id)
        return self._deliver(event, json.dumps(event_text(parsed))[1:-1].encode())

    def _handle_non_data_line(self, event: bytes) -> bytes:
        if event.strip() and not event.startswith(b":"):
            return self._fail_stream(StreamFault.MALFORMED)
        return b""

    def _handle_done_event(self) -> bytes:
        if self.usage is None:
            return self._fail_stream(StreamFault.NO_USAGE)
        return self.finish()

    def _deliver(self, event: bytes, text: bytes) -> bytes:
        self.next_position += 1
        self._text += text
        if self._attempt_id != self.request_id:
            event = event.replace(self._attempt_id.encode(), self.request_id.encode(), 1)
        return event + EVENT_END

    def _fail_stream(self, fault: StreamFault) -> bytes:
        self.fault = fault
        return b""


def _parse(event: bytes) -> dict[str, Any] | None:
    try:
        parsed = json.loads(event.removeprefix(b"data:"))
    except (ValueError, RecursionError):
        return None
    return parsed if isinstance(parsed, dict) else None

"""Puts one gapless answer together from the streams of several attempts."""

from __future__ import annotations

import enum
import json
from typing import Any

import attrs

from hickoryloom.relay.template import EventTemplate, event_text, learn_template

__all__ = ["AnswerAssembly", "StreamFault"]

DONE_EVENT = b"data: [DONE]"
EVENT_END = b"\n\n"
MAX_EVENT_BYTES = 1024 * 1024


class StreamFault(enum.Enum):
    """Why a stream can't be trusted any further."""

    CROSSED = "crossed"
    GAP = "gap"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    ENGINE_ERROR = "engine-error"
    NO_USAGE = "no-usage"


@attrs.define
class AnswerAssembly:
    """Passes each event of an answer on once, in order, whichever attempt brings it.

    Attributes:
        request_id: Id that the caller sees.
        next_position: Position of the next event to deliver.
        duplicates: Events dropped because they had been delivered.
        usage: The engine's counts, once they came.
        complete: Whether the whole answer was delivered, its terminator included.
        fault: Why the current attempt's stream was given up, None while it is sound.
    """

    request_id: str
    next_position: int = 0
    duplicates: int = 0
    usage: dict[str, Any] | None = None
    complete: bool = False
    fault: StreamFault | None = None
    _attempt_id: str = ""
    _rest: bytes = b""
    _template: EventTemplate | None = None
    _text: bytearray = attrs.field(factory=bytearray)

    @property
    def text(self) -> str:
        """The text delivered so far."""
        return str(json.loads(b'"' + bytes(self._text) + b'"'))

    def begin_attempt(self, attempt_id: str) -> None:
        """Expect a new stream, whose events carry `attempt_id`."""
        self.fault = None
        self._attempt_id = attempt_id
        self._rest = b""
        self._template = None

    def feed(self, block: bytes) -> bytes:
        """Take bytes of the current attempt and return those to deliver.

        After a call, `fault` and `complete` tell whether the attempt is over. What a
        faulty block held before the fault is returned.
        """
        if self.fault is not None or self.complete:
            return b""
        if self._rest:
            block = self._rest + block
            self._rest = b""
        end = block.rfind(EVENT_END)
        if end < 0:
            self._keep(block)
            return b""
        self._keep(block[end + 2 :])
        events = block[:end].split(EVENT_END) if block.find(EVENT_END) < end else [block[:end]]
        return b"".join([self._take(event) for event in events])

    def finish(self) -> bytes:
        """Complete an answer whose last event came and whose terminator was lost."""
        if self.complete or self.usage is None:
            return b""
        self.complete = True
        return DONE_EVENT + EVENT_END

    def _keep(self, rest: bytes) -> None:
        self._rest = rest
        if len(rest) > MAX_EVENT_BYTES:
            self.fault = StreamFault.TOO_LARGE

    def _take(self, event: bytes) -> bytes:
        if self.fault is not None or self.complete:
            return b""
        if self._template is not None:
            text = self._template.match(event, self.next_position)
            if text is not None:
                return self._deliver(event, text)
        return self._take_unknown(event)

    def _take_unknown(self, event: bytes) -> bytes:
        if event == DONE_EVENT:
            return self._terminate()
        if not event.startswith(b"data:"):
            return self._take_comment(event)
        parsed = _parse(event)
        if parsed is None:
            return self._give_up(StreamFault.MALFORMED)
        if "error" in parsed:
            return self._give_up(StreamFault.ENGINE_ERROR)
        if parsed.get("id") != self._attempt_id:
            return self._give_up(StreamFault.CROSSED)
        return self._take_parsed(event, parsed)

    def _take_parsed(self, event: bytes, parsed: dict[str, Any]) -> bytes:
        position = parsed.get("position")
        if type(position) is not int or position < 0:
            return self._give_up(StreamFault.MALFORMED)
        if position < self.next_position:
            self.duplicates += 1
            return b""
        if position > self.next_position:
            return self._give_up(StreamFault.GAP)
        usage = parsed.get("usage")
        if isinstance(usage, dict):
            self.usage = usage
        else:
            self._template = learn_template(event, self._attempt_id)
        return self._deliver(event, json.dumps(event_text(parsed))[1:-1].encode())

    def _take_comment(self, event: bytes) -> bytes:
        if event.strip() and not event.startswith(b":"):
            return self._give_up(StreamFault.MALFORMED)
        return b""

    def _terminate(self) -> bytes:
        if self.usage is None:
            return self._give_up(StreamFault.NO_USAGE)
        return self.finish()

    def _deliver(self, event: bytes, text: bytes) -> bytes:
        self.next_position += 1
        self._text += text
        if self._attempt_id != self.request_id:
            event = event.replace(self._attempt_id.encode(), self.request_id.encode(), 1)
        return event + EVENT_END

    def _give_up(self, fault: StreamFault) -> bytes:
        self.fault = fault
        return b""


def _parse(event: bytes) -> dict[str, Any] | None:
    try:
        parsed = json.loads(event.removeprefix(b"data:"))
    except (ValueError, RecursionError):
        return None
    return parsed if isinstance(parsed, dict) else None

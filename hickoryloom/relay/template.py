"""Matches stream events against a byte template, so that not every event is parsed as JSON."""

from __future__ import annotations

import json
import re
from typing import Any

import attrs

__all__ = ["EventTemplate", "derive_template", "event_text"]

POSITION = re.compile(rb'"position":\s*(\d+)')
TEXT = re.compile(rb'"(?:content|text)":\s*"((?:[^"\\]|\\.)*)"')
PLACEHOLDER = b"probe"


@attrs.frozen
class EventTemplate:
    """The constant bytes of an event around its position and its text.

    A matching event equals, as JSON, the event that the template was derived from, except for
    these two values: the text contains no quotation mark, so it cannot terminate its string early.
    """

    head: bytes
    middle: bytes
    tail: bytes

    def match(self, event: bytes, position: int) -> bytes | None:
        """Return the text of an event as escaped JSON if it matches at `position`, else None."""
        start = b"%b%d%b" % (self.head, position, self.middle)
        if not event.startswith(start) or not event.endswith(self.tail):
            return None
        text = event[len(start) : len(event) - len(self.tail)]
        if b'"' in text or text.endswith(b"\\") or len(event) < len(start) + len(self.tail):
            return None
        return text


def derive_template(event: bytes, request_id: str) -> EventTemplate | None:
    """Return a template of a parsed and accepted event; None if its form allows no template.

    Args:
        event: The bytes from `data:` to the end of the line, without the blank line.
        request_id: The request id in the event.
    """
    position = POSITION.search(event)
    if position is None:
        return None
    text = TEXT.search(event, position.end())
    if text is None:
        return None
    template = EventTemplate(
        head=event[: position.start(1)],
        middle=event[position.end(1) : text.start(1)],
        tail=event[text.end(1) :],
    )
    return template if _is_valid(template, request_id) else None


def event_text(event: dict[str, Any]) -> str:
    """Return the text of a parsed event of a chat or text completion."""
    try:
        choice = event["choices"][0]
        text = choice["text"] if "text" in choice else choice["delta"].get("content")
    except (AttributeError, IndexError, KeyError, TypeError):
        return ""
    return text if isinstance(text, str) else ""


def _is_valid(template: EventTemplate, request_id: str) -> bool:
    line = template.head + b"7" + template.middle + PLACEHOLDER + template.tail
    try:
        event = json.loads(line.removeprefix(b"data:"))
    except ValueError:
        return False
    return (
        event.get("id") == request_id
        and event.get("position") == 7
        and event_text(event) == PLACEHOLDER.decode()
        and "usage" not in event
        and "error" not in event
    )

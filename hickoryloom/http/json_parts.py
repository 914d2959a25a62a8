"""Decodes JSON in which single parts can't be read, as other writers may have stored them.

A part that can't be read holds bytes that are no UTF-8, numbers or nesting beyond the limits of the
decoder, or text that is no JSON. The other parts are decoded as usual.
"""

from __future__ import annotations

import json
import re
from typing import Any

import attrs

__all__ = ["Parts", "Unreadable", "decode_json", "decode_json_parts"]

MAX_TEXT_CHARS = 4096
"""Longest text of an unreadable part that is kept."""

ARRAY_DEPTH = 2
"""Nesting of the array of objects, which is a member of the document."""

MAX_DEPTH = 5
"""Nesting of parts: document, array, element, object and its metadata."""

TRIM_CHARS = 64 * 1024
"""Length of decoded text that is dropped. The decoder's errors count the lines before them."""

_DECODER = json.JSONDecoder()
_LENIENT_DECODER = json.JSONDecoder(strict=False)
_BLANK = re.compile(r"[ \t\n\r]*")
_UNDECODED = re.compile("[\udc80-\udcff]")
_TOKEN = re.compile(
    r'"[^"\\]*(?:\\.[^"\\]*)*"|(?P<open>[\[{]+)|(?P<close>[\]}]+)'
    r"|[ \t\n\r,:0-9eE+\-.]+|true|false|null|NaN|Infinity",
    re.DOTALL,
)
_NEXT_ELEMENT = re.compile(r",[ \t\n\r]*(?=\{)")


@attrs.frozen
class Parts:
    """The parts of a kind of document.

    Attributes:
        outer: Names of members whose value consists of several parts: the members of an object, or
            the elements of an array. Any other value is one part.
        elements: Names of members of which each element of such an array has one.
    """

    outer: frozenset[str]
    elements: frozenset[str]


@attrs.frozen
class Unreadable:
    """Stands for a part that can't be read.

    Attributes:
        text: Its text if it is a JSON string with bytes that are no UTF-8, which are escaped as by
            the error handler `surrogateescape`; empty otherwise.
    """

    text: str = ""


UNREADABLE = Unreadable()


class _BrokenError(ValueError):
    """The text at a position is no JSON, so that the end of the part is not known."""


def decode_json(raw: bytes) -> Any:
    """Decode JSON.

    Raises:
        ValueError: Part of it can't be read.
    """
    try:
        return json.loads(raw)
    except RecursionError:
        raise ValueError("JSON is nested too deeply")


def decode_json_parts(raw: bytes, parts: Parts) -> Any:
    """Decode JSON; parts of an object that can't be read become `Unreadable`.

    Args:
        raw: The encoded document.
        parts: The parts of a document of its kind.

    Raises:
        ValueError: What surrounds the parts can't be read.
    """
    try:
        return decode_json(raw)
    except ValueError:
        return _PartsDecoder(raw.decode("utf-8", "surrogateescape"), parts).decode()


class _PartsDecoder:
    """Decodes one text.

    Args:
        text: The text, with the bytes that are no UTF-8 escaped.
        parts: The parts of a document of its kind.
    """

    def __init__(self, text: str, parts: Parts) -> None:
        self._text = text
        self._parts = parts

    def decode(self) -> Any:
        """Return the object."""
        members: dict[str, Any] = {}
        end = self._read_object(self._skip_blank(0), 1, members)
        if self._skip_blank(end) != len(self._text):
            raise _BrokenError("the JSON object is followed by further text")
        return members

    def _read_object(self, start: int, depth: int, members: dict[str, Any]) -> int:
        """Decode an object part by part into `members`; return the position of its end."""
        self._expect(start, "{")
        at = self._skip_blank(start + 1)
        if self._text[at : at + 1] == "}":
            return at + 1
        while True:
            name, at = self._part(at)
            name = name if isinstance(name, str) else None
            at = self._skip_blank(at)
            self._expect(at, ":")
            at = self._skip_blank(at + 1)
            if name in self._parts.outer and self._text[at : at + 1] == "{" and depth < MAX_DEPTH:
                value: Any = {}
                members[name] = value
                at = self._read_object(at, depth + 1, value)
            elif name in self._parts.outer and self._text[at : at + 1] == "[":
                value, at = self._array(at, depth + 1)
            else:
                value, at = self._part(at)
            at = self._skip_blank(at)
            if self._text[at : at + 1] not in (",", "}"):
                if name is not None:
                    members[name] = UNREADABLE
                raise _BrokenError(f"expected ',' or '}}' at character {at}")
            if name is not None:
                members[name] = value
            if self._text[at : at + 1] == "}":
                return at + 1
            at = self._skip_blank(at + 1)

    def _array(self, start: int, depth: int) -> tuple[list[Any], int]:
        """Decode an array of objects part by part; return it and the position of its end."""
        elements: list[Any] = []
        at = self._skip_blank(start + 1)
        if self._text[at : at + 1] == "]":
            return elements, at + 1
        while True:
            element, end = self._element(at, depth + 1)
            elements.append(element)
            if depth == ARRAY_DEPTH and end > TRIM_CHARS:
                # Positions in the document are not needed again before the end of this array.
                self._text, end = self._text[end:], 0
            if self._text[end : end + 1] == "]":
                return elements, end + 1
            at = self._skip_blank(end + 1)

    def _element(self, start: int, depth: int) -> tuple[Any, int]:
        """Decode an element of an array; return it and the position of what separates it."""
        members: dict[str, Any] = {}
        try:
            # Most elements are sound; decoding them as a whole is faster.
            sound = self._sound(start)
            if sound is not None:
                element, end = sound
            elif self._text[start : start + 1] == "{" and depth <= MAX_DEPTH:
                element, end = members, self._read_object(start, depth, members)
            else:
                element, end = self._part(start)
            end = self._skip_blank(end)
            if self._text[end : end + 1] not in (",", "]"):
                raise _BrokenError(f"expected ',' or ']' at character {end}")
        except _BrokenError:
            return members or UNREADABLE, self._find_end(start, depth)
        return element, end

    def _part(self, start: int) -> tuple[Any, int]:
        """Decode a value as a whole; return it, or `Unreadable`, and the position of its end."""
        sound = self._sound(start)
        if sound is not None:
            return sound
        end = self._skip_value(start)
        return self._unreadable(start, end), end

    def _sound(self, start: int) -> tuple[Any, int] | None:
        """Return a value and the position of its end; None if any part of it can't be read."""
        try:
            value, end = _DECODER.raw_decode(self._text, start)
        except (ValueError, RecursionError):
            return None
        return None if _UNDECODED.search(self._text, start, end) else (value, end)

    def _unreadable(self, start: int, end: int) -> Unreadable:
        if self._text[start : start + 1] != '"' or end - start > MAX_TEXT_CHARS:
            return UNREADABLE
        try:
            return Unreadable(_LENIENT_DECODER.decode(self._text[start:end]))
        except ValueError:
            return UNREADABLE

    def _skip_value(self, start: int) -> int:
        """Return the position of the end of a value by its brackets and quotes alone."""
        depth, at = 0, start
        while True:
            token = _TOKEN.match(self._text, at)
            if token is None:
                raise _BrokenError(f"no JSON at character {at}")
            opened, closed = token.group("open", "close")
            if closed and len(closed) >= depth:
                # Further brackets close what surrounds the value.
                return at + depth if depth else self._end_of_scalar(start, at)
            depth += len(opened or "") - len(closed or "")
            at = token.end()
            if depth == 0 and token.group()[0] == '"':
                return at
            if depth == 0 and (comma := token.group().find(",")) >= 0:
                return self._end_of_scalar(start, token.start() + comma)

    def _end_of_scalar(self, start: int, end: int) -> int:
        if end == start:
            raise _BrokenError(f"no value at character {start}")
        return end

    def _find_end(self, start: int, depth: int) -> int:
        """Return the position after an element of an array whose text is no JSON.

        That is where the next sound element or the rest of the document follows.
        """
        for boundary in _NEXT_ELEMENT.finditer(self._text, start):
            members: dict[str, Any] = {}
            try:
                end = self._skip_blank(self._read_object(boundary.end(), depth, members))
            except _BrokenError:
                continue
            is_followed = self._text[end : end + 1] in (",", "]")
            if is_followed and self._parts.elements & members.keys():
                return boundary.start()
        end = self._text.rfind("]", start)
        if end < 0:
            raise _BrokenError(f"the array element at character {start} has no end")
        return end

    def _skip_blank(self, at: int) -> int:
        match = _BLANK.match(self._text, at)
        return at if match is None else match.end()

    def _expect(self, at: int, character: str) -> None:
        if self._text[at : at + 1] != character:
            raise _BrokenError(f"expected {character!r} at character {at}")

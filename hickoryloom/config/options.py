"""Declared options: what may stand under a key, and how it is read."""

from __future__ import annotations

import enum
import json
import re
from typing import Any, Protocol

import attrs

__all__ = [
    "Address",
    "Choice",
    "Digest",
    "Flag",
    "Integer",
    "Invalid",
    "InvalidValueError",
    "ListOf",
    "Name",
    "Number",
    "Option",
    "Pattern",
    "Secret",
    "Text",
    "show",
]

MAX_SHOWN_CHARS = 60
MAX_TEXT_CHARS = 1024
MAX_PORT = 65535


@attrs.frozen
class Invalid:
    """One value that an option doesn't allow.

    Attributes:
        found: What was found, fit to be shown.
        allowed: What the option allows.
        remedy: What to do; empty for the usual advice.
        place: Where it stands within the value read, such as `[2].address`; empty for the whole.
    """

    found: str
    allowed: str
    remedy: str = ""
    place: str = ""


class InvalidValueError(Exception):
    """A value that an option doesn't allow, with everything that is wrong in it.

    Attributes:
        reasons: What is wrong, at least one.
    """

    def __init__(self, *reasons: Invalid) -> None:
        super().__init__("; ".join(f"{reason.found}" for reason in reasons))
        self.reasons = reasons


class Option(Protocol):
    """Checks one JSON value and turns it into the field's value."""

    @property
    def allowed(self) -> str:
        """What may stand there, in words."""

    def read(self, value: Any) -> Any:
        """Return the checked value.

        Raises:
            InvalidValueError: The value is not allowed.
        """


def _refuse(found: str, allowed: str, remedy: str = "") -> InvalidValueError:
    return InvalidValueError(Invalid(found, allowed, remedy))


def _placed(reason: Invalid, place: str) -> Invalid:
    return attrs.evolve(reason, place=f"{place}{reason.place}")


def show(value: Any) -> str:
    """Return a short form of a JSON value for a message."""
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."


@attrs.frozen
class Text:
    """Any string, also an empty one."""

    allowed: str = "a string"
    max_chars: int = MAX_TEXT_CHARS

    def read(self, value: Any) -> str:
        """Return the string."""
        if not isinstance(value, str):
            raise _refuse(show(value), self.allowed)
        if len(value) > self.max_chars:
            raise _refuse(f"{len(value)} characters", f"at most {self.max_chars} characters")
        return value


@attrs.frozen
class Pattern:
    """A string that a regular expression matches as a whole."""

    expression: str
    allowed: str

    def read(self, value: Any) -> str:
        """Return the string."""
        if not isinstance(value, str) or not re.fullmatch(self.expression, value):
            raise _refuse(show(value), self.allowed)
        return value


@attrs.frozen
class Name:
    """A name that fits into paths, metrics and logs."""

    optional: bool = False

    @property
    def allowed(self) -> str:
        """What may stand there, in words."""
        form = "a name (1 to 63 of a-z, 0-9, '.', '_' and '-'; first a letter or digit)"
        return f"{form}, or an empty string" if self.optional else form

    def read(self, value: Any) -> str:
        """Return the name."""
        if self.optional and value == "":
            return ""
        if not isinstance(value, str) or not re.fullmatch(r"[a-z0-9][a-z0-9._-]{0,62}", value):
            raise _refuse(show(value), self.allowed)
        return value


@attrs.frozen
class Address:
    """`host:port`."""

    optional: bool = False
    any_port: bool = False

    @property
    def allowed(self) -> str:
        """What may stand there, in words."""
        lowest = 0 if self.any_port else 1
        form = f"host:port with a port from {lowest} to {MAX_PORT}"
        return f"{form}, or an empty string" if self.optional else form

    def read(self, value: Any) -> str:
        """Return the address."""
        if self.optional and value == "":
            return ""
        if not isinstance(value, str) or not self._is_valid(value):
            raise _refuse(show(value), self.allowed)
        return value

    def _is_valid(self, value: str) -> bool:
        host, _, port = value.rpartition(":")
        if not re.fullmatch(r"[A-Za-z0-9.-]+|\[[0-9A-Fa-f:.]+\]", host):
            return False
        if not re.fullmatch(r"[0-9]{1,5}", port):
            return False
        return (0 if self.any_port else 1) <= int(port) <= MAX_PORT


@attrs.frozen
class Integer:
    """A whole number within bounds."""

    lowest: int
    highest: int

    @property
    def allowed(self) -> str:
        """What may stand there, in words."""
        return f"a whole number from {self.lowest} to {self.highest}"

    def read(self, value: Any) -> int:
        """Return the number."""
        if isinstance(value, bool) or not isinstance(value, int):
            raise _refuse(show(value), self.allowed)
        if not self.lowest <= value <= self.highest:
            raise _refuse(show(value), self.allowed)
        return value


@attrs.frozen
class Number:
    """A number within bounds."""

    lowest: float
    highest: float

    @property
    def allowed(self) -> str:
        """What may stand there, in words."""
        return f"a number from {self.lowest:g} to {self.highest:g}"

    def read(self, value: Any) -> float:
        """Return the number as a float."""
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise _refuse(show(value), self.allowed)
        if not self.lowest <= value <= self.highest:
            raise _refuse(show(value), self.allowed)
        return float(value)


@attrs.frozen
class Flag:
    """True or false."""

    allowed: str = "true or false"

    def read(self, value: Any) -> bool:
        """Return the flag."""
        if not isinstance(value, bool):
            raise _refuse(show(value), self.allowed)
        return value


@attrs.frozen
class Choice:
    """One of a few strings, turned into an enum's member where there is one."""

    choices: tuple[str, ...]
    kind: type[enum.Enum] | None = None

    @property
    def allowed(self) -> str:
        """What may stand there, in words."""
        return "one of " + ", ".join(self.choices)

    def read(self, value: Any) -> Any:
        """Return the choice."""
        if not isinstance(value, str) or value not in self.choices:
            raise _refuse(show(value), self.allowed)
        return self.kind(value) if self.kind else value


@attrs.frozen
class ListOf:
    """A list without repeated items, read as a tuple."""

    item: Option
    at_least: int = 0

    @property
    def allowed(self) -> str:
        """What may stand there, in words."""
        count = f"at least {self.at_least} of: " if self.at_least else ""
        return f"a list of {count}{self.item.allowed}"

    def read(self, value: Any) -> tuple[Any, ...]:
        """Return the items."""
        if not isinstance(value, list) or len(value) < self.at_least:
            raise _refuse(show(value), self.allowed)
        return self._read_items(value)

    def _read_items(self, value: list[Any]) -> tuple[Any, ...]:
        items: list[Any] = []
        reasons: list[Invalid] = []
        seen: set[str] = set()
        for index, item in enumerate(value):
            text = json.dumps(item, sort_keys=True)
            if text in seen:
                found = f"{show(item)} twice"
                reasons.append(Invalid(found, "each item once", "Remove one.", f"[{index}]"))
            seen.add(text)
            try:
                items.append(self.item.read(item))
            except InvalidValueError as error:
                reasons.extend(_placed(reason, f"[{index}]") for reason in error.reasons)
        if reasons:
            raise InvalidValueError(*reasons)
        return tuple(items)


@attrs.frozen
class Secret:
    """A string that is never shown, not even in a message about it."""

    allowed: str = "a string of printable characters without spaces"

    def read(self, value: Any) -> str:
        """Return the secret."""
        if not isinstance(value, str):
            raise _refuse(f"a {type(value).__name__} (not shown)", self.allowed)
        if not re.fullmatch(r"[!-~]*", value):
            raise _refuse(f"{len(value)} characters (not shown)", self.allowed)
        return value


@attrs.frozen
class Digest:
    """A SHA-256 hash; what was found instead may be a key and is not shown."""

    allowed: str = "64 lower-case hexadecimal characters, the SHA-256 of the key"

    def read(self, value: Any) -> str:
        """Return the hash."""
        if not isinstance(value, str) or not re.fullmatch(r"[0-9a-f]{64}", value):
            length = len(value) if isinstance(value, str) else 0
            remedy = "Write the SHA-256 of the key, never the key itself."
            raise _refuse(f"{length} characters (not shown)", self.allowed, remedy)
        return value

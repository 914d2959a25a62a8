"""Option types: which JSON values a key allows, and how they are converted."""

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
    "Violation",
    "InvalidValueError",
    "ListOf",
    "Name",
    "Number",
    "Option",
    "Pattern",
    "Secret",
    "Text",
    "format_value",
]

MAX_SHOWN_CHARS = 60
MAX_TEXT_CHARS = 1024
MAX_PORT = 65535


@attrs.frozen
class Violation:
    """One value that an option does not allow.

    Attributes:
        found: The value found, in a form that may be displayed.
        allowed: Description of the allowed values.
        remedy: How to fix it; empty for the default advice.
        path: Path within the validated value, such as `[2].address`; empty for the value itself.
    """

    found: str
    allowed: str
    remedy: str = ""
    path: str = ""


class InvalidValueError(Exception):
    """A value that an option does not allow, with all violations in it.

    Attributes:
        reasons: The violations, at least one.
    """

    def __init__(self, *reasons: Violation) -> None:
        super().__init__("; ".join(f"{violation.found}" for violation in reasons))
        self.reasons = reasons


class Option(Protocol):
    """Validates one JSON value and converts it into the field's value."""

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""

    def read(self, value: Any) -> Any:
        """Return the converted value.

        Raises:
            InvalidValueError: The value is not allowed.
        """


def _invalid_value(found: str, allowed: str, remedy: str = "") -> InvalidValueError:
    return InvalidValueError(Violation(found, allowed, remedy))


def _with_path(violation: Violation, path: str) -> Violation:
    return attrs.evolve(violation, path=f"{path}{violation.path}")


def format_value(value: Any) -> str:
    """Return a JSON value in a short form for messages."""
    text = json.dumps(value, ensure_ascii=False)
    return text if len(text) <= MAX_SHOWN_CHARS else f"{text[:MAX_SHOWN_CHARS]}..."


@attrs.frozen
class Text:
    """Any string, including an empty one."""

    allowed: str = "a string"
    max_chars: int = MAX_TEXT_CHARS

    def read(self, value: Any) -> str:
        """Return the string."""
        if not isinstance(value, str):
            raise _invalid_value(format_value(value), self.allowed)
        if len(value) > self.max_chars:
            raise _invalid_value(f"{len(value)} characters", f"at most {self.max_chars} characters")
        return value


@attrs.frozen
class Pattern:
    """A string that matches a regular expression in full."""

    expression: str
    allowed: str

    def read(self, value: Any) -> str:
        """Return the string."""
        if not isinstance(value, str) or not re.fullmatch(self.expression, value):
            raise _invalid_value(format_value(value), self.allowed)
        return value


@attrs.frozen
class Name:
    """A name that is safe in paths, metrics and logs."""

    optional: bool = False

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        form = "a name (1 to 63 of a-z, 0-9, '.', '_' and '-'; first a letter or digit)"
        return f"{form}, or an empty string" if self.optional else form

    def read(self, value: Any) -> str:
        """Return the name."""
        if self.optional and value == "":
            return ""
        if not isinstance(value, str) or not re.fullmatch(r"[a-z0-9][a-z0-9._-]{0,62}", value):
            raise _invalid_value(format_value(value), self.allowed)
        return value


@attrs.frozen
class Address:
    """`host:port`."""

    optional: bool = False
    any_port: bool = False

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        lowest = 0 if self.any_port else 1
        form = f"host:port with a port from {lowest} to {MAX_PORT}"
        return f"{form}, or an empty string" if self.optional else form

    def read(self, value: Any) -> str:
        """Return the address."""
        if self.optional and value == "":
            return ""
        if not isinstance(value, str) or not self._is_valid(value):
            raise _invalid_value(format_value(value), self.allowed)
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
    """An integer within limits."""

    lowest: int
    highest: int

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return f"a whole number from {self.lowest} to {self.highest}"

    def read(self, value: Any) -> int:
        """Return the number."""
        if isinstance(value, bool) or not isinstance(value, int):
            raise _invalid_value(format_value(value), self.allowed)
        if not self.lowest <= value <= self.highest:
            raise _invalid_value(format_value(value), self.allowed)
        return value


@attrs.frozen
class Number:
    """A number within limits."""

    lowest: float
    highest: float

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return f"a number from {self.lowest:g} to {self.highest:g}"

    def read(self, value: Any) -> float:
        """Return the number as a float."""
        if isinstance(value, bool) or not isinstance(value, (int, float)):
            raise _invalid_value(format_value(value), self.allowed)
        if not self.lowest <= value <= self.highest:
            raise _invalid_value(format_value(value), self.allowed)
        return float(value)


@attrs.frozen
class Flag:
    """True or false."""

    allowed: str = "true or false"

    def read(self, value: Any) -> bool:
        """Return the flag."""
        if not isinstance(value, bool):
            raise _invalid_value(format_value(value), self.allowed)
        return value


@attrs.frozen
class Choice:
    """One of a fixed set of strings, converted into an enum member if an enum is given."""

    choices: tuple[str, ...]
    enum_type: type[enum.Enum] | None = None

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return "one of " + ", ".join(self.choices)

    def read(self, value: Any) -> Any:
        """Return the choice."""
        if not isinstance(value, str) or value not in self.choices:
            raise _invalid_value(format_value(value), self.allowed)
        return self.enum_type(value) if self.enum_type else value


@attrs.frozen
class ListOf:
    """A list without duplicate items, converted into a tuple."""

    item: Option
    at_least: int = 0

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        count = f"at least {self.at_least} of: " if self.at_least else ""
        return f"a list of {count}{self.item.allowed}"

    def read(self, value: Any) -> tuple[Any, ...]:
        """Return the items."""
        if not isinstance(value, list) or len(value) < self.at_least:
            raise _invalid_value(format_value(value), self.allowed)
        return self._read_items(value)

    def _read_items(self, value: list[Any]) -> tuple[Any, ...]:
        items: list[Any] = []
        reasons: list[Violation] = []
        seen: set[str] = set()
        for index, item in enumerate(value):
            text = json.dumps(item, sort_keys=True)
            if text in seen:
                found = f"{format_value(item)} twice"
                reasons.append(Violation(found, "each item once", "Remove one.", f"[{index}]"))
            seen.add(text)
            try:
                items.append(self.item.read(item))
            except InvalidValueError as error:
                reasons.extend(_with_path(violation, f"[{index}]") for violation in error.reasons)
        if reasons:
            raise InvalidValueError(*reasons)
        return tuple(items)


@attrs.frozen
class Secret:
    """A string that never appears in output, not even in messages about it."""

    allowed: str = "a string of printable characters without spaces"

    def read(self, value: Any) -> str:
        """Return the secret."""
        if not isinstance(value, str):
            raise _invalid_value(f"a {type(value).__name__} (not shown)", self.allowed)
        if not re.fullmatch(r"[!-~]*", value):
            raise _invalid_value(f"{len(value)} characters (not shown)", self.allowed)
        return value


@attrs.frozen
class Digest:
    """A SHA-256 hash; an invalid value is not displayed, since it may be a key."""

    allowed: str = "64 lower-case hexadecimal characters, the SHA-256 of the key"

    def read(self, value: Any) -> str:
        """Return the hash."""
        if not isinstance(value, str) or not re.fullmatch(r"[0-9a-f]{64}", value):
            length = len(value) if isinstance(value, str) else 0
            remedy = "Write the SHA-256 of the key, never the key itself."
            raise _invalid_value(f"{length} characters (not shown)", self.allowed, remedy)
        return value

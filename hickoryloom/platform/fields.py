"""Typed access to fields of decoded JSON or YAML; errors name the missing or invalid field."""

from __future__ import annotations

import math
import re
import reprlib
from typing import Any

__all__ = ["FieldError", "get_bool", "get_dict", "get_float", "get_int", "get_list", "get_str"]

MAX_INT = 2**63 - 1
SURROGATES = re.compile("[\ud800-\udfff]")


class FieldError(ValueError):
    """A field is missing or has an invalid value."""


def _get_value(source: Any, name: str, kinds: tuple[type, ...], default: Any) -> Any:
    if not isinstance(source, dict):
        raise FieldError(
            f"expected a mapping that contains {name!r}, found {type(source).__name__}"
        )
    value = source.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        # The representation of a deeply nested value would exceed the recursion limit.
        found = reprlib.repr(value)
        raise FieldError(f"field {name!r} is {found:.60}, not of type {kinds[0].__name__}")
    return value


def get_str(source: Any, name: str, default: str | None = None) -> str:
    """Return a string without surrogates, which can't be encoded."""
    value = str(_get_value(source, name, (str,), default))
    if SURROGATES.search(value):
        raise FieldError(f"field {name!r} has characters that are no Unicode text")
    return value


def get_int(source: Any, name: str, default: int | None = None) -> int:
    """Return an integer of up to 64 bits."""
    value = int(_get_value(source, name, (int,), default))
    if not -MAX_INT <= value <= MAX_INT:
        raise FieldError(f"field {name!r} is out of range")
    return value


def get_float(source: Any, name: str, default: float | None = None) -> float:
    """Return a finite number."""
    try:
        value = float(_get_value(source, name, (float, int), default))
    except OverflowError:
        raise FieldError(f"field {name!r} is out of range")
    if not math.isfinite(value):
        raise FieldError(f"field {name!r} is {value}")
    return value


def get_bool(source: Any, name: str, default: bool | None = None) -> bool:
    """Return a boolean."""
    return bool(_get_value(source, name, (bool,), default))


def get_list(source: Any, name: str) -> list[Any]:
    """Return a list; empty if the field is missing."""
    return list(_get_value(source, name, (list,), []))


def get_dict(source: Any, name: str) -> dict[str, Any]:
    """Return a dictionary; empty if the field is missing."""
    return dict(_get_value(source, name, (dict,), {}))

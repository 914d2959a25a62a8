"""Reads fields of decoded JSON or YAML, and says which one is missing or of another type."""

from __future__ import annotations

import math
from typing import Any

__all__ = ["FieldError", "flag", "integer", "number", "records", "table", "text"]


class FieldError(ValueError):
    """A field that can't be used."""


def _value(found: Any, name: str, kinds: tuple[type, ...], default: Any) -> Any:
    if not isinstance(found, dict):
        raise FieldError(f"expected a table around {name!r}, found {type(found).__name__}")
    value = found.get(name)
    if value is None and default is not None:
        return default
    if not isinstance(value, kinds) or (isinstance(value, bool) and bool not in kinds):
        raise FieldError(f"field {name!r} is {value!r:.60}, not of type {kinds[0].__name__}")
    return value


def text(found: Any, name: str, default: str | None = None) -> str:
    """Return a string."""
    return str(_value(found, name, (str,), default))


def integer(found: Any, name: str, default: int | None = None) -> int:
    """Return a whole number."""
    return int(_value(found, name, (int,), default))


def number(found: Any, name: str, default: float | None = None) -> float:
    """Return a finite number."""
    value = float(_value(found, name, (float, int), default))
    if not math.isfinite(value):
        raise FieldError(f"field {name!r} is {value}")
    return value


def flag(found: Any, name: str, default: bool | None = None) -> bool:
    """Return true or false."""
    return bool(_value(found, name, (bool,), default))


def records(found: Any, name: str) -> list[Any]:
    """Return a list, empty when there is none."""
    return list(_value(found, name, (list,), []))


def table(found: Any, name: str) -> dict[str, Any]:
    """Return a table, empty when there is none."""
    return dict(_value(found, name, (dict,), {}))

"""JSON forms of usage objects, sealed records and copies."""

from __future__ import annotations

from typing import Any, TypeVar

import cattrs
from result import Err, Ok, Result

from hickoryloom.usage.figures import from_rows

__all__ = ["read_as", "read_with_rows"]

T = TypeVar("T")


def read_as(kind: type[T], value: Any) -> Result[T, str]:
    """Return `value` from JSON as an attrs instance, or what is wrong with it."""
    if not isinstance(value, dict):
        return Err("not a JSON object")
    try:
        return Ok(cattrs.structure(value, kind))
    except Exception as error:
        return Err(f"{type(error).__name__}: {error}"[:200])


def read_with_rows(kind: type[T], value: Any) -> Result[T, str]:
    """Return `value` like `read_as`, after a check that its rows are usage figures."""
    found = read_as(kind, value)
    if isinstance(found, Err):
        return found
    try:
        from_rows(found.ok_value.rows)  # type: ignore[attr-defined]
    except (ValueError, TypeError) as error:
        return Err(f"rows: {error}"[:200])
    return found

"""Decoding of usage objects, sealed records and copies from JSON."""

from __future__ import annotations

from typing import Any, TypeVar

import cattrs
from result import Err, Ok, Result

from hickoryloom.usage.figures import from_rows

__all__ = ["decode_as", "decode_with_rows"]

T = TypeVar("T")


def decode_as(kind: type[T], value: Any) -> Result[T, str]:
    """Decode a JSON value as an object of an attrs class, or return a description of the error."""
    if not isinstance(value, dict):
        return Err("not a JSON object")
    try:
        return Ok(cattrs.structure(value, kind))
    except Exception as error:
        return Err(f"{type(error).__name__}: {error}"[:200])


def decode_with_rows(kind: type[T], value: Any) -> Result[T, str]:
    """Decode `value` like `decode_as`, and check that its rows are valid usage figures."""
    decoded = decode_as(kind, value)
    if isinstance(decoded, Err):
        return decoded
    try:
        from_rows(decoded.ok_value.rows)  # type: ignore[attr-defined]
    except (ValueError, TypeError) as error:
        return Err(f"rows: {error}"[:200])
    return decoded

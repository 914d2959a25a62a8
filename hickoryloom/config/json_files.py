"""Reads JSON files strictly: no duplicate keys, no NaN or infinity, limited size."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from hickoryloom.config.faults import Fault

__all__ = ["read_json_file"]

MAX_FILE_BYTES = 16 * 1024 * 1024


class _DuplicateKeyError(ValueError):
    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key


def read_json_file(path: Path) -> Result[Any, Fault]:
    """Return the JSON value of a file, or the fault that prevents reading it."""
    name = str(path)
    try:
        raw = path.read_bytes()
    except OSError as error:
        found = error.strerror or type(error).__name__
        return Err(Fault(name, "", found, "a readable file", "Check the path and its permissions."))
    if len(raw) > MAX_FILE_BYTES:
        allowed = f"at most {MAX_FILE_BYTES} bytes"
        return Err(Fault(name, "", f"{len(raw)} bytes", allowed, "Split the file."))
    return _parse(name, raw)


def _parse(name: str, raw: bytes) -> Result[Any, Fault]:
    allowed = "one JSON value in UTF-8"
    try:
        return Ok(
            json.loads(
                raw.decode("utf-8-sig"),
                object_pairs_hook=_reject_duplicate_keys,
                parse_constant=_reject_constant,
            )
        )
    except json.JSONDecodeError as error:
        found = f"{error.msg} at line {error.lineno}, column {error.colno}"
        return Err(Fault(name, "", found, allowed, "Fix the JSON syntax."))
    except UnicodeDecodeError as error:
        found = f"a byte that is not UTF-8 at offset {error.start}"
        return Err(Fault(name, "", found, allowed, "Save the file as UTF-8."))
    except _DuplicateKeyError as error:
        return Err(
            Fault(
                name,
                error.key,
                "a duplicate key in one object",
                "each key once",
                "Merge.",
            )
        )
    except RecursionError:
        return Err(Fault(name, "", "too many nested values", allowed, "Reduce the nesting."))
    except ValueError as error:
        return Err(Fault(name, "", str(error), allowed, "Write a valid JSON number."))


def _reject_duplicate_keys(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    result: dict[str, Any] = {}
    for key, value in pairs:
        if key in result:
            raise _DuplicateKeyError(key)
        result[key] = value
    return result


def _reject_constant(constant: str) -> Any:
    raise ValueError(f"{constant}, which is not a JSON number")

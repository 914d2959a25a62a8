"""Reads JSON files strictly: no repeated keys, no values outside JSON, bounded size."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from result import Err, Ok, Result

from hickoryloom.config.faults import Fault

__all__ = ["read_json_file"]

MAX_FILE_BYTES = 16 * 1024 * 1024


class _RepeatedKeyError(ValueError):
    def __init__(self, key: str) -> None:
        super().__init__(key)
        self.key = key


def read_json_file(path: Path) -> Result[Any, Fault]:
    """Return the JSON value of a file, or the fault that keeps it from being read."""
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
                object_pairs_hook=_without_repeats,
                parse_constant=_refuse_constant,
            )
        )
    except json.JSONDecodeError as error:
        found = f"{error.msg} at line {error.lineno}, column {error.colno}"
        return Err(Fault(name, "", found, allowed, "Mend the JSON there."))
    except UnicodeDecodeError as error:
        found = f"a byte that is not UTF-8 at offset {error.start}"
        return Err(Fault(name, "", found, allowed, "Save the file as UTF-8."))
    except _RepeatedKeyError as error:
        return Err(Fault(name, error.key, "the key twice in one object", "each key once", "Merge."))
    except RecursionError:
        return Err(Fault(name, "", "too many nested values", allowed, "Flatten the file."))
    except ValueError as error:
        return Err(Fault(name, "", str(error), allowed, "Write a number that JSON has."))


def _without_repeats(pairs: list[tuple[str, Any]]) -> dict[str, Any]:
    built: dict[str, Any] = {}
    for key, value in pairs:
        if key in built:
            raise _RepeatedKeyError(key)
        built[key] = value
    return built


def _refuse_constant(constant: str) -> Any:
    raise ValueError(f"{constant}, which is no JSON number")

"""Reads JSON objects into attrs classes whose fields declare their options."""

from __future__ import annotations

import difflib
from typing import Any

import attrs

from hickoryloom.config.faults import Fault
from hickoryloom.config.options import InvalidValueError, Option, Violation, format_value

__all__ = [
    "Record",
    "declare",
    "declared_fields",
    "describe_options",
    "join_key_path",
    "read_record",
    "write_record",
]

OPTION = "hickoryloom.option"
JSON_NAME = "hickoryloom.json_name"


def declare(option: Option, json_name: str = "") -> dict[str, Any]:
    """Return the metadata of an attrs field that is read from a JSON key.

    Args:
        option: Validates and converts the value of the key.
        json_name: The key, if it differs from the name of the field.
    """
    return {OPTION: option, JSON_NAME: json_name}


@attrs.frozen
class Record:
    """Option whose value is a JSON object, converted into an attrs class."""

    record_type: type[Any]

    @property
    def allowed(self) -> str:
        """Description of the allowed values."""
        return f"an object with keys among {', '.join(declared_fields(self.record_type))}"

    def read(self, value: Any) -> Any:
        """Return the object of the attrs class."""
        faults: list[Fault] = []
        record = read_record(self.record_type, value, "", "", faults)
        if faults:
            reasons = (
                Violation(
                    fault.found, fault.allowed, fault.remedy, f".{fault.key}" if fault.key else ""
                )
                for fault in faults
            )
            raise InvalidValueError(*reasons)
        return record


def declared_fields(record_type: type[Any]) -> dict[str, attrs.Attribute[Any]]:
    """Return the fields of an attrs class that are read from JSON, by key."""
    fields = [field for field in attrs.fields(record_type) if OPTION in field.metadata]
    return {field.metadata[JSON_NAME] or field.name: field for field in fields}


def read_record(
    record_type: type[Any],
    value: Any,
    file: str,
    key_path: str,
    faults: list[Fault],
    **preset: Any,
) -> Any:
    """Convert one JSON object into an attrs class and append all faults found.

    Args:
        record_type: The attrs class to build.
        value: The JSON value.
        file: Path of the file, for faults.
        key_path: Path of the object within the file; empty for the whole file.
        faults: List to which the faults are appended.
        preset: Fields that are not read from the object, such as a name that is the object's key.

    Returns:
        The object of the attrs class, or None if there was any fault.
    """
    fields = {
        key: field
        for key, field in declared_fields(record_type).items()
        if field.name not in preset
    }
    if not isinstance(value, dict):
        allowed = f"an object with keys among {', '.join(fields)}"
        faults.append(Fault(file, key_path, format_value(value), allowed, "Write an object."))
        return None
    fault_count = len(faults)
    values = dict(preset)
    faults.extend(_unknown_keys(value, fields, file, key_path))
    for key, field in fields.items():
        _read_field(field, key, value, values, file, key_path, faults)
    return record_type(**values) if len(faults) == fault_count else None


def write_record(record: Any, omit: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return the JSON form of a record, without fields that have their default value."""
    values_by_key: dict[str, Any] = {}
    for key, field in declared_fields(type(record)).items():
        value = getattr(record, field.name)
        if field.name not in omit and value != field.default:
            values_by_key[key] = _to_json(value)
    return values_by_key


def describe_options(record_type: type[Any]) -> list[tuple[str, str, str]]:
    """Return the key, allowed values and default of each option, for help and documentation."""
    rows = []
    for key, field in declared_fields(record_type).items():
        default = (
            "required" if field.default is attrs.NOTHING else format_value(_to_json(field.default))
        )
        rows.append((key, field.metadata[OPTION].allowed, default))
    return rows


def _unknown_keys(
    value: dict[str, Any], fields: dict[str, Any], file: str, key_path: str
) -> list[Fault]:
    faults = []
    for key in value:
        if key not in fields:
            matches = difflib.get_close_matches(key, fields, 1)
            remedy = f"Write {matches[0]!r} instead." if matches else "Remove it."
            allowed = f"keys among {', '.join(fields)}"
            faults.append(
                Fault(file, join_key_path(key_path, key), "an unknown key", allowed, remedy)
            )
    return faults


def _read_field(
    field: attrs.Attribute[Any],
    key: str,
    value: dict[str, Any],
    values: dict[str, Any],
    file: str,
    key_path: str,
    faults: list[Fault],
) -> None:
    option = field.metadata[OPTION]
    field_path = join_key_path(key_path, key)
    if key not in value:
        if field.default is attrs.NOTHING:
            faults.append(
                Fault(file, field_path, "nothing", option.allowed, f"Add the key {key!r}.")
            )
        return
    try:
        values[field.name] = option.read(value[key])
    except InvalidValueError as error:
        for reason in error.reasons:
            remedy = reason.remedy or "Change the value."
            fault_path = f"{field_path}{reason.path}"
            faults.append(Fault(file, fault_path, reason.found, reason.allowed, remedy))


def join_key_path(key_path: str, key: str) -> str:
    """Return the path of a key below `key_path`."""
    return f"{key_path}.{key}" if key_path else key


def _to_json(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_to_json(item) for item in value]
    if attrs.has(type(value)):
        return write_record(value)
    if isinstance(value, float) and value.is_integer():
        # A store may write 2.0 as 2. One canonical form keeps the digest of a record stable.
        return int(value)
    return getattr(value, "value", value)

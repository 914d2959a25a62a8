"""Reads JSON objects into attrs classes whose fields declare their options."""

from __future__ import annotations

import difflib
from typing import Any

import attrs

from hickoryloom.config.faults import Fault
from hickoryloom.config.options import Invalid, InvalidValueError, Option, show

__all__ = [
    "Record",
    "declare",
    "declared_fields",
    "describe",
    "join",
    "read_record",
    "write_record",
]

OPTION = "hickoryloom.option"
JSON_NAME = "hickoryloom.json_name"


def declare(option: Option, json_name: str = "") -> dict[str, Any]:
    """Return the metadata of an attrs field that a JSON key fills.

    Args:
        option: What may stand under the key.
        json_name: The key where it differs from the field's name.
    """
    return {OPTION: option, JSON_NAME: json_name}


@attrs.frozen
class Record:
    """A JSON object that is read into an attrs class; usable as an option."""

    kind: type[Any]

    @property
    def allowed(self) -> str:
        """What may stand there, in words."""
        return f"an object with keys among {', '.join(declared_fields(self.kind))}"

    def read(self, value: Any) -> Any:
        """Return the instance."""
        faults: list[Fault] = []
        found = read_record(self.kind, value, "", "", faults)
        if faults:
            reasons = (
                Invalid(
                    fault.found, fault.allowed, fault.remedy, f".{fault.key}" if fault.key else ""
                )
                for fault in faults
            )
            raise InvalidValueError(*reasons)
        return found


def declared_fields(kind: type[Any]) -> dict[str, attrs.Attribute[Any]]:
    """Return the fields of an attrs class that JSON keys fill, by key."""
    fields = [field for field in attrs.fields(kind) if OPTION in field.metadata]
    return {field.metadata[JSON_NAME] or field.name: field for field in fields}


def read_record(
    kind: type[Any],
    value: Any,
    file: str,
    place: str,
    faults: list[Fault],
    **given: Any,
) -> Any:
    """Read one JSON object and append every fault found.

    Args:
        kind: The attrs class to build.
        value: The JSON value.
        file: Path of the file, for faults.
        place: Key path of the object within the file, empty for the whole file.
        faults: Receives the faults.
        given: Fields that come from elsewhere, such as a name that is the object's key.

    Returns:
        The instance, or None when there was any fault.
    """
    fields = {key: field for key, field in declared_fields(kind).items() if field.name not in given}
    if not isinstance(value, dict):
        allowed = f"an object with keys among {', '.join(fields)}"
        faults.append(Fault(file, place, show(value), allowed, "Write an object."))
        return None
    before = len(faults)
    values = dict(given)
    faults.extend(_unknown_keys(value, fields, file, place))
    for key, field in fields.items():
        _read_field(field, key, value, values, file, place, faults)
    return kind(**values) if len(faults) == before else None


def write_record(record: Any, omit: tuple[str, ...] = ()) -> dict[str, Any]:
    """Return the JSON object of an instance, without fields that hold their default."""
    written: dict[str, Any] = {}
    for key, field in declared_fields(type(record)).items():
        value = getattr(record, field.name)
        if field.name not in omit and value != field.default:
            written[key] = _to_json(value)
    return written


def describe(kind: type[Any]) -> list[tuple[str, str, str]]:
    """Return key, what is allowed and the default of each option, for help and docs."""
    rows = []
    for key, field in declared_fields(kind).items():
        default = "required" if field.default is attrs.NOTHING else show(_to_json(field.default))
        rows.append((key, field.metadata[OPTION].allowed, default))
    return rows


def _unknown_keys(
    value: dict[str, Any], fields: dict[str, Any], file: str, place: str
) -> list[Fault]:
    faults = []
    for key in value:
        if key not in fields:
            close = difflib.get_close_matches(key, fields, 1)
            remedy = f"Write {close[0]!r} instead." if close else "Remove it."
            allowed = f"keys among {', '.join(fields)}"
            faults.append(Fault(file, join(place, key), "an unknown key", allowed, remedy))
    return faults


def _read_field(
    field: attrs.Attribute[Any],
    key: str,
    value: dict[str, Any],
    values: dict[str, Any],
    file: str,
    place: str,
    faults: list[Fault],
) -> None:
    option = field.metadata[OPTION]
    path = join(place, key)
    if key not in value:
        if field.default is attrs.NOTHING:
            faults.append(Fault(file, path, "nothing", option.allowed, f"Add the key {key!r}."))
        return
    try:
        values[field.name] = option.read(value[key])
    except InvalidValueError as error:
        for reason in error.reasons:
            remedy = reason.remedy or "Change the value."
            where = f"{path}{reason.place}"
            faults.append(Fault(file, where, reason.found, reason.allowed, remedy))


def join(place: str, key: str) -> str:
    """Return the path of a key below `place`."""
    return f"{place}.{key}" if place else key


def _to_json(value: Any) -> Any:
    if isinstance(value, tuple):
        return [_to_json(item) for item in value]
    if attrs.has(type(value)):
        return write_record(value)
    if isinstance(value, float) and value.is_integer():
        # Stores may write 2.0 as 2, and a record must keep one form to keep its digest.
        return int(value)
    return getattr(value, "value", value)

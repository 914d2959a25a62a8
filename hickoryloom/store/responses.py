"""Reading the platform's answers."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, TypeVar

import cattrs
from result import Err, Ok, Result

from hickoryloom.http import JsonAnswer
from hickoryloom.store.messages import (
    Change,
    ErrorKind,
    Listing,
    LiveBackend,
    PlatformError,
    Versioned,
    WatchBatch,
    WeightGrant,
)
from hickoryloom.verdict import Applied

__all__ = [
    "is_outage",
    "judge",
    "read_backend_id",
    "read_backends",
    "read_batch",
    "read_grant",
    "read_listing",
    "read_object",
    "read_version",
    "unavailable",
]

T = TypeVar("T")


def unavailable(detail: str, retry_after_s: float) -> PlatformError:
    """Return the error of a call that was not made."""
    return PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, detail, retry_after_s)


def is_outage(answer: JsonAnswer) -> bool:
    """Return whether an answer tells that the platform is out of order."""
    return answer.status >= 500 and not _flag(answer, "no_capacity")


def judge(answer: JsonAnswer) -> Result[JsonAnswer, PlatformError]:
    """Tell a useful answer from the platform's refusals, none of which was applied."""
    if answer.status < 300:
        return Ok(answer)
    body = answer.body if isinstance(answer.body, dict) else {}
    return Err(
        PlatformError(
            _error_kind(answer),
            Applied.NOT_APPLIED,
            f"status {answer.status}",
            retry_after_s=answer.retry_after_s,
            version=_version(body.get("version")),
        )
    )


def read_object(answer: JsonAnswer) -> Result[Versioned[Any], PlatformError]:
    """Read one object."""
    return _read(answer, _object, Applied.NOT_APPLIED)


def read_listing(answer: JsonAnswer) -> Result[Listing, PlatformError]:
    """Read all objects under a prefix."""
    return _read(answer, _listing, Applied.NOT_APPLIED)


def read_version(answer: JsonAnswer) -> Result[int, PlatformError]:
    """Read the version that a write brought."""
    return _read(answer, lambda body: int(body["version"]), Applied.UNKNOWN)


def read_batch(answer: JsonAnswer) -> Result[WatchBatch, PlatformError]:
    """Read the changes of a watch."""
    return _read(answer, _batch, Applied.NOT_APPLIED)


def read_backends(answer: JsonAnswer) -> Result[tuple[LiveBackend, ...], PlatformError]:
    """Read the list of backend servers."""
    return _read(answer, _backends, Applied.NOT_APPLIED)


def read_backend_id(answer: JsonAnswer) -> Result[str, PlatformError]:
    """Read the id of an ordered backend server."""
    return _read(answer, lambda body: str(body["backend_id"]), Applied.UNKNOWN)


def read_grant(answer: JsonAnswer) -> Result[WeightGrant, PlatformError]:
    """Read leave to load a model."""
    return _read(answer, lambda body: cattrs.structure(body, WeightGrant), Applied.NOT_APPLIED)


def _read(
    answer: JsonAnswer, build: Callable[[Any], T], applied: Applied
) -> Result[T, PlatformError]:
    try:
        return Ok(build(answer.body))
    except (KeyError, TypeError, ValueError, cattrs.BaseValidationError) as error:
        detail = f"answer can't be read: {type(error).__name__}: {error}"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, applied, detail))


def _object(body: Any) -> Versioned[Any]:
    return Versioned(str(body["key"]), int(body["version"]), body["value"])


def _listing(body: Any) -> Listing:
    return Listing(int(body["revision"]), tuple(_object(item) for item in body["items"]))


def _batch(body: Any) -> WatchBatch:
    changes = tuple(
        Change(str(change["key"]), int(change["version"]), change["value"])
        for change in body["changes"]
    )
    return WatchBatch(int(body["revision"]), changes, bool(body["reset"]))


def _backends(body: Any) -> tuple[LiveBackend, ...]:
    return tuple(cattrs.structure(row, LiveBackend) for row in body["backends"])


def _error_kind(answer: JsonAnswer) -> ErrorKind:
    if _flag(answer, "no_capacity"):
        return ErrorKind.NO_CAPACITY
    if _flag(answer, "fenced"):
        return ErrorKind.FENCED
    if answer.status == 404:
        return ErrorKind.ABSENT
    if answer.status == 409:
        return ErrorKind.CONFLICT
    return ErrorKind.REJECTED


def _flag(answer: JsonAnswer, name: str) -> bool:
    return isinstance(answer.body, dict) and answer.body.get(name) is True


def _version(value: Any) -> int:
    return int(value) if isinstance(value, int | float) and math.isfinite(value) else 0

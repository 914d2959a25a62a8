"""Decoding of platform responses."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any, TypeVar

import cattrs
import logbook
from result import Err, Ok, Result

from hickoryloom.http import JsonResponse, Unreadable
from hickoryloom.logs import log_event
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
    "check_status",
    "is_outage",
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

log = logbook.Logger("hickoryloom.store")


def unavailable(detail: str, retry_after_s: float) -> PlatformError:
    """Return the error for a call that was not sent."""
    return PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, detail, retry_after_s)


def is_outage(response: JsonResponse) -> bool:
    """Return whether a response indicates that the platform is unavailable."""
    return response.status >= 500 and not _has_flag(response, "no_capacity")


def check_status(response: JsonResponse) -> Result[JsonResponse, PlatformError]:
    """Turn an error status into an error; a request with an error status was not applied."""
    if response.status < 300:
        return Ok(response)
    body = response.body if isinstance(response.body, dict) else {}
    return Err(
        PlatformError(
            _error_kind(response),
            Applied.NOT_APPLIED,
            f"status {response.status}",
            retry_after_s=response.retry_after_s,
            version=_parse_version(body.get("version")),
        )
    )


def read_object(response: JsonResponse) -> Result[Versioned[Any], PlatformError]:
    """Decode one object."""
    return _decode(response, _parse_object, Applied.NOT_APPLIED)


def read_listing(response: JsonResponse) -> Result[Listing, PlatformError]:
    """Decode all objects under a prefix."""
    return _decode(response, _parse_listing, Applied.NOT_APPLIED)


def read_version(response: JsonResponse) -> Result[int, PlatformError]:
    """Decode the new version of a written object."""
    return _decode(response, lambda body: int(body["version"]), Applied.UNKNOWN)


def read_batch(response: JsonResponse) -> Result[WatchBatch, PlatformError]:
    """Decode the changes returned by a watch."""
    return _decode(response, _parse_batch, Applied.NOT_APPLIED)


def read_backends(response: JsonResponse) -> Result[tuple[LiveBackend, ...], PlatformError]:
    """Decode the list of backend servers."""
    return _decode(response, _parse_backends, Applied.NOT_APPLIED)


def read_backend_id(response: JsonResponse) -> Result[str, PlatformError]:
    """Decode the id of an ordered backend server."""
    return _decode(response, lambda body: str(body["backend_id"]), Applied.UNKNOWN)


def read_grant(response: JsonResponse) -> Result[WeightGrant, PlatformError]:
    """Decode the permission to load a model."""
    return _decode(response, lambda body: cattrs.structure(body, WeightGrant), Applied.NOT_APPLIED)


def _decode(
    response: JsonResponse, build: Callable[[Any], T], applied: Applied
) -> Result[T, PlatformError]:
    try:
        return Ok(build(response.body))
    except (KeyError, TypeError, ValueError, cattrs.BaseValidationError) as error:
        detail = f"unreadable response: {type(error).__name__}: {error}"
        return Err(PlatformError(ErrorKind.UNAVAILABLE, applied, detail))


def _parse_object(body: Any) -> Versioned[Any]:
    key, value = body["key"], body["value"]
    if not isinstance(key, str):
        raise TypeError(f"key is of type {type(key).__name__}")
    return Versioned(key, int(body["version"]), None if isinstance(value, Unreadable) else value)


def _parse_readable(bodies: Any) -> tuple[Versioned[Any], ...]:
    """Decode objects, without those whose key or version can't be read."""
    found = []
    for body in bodies:
        try:
            found.append(_parse_object(body))
        except (KeyError, TypeError, ValueError):
            continue
    return tuple(found)


def _parse_listing(body: Any) -> Listing:
    items = _parse_readable(body["items"])
    return Listing(int(body["revision"]), items, len(body["items"]) - len(items))


def _parse_batch(body: Any) -> WatchBatch:
    changes = tuple(
        Change(changed.key, changed.version, changed.value)
        for changed in _parse_readable(body["changes"])
    )
    return WatchBatch(int(body["revision"]), changes, bool(body["reset"]))


def _parse_backends(body: Any) -> tuple[LiveBackend, ...]:
    found = []
    for row in body["backends"]:
        try:
            if any(isinstance(value, Unreadable) for value in row.values()):
                raise ValueError("a field can't be read")
            found.append(cattrs.structure(row, LiveBackend))
        except (AttributeError, TypeError, ValueError, cattrs.BaseValidationError) as error:
            log_event(log, "live-backend-unreadable", error=type(error).__name__)
    return tuple(found)


def _error_kind(response: JsonResponse) -> ErrorKind:
    if _has_flag(response, "no_capacity"):
        return ErrorKind.NO_CAPACITY
    if _has_flag(response, "fenced"):
        return ErrorKind.FENCED
    if response.status == 404:
        return ErrorKind.ABSENT
    if response.status == 409:
        return ErrorKind.CONFLICT
    return ErrorKind.REJECTED


def _has_flag(response: JsonResponse, name: str) -> bool:
    return isinstance(response.body, dict) and response.body.get(name) is True


def _parse_version(value: Any) -> int:
    return int(value) if isinstance(value, int | float) and math.isfinite(value) else 0

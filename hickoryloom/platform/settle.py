"""Settling of conditional writes whose answer was lost."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

import gevent
from result import Err, Ok, Result

from hickoryloom.platform.breaker import Backoff
from hickoryloom.platform.messages import ErrorKind, PlatformError, Versioned
from hickoryloom.verdict import Applied

__all__ = ["settled_update"]

MAX_TRIES = 4
STALE_READ_DELAY_S = 0.05


class _Objects(Protocol):
    def get(self, key: str) -> Result[Versioned[Any], PlatformError]: ...

    def update(
        self, key: str, value: Any, if_version: int, guard: Callable[[], bool] | None = None
    ) -> Result[Versioned[Any], PlatformError]: ...


def settled_update(
    client: _Objects,
    key: str,
    value: Any,
    if_version: int,
    guard: Callable[[], bool] | None = None,
    tries: int = MAX_TRIES,
    sleep: Callable[[float], object] = gevent.sleep,
) -> Result[Versioned[Any], PlatformError]:
    """Make a conditional write, and find out what became of it when its answer is lost.

    The same write is sent again: it is conditional, so it can't take effect twice. On a conflict
    the object is read back; when it holds `value`, an earlier try was the one that won. The value
    must be unlike that of any other writer, so it names who writes it.

    Args:
        client: Client of the platform.
        key: Key of the object.
        value: JSON value that no other writer writes.
        if_version: Version that the object must have, 0 for absent.
        guard: As for `PlatformClient.update`; asked anew before each try.
        tries: Most tries.
        sleep: Waits some seconds.

    Returns:
        The object as written; `CONFLICT` when another writer won; `UNKNOWN` in the error when
        the write may yet be in force.
    """
    backoff = Backoff(Random())
    may_be_applied = False
    last = PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, "not tried")
    for number in range(tries):
        if number:
            sleep(backoff.next_s())
        written = client.update(key, value, if_version, guard)
        if written.is_ok():
            return written
        last = written.unwrap_err()
        if last.kind is ErrorKind.CONFLICT:
            return _settle_conflict(client, key, value, last, may_be_applied, sleep)
        if last.applied is Applied.UNKNOWN:
            may_be_applied = True
        if last.kind is not ErrorKind.UNAVAILABLE:
            break
    return Err(_with_doubt(last, may_be_applied))


def _settle_conflict(
    client: _Objects,
    key: str,
    value: Any,
    conflict: PlatformError,
    may_be_applied: bool,
    sleep: Callable[[float], object],
) -> Result[Versioned[Any], PlatformError]:
    """Tell a conflict with another writer from one with an earlier try of this write."""
    if not may_be_applied:
        return Err(conflict)
    for number in range(MAX_TRIES):
        if number:
            sleep(STALE_READ_DELAY_S)
        found = client.get(key)
        if found.is_err() and found.unwrap_err().kind is not ErrorKind.ABSENT:
            continue
        version = found.unwrap().version if found.is_ok() else 0
        if version < conflict.version:
            continue
        if found.is_ok() and found.unwrap().value == value:
            return Ok(found.unwrap())
        return Err(conflict)
    return Err(_with_doubt(conflict, True))


def _with_doubt(error: PlatformError, may_be_applied: bool) -> PlatformError:
    applied = Applied.UNKNOWN if may_be_applied else error.applied
    return PlatformError(
        error.kind, applied, error.detail, error.retry_after_s, version=error.version
    )

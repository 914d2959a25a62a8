"""Conditional writes that determine their result even if a response is lost."""

from __future__ import annotations

from collections.abc import Callable, Generator
from random import Random
from typing import Any, Protocol, TypeVar

import attrs
import gevent
from result import Err, Ok, Result

from hickoryloom.store.breaker import Backoff
from hickoryloom.store.budget import CallPriority
from hickoryloom.store.messages import ErrorKind, PlatformError, Versioned
from hickoryloom.verdict import Applied

__all__ = [
    "DeleteStep",
    "PauseStep",
    "ReadStep",
    "Step",
    "Steps",
    "UpdateStep",
    "execute_steps",
    "confirmed_update_steps",
    "confirmed_update",
]

MAX_ATTEMPTS = 4
STALE_READ_DELAY_S = 0.05

T = TypeVar("T")
Guard = Callable[[], bool]


@attrs.frozen
class UpdateStep:
    """Write an object if it has the given version."""

    key: str
    value: Any
    if_version: int


@attrs.frozen
class ReadStep:
    """Read an object."""

    key: str


@attrs.frozen
class DeleteStep:
    """Delete an object if it has the given version."""

    key: str
    if_version: int


@attrs.frozen
class PauseStep:
    """Wait for some seconds."""

    seconds: float


Step = UpdateStep | ReadStep | DeleteStep | PauseStep
Steps = Generator[Step, Any, T]


class _ObjectClient(Protocol):
    def get(
        self, key: str, priority: CallPriority | None = None
    ) -> Result[Versioned[Any], PlatformError]: ...

    def update(
        self,
        key: str,
        value: Any,
        if_version: int,
        guard: Guard | None = None,
        priority: CallPriority | None = None,
    ) -> Result[Versioned[Any], PlatformError]: ...

    def delete(
        self, key: str, if_version: int, priority: CallPriority | None = None
    ) -> Result[None, PlatformError]: ...


class _WriteClient(Protocol):
    def get(self, key: str) -> Result[Versioned[Any], PlatformError]: ...

    def update(
        self, key: str, value: Any, if_version: int, guard: Guard | None = None
    ) -> Result[Versioned[Any], PlatformError]: ...


def confirmed_update(
    client: _WriteClient,
    key: str,
    value: Any,
    if_version: int,
    guard: Guard | None = None,
    max_attempts: int = MAX_ATTEMPTS,
    sleep: Callable[[float], object] = gevent.sleep,
) -> Result[Versioned[Any], PlatformError]:
    """Make a conditional write and determine its result if the response is lost.

    The same write is sent again; since it is conditional, it can't be applied twice. On a conflict
    the object is read back: if it holds `value`, an earlier attempt was applied. The value must
    differ from that of any other writer, for example by naming the writer.

    Args:
        client: Client of the platform.
        key: Key of the object.
        value: JSON value that no other writer writes.
        if_version: Version that the object must have; 0 if it must not exist.
        guard: As for `PlatformClient.update`; evaluated before each attempt.
        max_attempts: Maximum number of attempts.
        sleep: Function that waits for some seconds.

    Returns:
        The object as written. The error is `CONFLICT` if another writer won; its `applied` is
        `UNKNOWN` if the write may still take effect.
    """

    def execute(step: Step) -> Any:
        if isinstance(step, UpdateStep):
            return client.update(step.key, step.value, step.if_version, guard)
        if isinstance(step, ReadStep):
            return client.get(step.key)
        assert isinstance(step, PauseStep)
        return sleep(step.seconds)

    return _run(confirmed_update_steps(key, value, if_version, max_attempts), execute)


def execute_steps(
    steps: Steps[T], client: _ObjectClient, priority: CallPriority | None = None
) -> T:
    """Execute each step on the platform and return the result of the generator.

    Args:
        steps: The steps.
        client: Client of the platform.
        priority: Priority of all calls; None for the default priority of each key.
    """

    def execute(step: Step) -> Any:
        if isinstance(step, UpdateStep):
            return client.update(step.key, step.value, step.if_version, priority=priority)
        if isinstance(step, DeleteStep):
            return client.delete(step.key, step.if_version, priority)
        if isinstance(step, ReadStep):
            return client.get(step.key, priority)
        return gevent.sleep(step.seconds)

    return _run(steps, execute)


def _run(steps: Steps[T], execute: Callable[[Step], Any]) -> T:
    result: Any = None
    while True:
        try:
            step = steps.send(result)
        except StopIteration as stop:
            return stop.value
        result = execute(step)


def confirmed_update_steps(
    key: str,
    value: Any,
    if_version: int,
    max_attempts: int = MAX_ATTEMPTS,
    may_be_applied: bool = False,
) -> Steps[Result[Versioned[Any], PlatformError]]:
    """Yield the steps of `confirmed_update`; pure except for the jitter.

    `may_be_applied` is set if the same write may have been applied before, so that a conflict may
    be caused by that earlier attempt.
    """
    backoff = Backoff(Random())
    last = PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, "not attempted")
    for attempt in range(max_attempts):
        if attempt:
            yield PauseStep(backoff.next_delay_s())
        result = yield UpdateStep(key, value, if_version)
        if result.is_ok():
            return result
        last = result.unwrap_err()
        if last.kind is ErrorKind.CONFLICT:
            return (yield from _resolve_conflict(key, value, last, may_be_applied))
        if last.applied is Applied.UNKNOWN:
            may_be_applied = True
        if last.kind is not ErrorKind.UNAVAILABLE:
            break
    return Err(_with_uncertainty(last, may_be_applied))


def _resolve_conflict(
    key: str, value: Any, conflict: PlatformError, may_be_applied: bool
) -> Steps[Result[Versioned[Any], PlatformError]]:
    """Find out whether a conflict is with another writer or an earlier attempt of this write."""
    if not may_be_applied:
        return Err(conflict)
    for attempt in range(MAX_ATTEMPTS):
        if attempt:
            yield PauseStep(STALE_READ_DELAY_S)
        current = yield ReadStep(key)
        if current.is_err() and current.unwrap_err().kind is not ErrorKind.ABSENT:
            continue
        version = current.unwrap().version if current.is_ok() else 0
        if version < conflict.version:
            continue
        if current.is_ok() and current.unwrap().value == value:
            return Ok(current.unwrap())
        return Err(conflict)
    return Err(_with_uncertainty(conflict, True))


def _with_uncertainty(error: PlatformError, may_be_applied: bool) -> PlatformError:
    applied = Applied.UNKNOWN if may_be_applied else error.applied
    return attrs.evolve(error, applied=applied)

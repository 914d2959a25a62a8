"""Settling of conditional writes whose answer was lost."""

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
    "run_steps",
    "settle_steps",
    "settled_update",
]

MAX_TRIES = 4
STALE_READ_DELAY_S = 0.05

T = TypeVar("T")
Guard = Callable[[], bool]


@attrs.frozen
class UpdateStep:
    """A conditional write to be made."""

    key: str
    value: Any
    if_version: int


@attrs.frozen
class ReadStep:
    """An object to be read."""

    key: str


@attrs.frozen
class DeleteStep:
    """A conditional deletion to be made."""

    key: str
    if_version: int


@attrs.frozen
class PauseStep:
    """Seconds to wait."""

    seconds: float


Step = UpdateStep | ReadStep | DeleteStep | PauseStep
Steps = Generator[Step, Any, T]


class _Objects(Protocol):
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


class _Writer(Protocol):
    def get(self, key: str) -> Result[Versioned[Any], PlatformError]: ...

    def update(
        self, key: str, value: Any, if_version: int, guard: Guard | None = None
    ) -> Result[Versioned[Any], PlatformError]: ...


def settled_update(
    client: _Writer,
    key: str,
    value: Any,
    if_version: int,
    guard: Guard | None = None,
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

    def take(step: Step) -> Any:
        if isinstance(step, UpdateStep):
            return client.update(step.key, step.value, step.if_version, guard)
        if isinstance(step, ReadStep):
            return client.get(step.key)
        assert isinstance(step, PauseStep)
        return sleep(step.seconds)

    return _drive(settle_steps(key, value, if_version, tries), take)


def run_steps(steps: Steps[T], client: _Objects, priority: CallPriority | None = None) -> T:
    """Take each step against the platform and return what the generator returns.

    Args:
        steps: The steps.
        client: Client of the platform.
        priority: Priority of all calls; None for the keys' own.
    """

    def take(step: Step) -> Any:
        if isinstance(step, UpdateStep):
            return client.update(step.key, step.value, step.if_version, priority=priority)
        if isinstance(step, DeleteStep):
            return client.delete(step.key, step.if_version, priority)
        if isinstance(step, ReadStep):
            return client.get(step.key, priority)
        return gevent.sleep(step.seconds)

    return _drive(steps, take)


def _drive(steps: Steps[T], take: Callable[[Step], Any]) -> T:
    answer: Any = None
    while True:
        try:
            step = steps.send(answer)
        except StopIteration as stop:
            return stop.value
        answer = take(step)


def settle_steps(
    key: str, value: Any, if_version: int, tries: int = MAX_TRIES, may_be_applied: bool = False
) -> Steps[Result[Versioned[Any], PlatformError]]:
    """Yield the steps of `settled_update`; pure but for the jitter.

    `may_be_applied` tells that the same write may have been made before, so that a conflict
    may be one with itself.
    """
    backoff = Backoff(Random())
    last = PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, "not tried")
    for number in range(tries):
        if number:
            yield PauseStep(backoff.next_s())
        written = yield UpdateStep(key, value, if_version)
        if written.is_ok():
            return written
        last = written.unwrap_err()
        if last.kind is ErrorKind.CONFLICT:
            return (yield from _settle_conflict(key, value, last, may_be_applied))
        if last.applied is Applied.UNKNOWN:
            may_be_applied = True
        if last.kind is not ErrorKind.UNAVAILABLE:
            break
    return Err(_with_doubt(last, may_be_applied))


def _settle_conflict(
    key: str, value: Any, conflict: PlatformError, may_be_applied: bool
) -> Steps[Result[Versioned[Any], PlatformError]]:
    """Tell a conflict with another writer from one with an earlier try of this write."""
    if not may_be_applied:
        return Err(conflict)
    for number in range(MAX_TRIES):
        if number:
            yield PauseStep(STALE_READ_DELAY_S)
        found = yield ReadStep(key)
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
    return attrs.evolve(error, applied=applied)

"""The task that takes, renews and releases one lease."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs
import logbook
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.leases.messages import LeaseRecord, LeaseTimes, ReadStep, Right, Step, WriteStep
from hickoryloom.leases.state import LeaseState
from hickoryloom.leases.store import Guard, ObjectStore
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import ErrorKind, PlatformError, Versioned
from hickoryloom.verdict import Applied

__all__ = ["DEFAULT_DURATION_S", "LeaseKeeper"]

DEFAULT_DURATION_S = 10.0
LONGEST_WAIT_S = 1.0
JITTER_PART = 0.1

log = logbook.Logger("hickoryloom.leases")


class LeaseKeeper:
    """Holds one duty's lease when it can, and says at any moment whether it does.

    Args:
        duty: Name of the duty; the object is `leases/<duty>`.
        client: Platform's client.
        clock: Source of monotonic time.
        incarnation: This process.
        duration_s: Seconds for which a renewal lasts.
        source: Random source for the spread of candidates' reads.
        read_s: Seconds between a candidate's reads; None for what goes with the duration.
        stands: Asked whether this process should try to take the lease; None for always.
    """

    def __init__(
        self,
        duty: str,
        client: ObjectStore,
        clock: Clock,
        incarnation: str,
        duration_s: float = DEFAULT_DURATION_S,
        source: random.Random | None = None,
        read_s: float | None = None,
        stands: Callable[[], bool] | None = None,
    ) -> None:
        self._duty = duty
        self._key = f"leases/{duty}"
        self._client = client
        self._clock = clock
        times = LeaseTimes.of(duration_s)
        if read_s is not None:
            times = attrs.evolve(times, read_s=read_s)
        self._state = LeaseState(incarnation, times)
        self._random = source or random.Random()
        self._loop = TaskLoop(self._step, f"lease-{duty}", log)
        self._term_held = 0
        self._stands = stands

    @property
    def duty(self) -> str:
        """Name of the duty."""
        return self._duty

    @property
    def record(self) -> LeaseRecord | None:
        """The lease as it was seen last."""
        return self._state.record

    def right(self) -> Right | None:
        """Return the right to act now, or None."""
        return self._state.right(self._clock.monotonic())

    def guard(self, right: Right) -> Guard:
        """Return a check, for right before a write, that the right of that term still holds."""

        def holds() -> bool:
            current = self.right()
            return current is not None and current.term == right.term

        return holds

    def resign(self, right: Right) -> None:
        """End the right of a term for good, because a higher one was seen in use."""
        self._state.resign(right.term)
        log_event(log, "lease-resigned", duty=self._duty, term=right.term)

    def start(self) -> None:
        """Begin to take and renew the lease."""
        self._loop.start()

    def stop(self) -> None:
        """Give up the right at once and tell the platform, so that a successor need not wait."""
        self._loop.stop()
        record = self._state.release()
        if record is None:
            return
        answer = self._client.update(self._key, attrs.asdict(record), self._state.version)
        log_event(log, "lease-released", duty=self._duty, term=record.term, told=answer.is_ok())

    def _step(self) -> float:
        now = self._clock.monotonic()
        self._log_change(now)
        if self._stands is not None and not self._stands() and self.right() is None:
            return LONGEST_WAIT_S
        return self._take(self._state.next_step(now))

    def _take(self, step: Step) -> float:
        """Carry out a step and return the seconds to wait after it."""
        if isinstance(step, ReadStep):
            self._read()
            return 0.0
        if isinstance(step, WriteStep):
            self._write(step)
            return 0.0
        wait_s = step.until - self._clock.monotonic()
        jitter = 1.0 if self.right() else 1.0 + JITTER_PART * self._random.random()
        return min(max(wait_s, 0.0) * jitter, LONGEST_WAIT_S)

    def _read(self) -> None:
        answer = self._client.get(self._key)
        now = self._clock.monotonic()
        if isinstance(answer, Ok):
            self._on_found(now, answer.ok_value)
        elif answer.err_value.kind is ErrorKind.ABSENT:
            self._state.on_read(now, 0, None)
        else:
            self._state.on_failed_read(now)

    def _on_found(self, now: float, stored: Versioned[Any]) -> None:
        record = _parse(stored.value)
        if record is None:
            self._state.on_failed_read(now)
            return
        self._state.on_read(now, stored.version, record)

    def _write(self, step: WriteStep) -> None:
        value = attrs.asdict(step.record)
        if step.if_version:
            answer = self._client.update(self._key, value, step.if_version)
        else:
            answer = self._client.create(self._key, value)
        now = self._clock.monotonic()
        if isinstance(answer, Err):
            self._on_failed_write(now, step, answer.err_value)
            return
        self._state.on_write(now, step, Applied.APPLIED, answer.ok_value.version)

    def _on_failed_write(self, now: float, step: WriteStep, error: PlatformError) -> None:
        if error.kind in (ErrorKind.CONFLICT, ErrorKind.ABSENT):
            self._state.on_conflict(now)
        else:
            self._state.on_write(now, step, error.applied)

    def _log_change(self, now: float) -> None:
        right = self._state.right(now)
        term = right.term if right is not None else 0
        if term == self._term_held:
            return
        event = "lease-taken" if term else "lease-lost"
        log_event(log, event, duty=self._duty, term=term or self._term_held)
        self._term_held = term


def _parse(value: Any) -> LeaseRecord | None:
    """Return the record in an object, or None when it can't be read."""
    fields: dict[str, Callable[[Any], Any]] = {
        "holder": str,
        "term": int,
        "duration_s": float,
        "renewals": int,
    }
    try:
        return LeaseRecord(**{name: read(value[name]) for name, read in fields.items()})
    except (KeyError, TypeError, ValueError):
        log_event(log, "lease-unreadable", value=str(value)[:100])
        return None

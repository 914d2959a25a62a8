"""Background task that acquires, renews and releases one lease."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

import attrs
import logbook
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.leases.messages import (
    LeaseGrant,
    LeaseRecord,
    LeaseTimes,
    ReadStep,
    Step,
    WriteStep,
)
from hickoryloom.leases.state import LeaseState
from hickoryloom.leases.store import Guard, ObjectStore
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import ErrorKind, PlatformError, Versioned
from hickoryloom.verdict import Applied

__all__ = ["DEFAULT_DURATION_S", "LeaseManager"]

DEFAULT_DURATION_S = 10.0
MAX_STEP_WAIT_S = 1.0
JITTER_RATIO = 0.1

log = logbook.Logger("hickoryloom.leases")


class LeaseManager:
    """Competes for the lease of one duty and reports whether this process holds it.

    Args:
        duty: Name of the duty; the lease is stored as the object `leases/<duty>`.
        client: Object store of the platform.
        clock: Monotonic clock.
        incarnation: Incarnation of this process, used as the holder's name.
        duration_s: Validity of the lease after a renewal, in seconds.
        rng: Random number generator for the jitter of a candidate's reads.
        read_interval_s: Interval between a candidate's reads, in seconds; None derives it from the
            duration.
        is_candidate: Returns whether this process is a candidate for the lease; None means always.
        instance: Instance of this process; see `LeaseState`.
        era: Returns the latest known era of the store; None for a store without eras.
        wall: Returns the Unix time at which a new era is noted, in seconds; no lease depends on it.
    """

    def __init__(
        self,
        duty: str,
        client: ObjectStore,
        clock: Clock,
        incarnation: str,
        duration_s: float = DEFAULT_DURATION_S,
        rng: random.Random | None = None,
        read_interval_s: float | None = None,
        is_candidate: Callable[[], bool] | None = None,
        instance: str = "",
        era: Callable[[], int] | None = None,
        wall: Callable[[], float] | None = None,
    ) -> None:
        self._era = era or (lambda: 0)
        self._wall = wall or (lambda: 0.0)
        self._duty = duty
        self._key = f"leases/{duty}"
        self._client = client
        self._clock = clock
        times = LeaseTimes.from_duration(duration_s)
        if read_interval_s is not None:
            times = attrs.evolve(times, read_s=read_interval_s)
        self._state = LeaseState(incarnation, times, instance)
        self._rng = rng or random.Random()
        self._loop = TaskLoop(self._step, f"lease-{duty}", log)
        self._logged_term = 0
        self._is_candidate = is_candidate

    @property
    def duty(self) -> str:
        """Name of the duty."""
        return self._duty

    @property
    def record(self) -> LeaseRecord | None:
        """The lease record as last seen."""
        return self._state.record

    def current_grant(self) -> LeaseGrant | None:
        """Return the current grant to act, or None if the lease is not held."""
        now = self._clock.monotonic()
        self._observe_era(now)
        return self._state.current_grant(now)

    @property
    def held_into_era(self) -> int:
        """The latest era of the store that began while this process held the lease; 0 if none."""
        return self._state.held_into_era

    def now(self) -> float:
        """Return the time on the clock of `LeaseGrant.until`."""
        return self._clock.monotonic()

    def guard(self, grant: LeaseGrant) -> Guard:
        """Return a check, to run right before a write, that the grant's term is still held."""

        def still_holds() -> bool:
            current = self.current_grant()
            return current is not None and current.term == grant.term

        return still_holds

    def resign(self, grant: LeaseGrant) -> None:
        """Give up the grant permanently, because a higher term is already in use."""
        self._state.resign(grant.term)
        log_event(log, "lease-resigned", duty=self._duty, term=grant.term)

    def start(self) -> None:
        """Start acquiring and renewing the lease."""
        self._loop.start()

    def stop(self) -> None:
        """Stop and release the lease, so that a successor need not wait for its expiry."""
        self._loop.stop()
        self._observe_era(self._clock.monotonic())
        record = self._state.release()
        if record is None:
            return
        response = self._client.update(self._key, attrs.asdict(record), self._state.version)
        log_event(log, "lease-released", duty=self._duty, term=record.term, told=response.is_ok())

    def _step(self) -> float:
        now = self._clock.monotonic()
        self._observe_era(now)
        self._log_change(now)
        if (
            self._is_candidate is not None
            and not self._is_candidate()
            and self.current_grant() is None
        ):
            return MAX_STEP_WAIT_S
        return self._execute(self._state.next_step(now))

    def _execute(self, step: Step) -> float:
        """Execute a step and return the delay before the next one, in seconds."""
        if isinstance(step, ReadStep):
            self._read()
            return 0.0
        if isinstance(step, WriteStep):
            self._write(step)
            return 0.0
        wait_s = step.until - self._clock.monotonic()
        jitter = 1.0 if self.current_grant() else 1.0 + JITTER_RATIO * self._rng.random()
        return min(max(wait_s, 0.0) * jitter, MAX_STEP_WAIT_S)

    def _read(self) -> None:
        response = self._client.get(self._key)
        now = self._clock.monotonic()
        self._observe_era(now)
        if isinstance(response, Ok):
            self._on_stored_record(now, response.ok_value)
        elif response.err_value.kind is ErrorKind.ABSENT:
            self._state.on_read(now, 0, None)
        else:
            self._state.on_failed_read(now)

    def _on_stored_record(self, now: float, stored: Versioned[Any]) -> None:
        record = _parse_record(stored.value)
        if record is None:
            self._state.on_failed_read(now)
            return
        self._state.on_read(now, stored.version, record)

    def _write(self, step: WriteStep) -> None:
        value = attrs.asdict(step.record)
        if step.if_version:
            response = self._client.update(self._key, value, step.if_version)
        else:
            response = self._client.create(self._key, value)
        now = self._clock.monotonic()
        self._observe_era(now)
        if isinstance(response, Err):
            self._on_failed_write(now, step, response.err_value)
            return
        self._state.on_write(now, step, Applied.APPLIED, response.ok_value.version)

    def _on_failed_write(self, now: float, step: WriteStep, error: PlatformError) -> None:
        if error.kind in (ErrorKind.CONFLICT, ErrorKind.ABSENT):
            self._state.on_conflict(now)
        else:
            self._state.on_write(now, step, error.applied)

    def _observe_era(self, now: float) -> None:
        era = self._era()
        if era > self._state.era:
            self._state.on_era(now, era, self._wall())

    def _log_change(self, now: float) -> None:
        grant = self._state.current_grant(now)
        term = grant.term if grant is not None else 0
        if term == self._logged_term:
            return
        event = "lease-taken" if term else "lease-lost"
        log_event(log, event, duty=self._duty, term=term or self._logged_term)
        self._logged_term = term


def _parse_record(value: Any) -> LeaseRecord | None:
    """Return the lease record in a stored value, or None if it is malformed."""
    fields: dict[str, Callable[[Any], Any]] = {
        "holder": str,
        "term": int,
        "duration_s": float,
        "renewals": int,
    }
    try:
        return LeaseRecord(
            **{name: read(value[name]) for name, read in fields.items()},
            instance=str(value.get("instance", "")),
            previous_instance=str(value.get("previous_instance", "")),
            era=int(value.get("era", 0)),
            era_known_at=float(value.get("era_known_at", 0.0)),
        )
    except (KeyError, TypeError, ValueError):
        log_event(log, "lease-unreadable", value=str(value)[:100])
        return None

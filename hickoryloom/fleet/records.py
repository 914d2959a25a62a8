"""Keeps the intents of all pools in step with the platform, under one term."""

from __future__ import annotations

import cattrs
import logbook
from result import Err, Ok

from hickoryloom.fleet.intents import PoolIntents, intents_key, read_intents
from hickoryloom.leases import Guard, ObjectStore
from hickoryloom.logs import log_event
from hickoryloom.store import ErrorKind, Versioned

__all__ = ["IntentRecords"]

log = logbook.Logger("hickoryloom.fleet")


class IntentRecords:
    """Intents as they are known to stand in the platform.

    Taking over writes the own term into a pool's object, so that an earlier holder's updates
    fail from then on. After a write with an unknown fate the object is read again before
    anything is ordered.

    Args:
        client: Platform's client.
    """

    def __init__(self, client: ObjectStore) -> None:
        self._client = client
        self._known: dict[str, Versioned[PoolIntents]] = {}

    def forget(self) -> None:
        """Forget everything, at the start of a term."""
        self._known.clear()

    def take_over(self, pool: str, term: int, guard: Guard) -> PoolIntents | None:
        """Return a pool's intents once the platform holds them under `term`, else None."""
        known = self._known.get(pool)
        if known is not None and known.value.term == term:
            return known.value
        answer = self._client.get(intents_key(pool))
        if isinstance(answer, Err) and answer.err_value.kind is not ErrorKind.ABSENT:
            return None
        if isinstance(answer, Err):
            return self._write(PoolIntents(pool, term), 0, guard)
        found = read_intents(answer.ok_value.value)
        if isinstance(found, Err):
            log_event(log, "intents-unreadable", pool=pool, fault=found.err_value)
            return None
        if found.ok_value.term > term:
            return None
        if found.ok_value.term == term:
            self._known[pool] = Versioned(pool, answer.ok_value.version, found.ok_value)
            return found.ok_value
        adopted = found.ok_value.with_new(term, (), ())
        return self._write(adopted, answer.ok_value.version, guard)

    def record(self, changed: PoolIntents, guard: Guard) -> PoolIntents | None:
        """Write changed intents; return them once the platform holds them, else None."""
        known = self._known[changed.pool]
        if known.value == changed:
            return changed
        return self._write(changed, known.version, guard)

    def _write(self, value: PoolIntents, if_version: int, guard: Guard) -> PoolIntents | None:
        key, body = intents_key(value.pool), cattrs.unstructure(value)
        if if_version:
            answer = self._client.update(key, body, if_version, guard)
        else:
            answer = self._client.create(key, body, guard)
        if isinstance(answer, Ok):
            self._known[value.pool] = Versioned(value.pool, answer.ok_value.version, value)
            return value
        self._known.pop(value.pool, None)
        return None

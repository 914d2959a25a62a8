"""Stores the intents of all pools in the platform, under the term of one lease holder."""

from __future__ import annotations

import cattrs
import logbook
from result import Err, Ok

from hickoryloom.fleet.intents import PoolIntents, intents_key, read_intents
from hickoryloom.leases import Guard, ObjectStore
from hickoryloom.logs import log_event
from hickoryloom.store import ErrorKind, Versioned

__all__ = ["IntentStore"]

log = logbook.Logger("hickoryloom.fleet")


class IntentStore:
    """Reads and writes intents, and caches the last version known to be stored.

    Adoption writes the holder's term into a pool's object, so that conditional updates by an
    earlier holder fail from then on. After a write with an unknown outcome, the object is read
    again before anything is ordered.

    Args:
        client: Client of the platform.
    """

    def __init__(self, client: ObjectStore) -> None:
        self._client = client
        self._stored: dict[str, Versioned[PoolIntents]] = {}

    def clear(self) -> None:
        """Clear the cache at the start of a term."""
        self._stored.clear()

    def adopt(self, pool: str, term: int, guard: Guard) -> PoolIntents | None:
        """Return a pool's intents once they are stored under `term`, else None."""
        stored = self._stored.get(pool)
        if stored is not None and stored.value.term == term:
            return stored.value
        response = self._client.get(intents_key(pool))
        if isinstance(response, Err) and response.err_value.kind is not ErrorKind.ABSENT:
            return None
        if isinstance(response, Err):
            return self._write(PoolIntents(pool, term), 0, guard)
        parsed = read_intents(response.ok_value.value)
        if isinstance(parsed, Err):
            log_event(log, "intents-unreadable", pool=pool, fault=parsed.err_value)
            return None
        if parsed.ok_value.term > term:
            return None
        if parsed.ok_value.term == term:
            self._stored[pool] = Versioned(pool, response.ok_value.version, parsed.ok_value)
            return parsed.ok_value
        adopted = parsed.ok_value.with_new(term, (), ())
        return self._write(adopted, response.ok_value.version, guard)

    def save(self, intents: PoolIntents, guard: Guard) -> PoolIntents | None:
        """Write the intents if they changed; return them once they are stored, else None."""
        stored = self._stored[intents.pool]
        if stored.value == intents:
            return intents
        return self._write(intents, stored.version, guard)

    def _write(self, value: PoolIntents, if_version: int, guard: Guard) -> PoolIntents | None:
        key, body = intents_key(value.pool), cattrs.unstructure(value)
        if if_version:
            response = self._client.update(key, body, if_version, guard)
        else:
            response = self._client.create(key, body, guard)
        if isinstance(response, Ok):
            self._stored[value.pool] = Versioned(value.pool, response.ok_value.version, value)
            return value
        self._stored.pop(value.pool, None)
        return None

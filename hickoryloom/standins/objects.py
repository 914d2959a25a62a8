"""The object store of the platform stand-in: versions, conditional updates, changes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

__all__ = ["Conflict", "ObjectStore", "Stored"]

MAX_CHANGES = 20_000
MAX_OLD_VERSIONS = 16


@attrs.frozen
class Stored:
    """One state of one object; `value` is None once it is deleted.

    Attributes:
        key: Key of the object.
        version: Counts up from 1; never used again for the key, also not after a deletion.
        value: Any JSON value.
        revision: Revision of the store that brought it.
        time: Monotonic time of the change, in seconds.
    """

    key: str
    version: int
    value: Any
    revision: int
    time: float


class Conflict(Exception):  # noqa: N818
    """The object has another version than the one asked for."""

    def __init__(self, version: int) -> None:
        super().__init__(f"the version is {version}")
        self.version = version


class ObjectStore:
    """Versioned objects with a bounded log of changes.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._states: dict[str, deque[Stored]] = {}
        self._changes: deque[Stored] = deque(maxlen=MAX_CHANGES)
        self._revision = 0

    @property
    def revision(self) -> int:
        """Counts all changes."""
        return self._revision

    def get(self, key: str, age_s: float = 0.0) -> Stored | None:
        """Return the object as it stood `age_s` seconds ago, or None."""
        state = self._state(key, age_s)
        return state if state is not None and state.value is not None else None

    def list_prefix(self, prefix: str, age_s: float = 0.0) -> tuple[int, list[Stored]]:
        """Return the revision and all objects under `prefix` as of `age_s` seconds ago."""
        keys = sorted(key for key in self._states if key.startswith(prefix))
        found = [self.get(key, age_s) for key in keys]
        return self._revision_at(age_s), [item for item in found if item is not None]

    def put(self, key: str, value: Any, if_version: int) -> Stored:
        """Store a value if the object has version `if_version`, 0 for absent.

        Raises:
            Conflict: It has another version.
        """
        self._check(key, if_version)
        return self._append(key, value)

    def delete(self, key: str, if_version: int) -> None:
        """Delete the object if it has version `if_version`.

        Raises:
            KeyError: There is none.
            Conflict: It has another version.
        """
        if self.get(key) is None:
            raise KeyError(key)
        self._check(key, if_version)
        self._append(key, None)

    def changes(self, prefix: str, since: int) -> list[Stored] | None:
        """Return the changes after revision `since`, or None when some were dropped."""
        if since > self._revision:
            return None
        if self._changes and since < self._changes[0].revision - 1:
            return None
        found: list[Stored] = []
        for change in reversed(self._changes):
            if change.revision <= since:
                break
            if change.key.startswith(prefix):
                found.append(change)
        return found[::-1]

    def _check(self, key: str, if_version: int) -> None:
        current = self.get(key)
        version = current.version if current is not None else 0
        if version != if_version:
            raise Conflict(version)

    def _append(self, key: str, value: Any) -> Stored:
        states = self._states.setdefault(key, deque(maxlen=MAX_OLD_VERSIONS))
        self._revision += 1
        version = states[-1].version + 1 if states else 1
        state = Stored(key, version, value, self._revision, self._now())
        states.append(state)
        self._changes.append(state)
        return state

    def _state(self, key: str, age_s: float) -> Stored | None:
        states = self._states.get(key)
        if not states:
            return None
        if age_s <= 0:
            return states[-1]
        limit = self._now() - age_s
        for state in reversed(states):
            if state.time <= limit:
                return state
        return None

    def _revision_at(self, age_s: float) -> int:
        if age_s <= 0:
            return self._revision
        limit = self._now() - age_s
        for change in reversed(self._changes):
            if change.time <= limit:
                return change.revision
        return 0

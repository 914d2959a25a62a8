"""Object store of the platform stand-in: versions, conditional updates and a change log."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

import attrs

__all__ = ["ConflictError", "ObjectStore", "StoredObject"]

MAX_CHANGES = 20_000
MAX_OLD_VERSIONS = 16


@attrs.frozen
class StoredObject:
    """One version of an object.

    Attributes:
        key: Key of the object.
        version: Version number, counted from 1 per key; never reused, not even after a deletion.
        value: Any JSON value; None marks a deletion.
        revision: Revision of the store at which this version was written.
        time: Monotonic time of the write, in seconds.
    """

    key: str
    version: int
    value: Any
    revision: int
    time: float


class ConflictError(Exception):
    """The object's version differs from the expected one."""

    def __init__(self, version: int) -> None:
        super().__init__(f"the current version is {version}")
        self.version = version


class ObjectStore:
    """Versioned objects in memory, with a bounded log of changes.

    Args:
        now: Monotonic clock, in seconds.
    """

    def __init__(self, now: Callable[[], float]) -> None:
        self._now = now
        self._versions: dict[str, deque[StoredObject]] = {}
        self._changes: deque[StoredObject] = deque(maxlen=MAX_CHANGES)
        self._revision = 0

    @property
    def revision(self) -> int:
        """Number of changes made to the store so far."""
        return self._revision

    def get(self, key: str, age_s: float = 0.0) -> StoredObject | None:
        """Return the object as of `age_s` seconds ago, or None if it did not exist."""
        stored = self._version_at(key, age_s)
        return stored if stored is not None and stored.value is not None else None

    def list_prefix(self, prefix: str, age_s: float = 0.0) -> tuple[int, list[StoredObject]]:
        """Return the revision and all objects under `prefix` as of `age_s` seconds ago."""
        keys = sorted(key for key in self._versions if key.startswith(prefix))
        matching = [self.get(key, age_s) for key in keys]
        return self._revision_at(age_s), [item for item in matching if item is not None]

    def put(self, key: str, value: Any, if_version: int) -> StoredObject:
        """Store a value if the object has version `if_version`; 0 means that it does not exist.

        Raises:
            ConflictError: The object has another version.
        """
        self._check_version(key, if_version)
        return self._append(key, value)

    def delete(self, key: str, if_version: int) -> None:
        """Delete the object if it has version `if_version`.

        Raises:
            KeyError: The object does not exist.
            ConflictError: The object has another version.
        """
        if self.get(key) is None:
            raise KeyError(key)
        self._check_version(key, if_version)
        self._append(key, None)

    def changes(self, prefix: str, since: int) -> list[StoredObject] | None:
        """Return the changes under `prefix` after revision `since`.

        Returns:
            The changes, oldest first. None if `since` is unknown or the log no longer reaches back
            to it, so that the caller has to list the objects again.
        """
        if since > self._revision:
            return None
        if self._changes and since < self._changes[0].revision - 1:
            return None
        matching: list[StoredObject] = []
        for change in reversed(self._changes):
            if change.revision <= since:
                break
            if change.key.startswith(prefix):
                matching.append(change)
        return matching[::-1]

    def _check_version(self, key: str, if_version: int) -> None:
        current = self.get(key)
        version = current.version if current is not None else 0
        if version != if_version:
            raise ConflictError(version)

    def _append(self, key: str, value: Any) -> StoredObject:
        versions = self._versions.setdefault(key, deque(maxlen=MAX_OLD_VERSIONS))
        self._revision += 1
        version = versions[-1].version + 1 if versions else 1
        stored = StoredObject(key, version, value, self._revision, self._now())
        versions.append(stored)
        self._changes.append(stored)
        return stored

    def _version_at(self, key: str, age_s: float) -> StoredObject | None:
        versions = self._versions.get(key)
        if not versions:
            return None
        if age_s <= 0:
            return versions[-1]
        as_of = self._now() - age_s
        for stored in reversed(versions):
            if stored.time <= as_of:
                return stored
        return None

    def _revision_at(self, age_s: float) -> int:
        if age_s <= 0:
            return self._revision
        as_of = self._now() - age_s
        for change in reversed(self._changes):
            if change.time <= as_of:
                return change.revision
        return 0

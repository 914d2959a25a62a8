"""Removes data that is no longer needed: rows, usage objects and finally sealed records."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from functools import partial

import attrs
from result import Err, Ok

from hickoryloom.leases import Guard, ObjectStore
from hickoryloom.store import ErrorKind, Versioned
from hickoryloom.usage.messages import UsageObject, UsageTimes
from hickoryloom.usage.retention import RetentionTracker
from hickoryloom.usage.sealing import SealingState

__all__ = ["FLOOR_KEY", "UsageCleaner"]

FLOOR_KEY = "usage-floor"
REMOVALS_PER_PASS = 10

StoredObject = Versioned[UsageObject]


class UsageCleaner:
    """Removes old data under a reporter's lease, a few objects per pass.

    Before a sealed record is deleted, the floor is raised above its window, so that no later
    reporter treats the window as unsealed.

    Args:
        client: Platform client.
        times: Retention times.
        state: Sealed windows and their records.
    """

    def __init__(self, client: ObjectStore, times: UsageTimes, state: SealingState) -> None:
        self._client = client
        self._times = times
        self._state = state
        self._retention = RetentionTracker(times)
        self._floor_version = 0
        self._removals: deque[Callable[[], object]] = deque()

    def read_floor(self) -> bool:
        """Read the floor; return whether the platform responded."""
        result = self._client.get(FLOOR_KEY)
        if isinstance(result, Ok):
            self._state.floor = max(self._state.floor, int(result.ok_value.value["window"]))
            self._floor_version = result.ok_value.version
            self._state.remove_records(
                {w for w in self._state.sealed_windows if w < self._state.floor}
            )
            return True
        return result.err_value.kind is ErrorKind.ABSENT

    def plan(
        self, now: float, guard: Guard, objects: Sequence[StoredObject], reported: set[int]
    ) -> None:
        """Plan removals from a listing of all usage objects."""
        floor = self._state.floor
        reported_objects = [
            item
            for item in self._state.included_objects(objects)
            if item.value.closed_into in reported or item.value.closed_into < floor
        ]
        self._retention.observe(now, reported_objects)
        self._removals.clear()
        self._removals += [
            partial(self._drop_rows, item, guard)
            for item in self._retention.rows_to_drop(now, reported_objects)
        ]
        self._removals += [
            partial(self._client.delete, item.key, item.version)
            for item in self._retention.objects_to_delete(now, reported_objects)
        ]
        windows = self._expired_windows(now, objects, reported)
        if windows and self._raise_floor(guard, windows[-1] + 1):
            self._removals += [partial(self._delete_record, window) for window in windows]

    def clean(self, guard: Guard) -> None:
        """Run some of the planned removals; those that fail are planned again."""
        for _ in range(REMOVALS_PER_PASS):
            if not self._removals or not guard():
                return
            self._removals.popleft()()

    def _expired_windows(
        self, now: float, objects: Sequence[StoredObject], reported: set[int]
    ) -> list[int]:
        """Return the oldest windows whose records are unneeded, and those below the floor."""
        in_use = {item.value.closed_into for item in objects}
        limit = now - self._times.object_retention_s
        expired = []
        for window in self._state.sealed_windows:
            needed = window in in_use or window not in reported
            if window >= self._state.floor and (
                needed or self._state.record_seen_at(window) > limit
            ):
                break
            expired.append(window)
        return expired

    def _drop_rows(self, item: StoredObject, guard: Guard) -> None:
        value = attrs.evolve(item.value, rows=[], dropped=True)
        self._client.update(item.key, attrs.asdict(value), item.version, guard)

    def _raise_floor(self, guard: Guard, floor: int) -> bool:
        if floor <= self._state.floor:
            return True
        value = {"window": floor}
        if self._floor_version:
            result = self._client.update(FLOOR_KEY, value, self._floor_version, guard)
        else:
            result = self._client.create(FLOOR_KEY, value, guard)
        if isinstance(result, Err):
            self.read_floor()
            return False
        self._floor_version = result.ok_value.version
        self._state.floor = floor
        return True

    def _delete_record(self, window: int) -> None:
        record = self._state.get_record(window)
        digests = record.parts if record is not None else ()
        keys = [f"sealed-parts/{digest}" for digest in digests]
        keys += [f"reported/{window}", f"sealed/{window}"]
        if all(self._delete_object(key) for key in keys):
            self._state.remove_records({window})

    def _delete_object(self, key: str) -> bool:
        found = self._client.get(key)
        if isinstance(found, Err):
            return found.err_value.kind is ErrorKind.ABSENT
        return self._client.delete(key, found.ok_value.version).is_ok()

"""Removes what no one needs any more: rows, usage objects and, last, sealed records."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Sequence
from functools import partial

import attrs
from result import Err, Ok

from hickoryloom.leases import Guard, ObjectStore
from hickoryloom.store import ErrorKind, Versioned
from hickoryloom.usage.messages import UsageObject, UsageTimes
from hickoryloom.usage.retention import Remains
from hickoryloom.usage.sealing import SealBook

__all__ = ["FLOOR_KEY", "UsageCleaner"]

FLOOR_KEY = "usage-floor"
REMOVALS_PER_PASS = 10

Stored = Versioned[UsageObject]


class UsageCleaner:
    """Cleans up under a reporter's lease, a little in each pass.

    Before a sealed record goes, the floor is raised above its window, so that no later reporter
    takes the window for one that was never sealed.

    Args:
        client: Platform's client.
        times: For how long things are kept.
        book: What is sealed.
    """

    def __init__(self, client: ObjectStore, times: UsageTimes, book: SealBook) -> None:
        self._client = client
        self._times = times
        self._book = book
        self._remains = Remains(times)
        self._floor_version = 0
        self._removals: deque[Callable[[], object]] = deque()

    def read_floor(self) -> bool:
        """Read the floor; return whether the platform answered."""
        answer = self._client.get(FLOOR_KEY)
        if isinstance(answer, Ok):
            self._book.floor = max(self._book.floor, int(answer.ok_value.value["window"]))
            self._floor_version = answer.ok_value.version
            self._book.forget({w for w in self._book.windows if w < self._book.floor})
            return True
        return answer.err_value.kind is ErrorKind.ABSENT

    def plan(self, now: float, guard: Guard, objects: Sequence[Stored], reported: set[int]) -> None:
        """Decide what to remove, from a listing of all usage objects."""
        floor = self._book.floor
        settled = [
            item
            for item in self._book.settled(objects)
            if item.value.closed_into in reported or item.value.closed_into < floor
        ]
        self._remains.see(now, settled)
        self._removals.clear()
        self._removals += [
            partial(self._drop_rows, item, guard)
            for item in self._remains.rows_to_drop(now, settled)
        ]
        self._removals += [
            partial(self._client.delete, item.key, item.version)
            for item in self._remains.objects_to_delete(now, settled)
        ]
        windows = self._old_windows(now, objects, reported)
        if windows and self._raise_floor(guard, windows[-1] + 1):
            self._removals += [partial(self._remove_record, window) for window in windows]

    def clean(self, guard: Guard) -> None:
        """Remove some of what was planned; what fails is planned again."""
        for _ in range(REMOVALS_PER_PASS):
            if not self._removals or not guard():
                return
            self._removals.popleft()()

    def _old_windows(self, now: float, objects: Sequence[Stored], reported: set[int]) -> list[int]:
        """Return the first windows whose records no one needs, those below the floor included."""
        in_use = {item.value.closed_into for item in objects}
        limit = now - self._times.objects_kept_s
        old = []
        for window in self._book.windows:
            needed = window in in_use or window not in reported
            if window >= self._book.floor and (needed or self._book.noted_at(window) > limit):
                break
            old.append(window)
        return old

    def _drop_rows(self, item: Stored, guard: Guard) -> None:
        value = attrs.evolve(item.value, rows=[], dropped=True)
        self._client.update(item.key, attrs.asdict(value), item.version, guard)

    def _raise_floor(self, guard: Guard, floor: int) -> bool:
        if floor <= self._book.floor:
            return True
        value = {"window": floor}
        if self._floor_version:
            answer = self._client.update(FLOOR_KEY, value, self._floor_version, guard)
        else:
            answer = self._client.create(FLOOR_KEY, value, guard)
        if isinstance(answer, Err):
            self.read_floor()
            return False
        self._floor_version = answer.ok_value.version
        self._book.floor = floor
        return True

    def _remove_record(self, window: int) -> None:
        record = self._book.sealed(window)
        digests = record.parts if record is not None else ()
        keys = [f"sealed-parts/{digest}" for digest in digests]
        keys += [f"reported/{window}", f"sealed/{window}"]
        if all(self._delete(key) for key in keys):
            self._book.forget({window})

    def _delete(self, key: str) -> bool:
        found = self._client.get(key)
        if isinstance(found, Err):
            return found.err_value.kind is ErrorKind.ABSENT
        return self._client.delete(key, found.ok_value.version).is_ok()

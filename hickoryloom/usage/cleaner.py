"""Removes what no one needs any more: rows, usage objects and, last, sealed records."""

from __future__ import annotations

from collections.abc import Sequence

import attrs
from result import Err, Ok

from hickoryloom.leases import Guard, ObjectStore
from hickoryloom.platform import ErrorKind, Versioned
from hickoryloom.usage.messages import UsageObject, UsageTimes
from hickoryloom.usage.remains import Remains
from hickoryloom.usage.sealing import SealBook

__all__ = ["FLOOR_KEY", "UsageCleaner"]

FLOOR_KEY = "usage-floor"
MAX_RECORDS_PER_PASS = 5


class UsageCleaner:
    """Cleans up under a reporter's lease.

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

    def read_floor(self) -> bool:
        """Read the floor; return whether the platform answered."""
        answer = self._client.get(FLOOR_KEY)
        if isinstance(answer, Ok):
            self._book.floor = max(self._book.floor, int(answer.ok_value.value["window"]))
            self._floor_version = answer.ok_value.version
            return True
        return answer.err_value.kind is ErrorKind.ABSENT

    def clean(
        self,
        now: float,
        guard: Guard,
        objects: Sequence[Versioned[UsageObject]],
        reported: set[int],
    ) -> None:
        """Remove what is old enough."""
        floor = self._book.floor
        settled = [
            item
            for item in self._book.settled(objects)
            if item.value.closed_into in reported or item.value.closed_into < floor
        ]
        self._remains.see(now, settled)
        for item in self._remains.rows_to_drop(now, settled):
            value = attrs.evolve(item.value, rows=[], dropped=True)
            self._client.update(item.key, attrs.asdict(value), item.version, guard)
        for item in self._remains.objects_to_delete(now, settled):
            if guard():
                self._client.delete(item.key, item.version)
        self._remove_records(now, guard, objects, reported)

    def _remove_records(
        self,
        now: float,
        guard: Guard,
        objects: Sequence[Versioned[UsageObject]],
        reported: set[int],
    ) -> None:
        in_use = {item.value.closed_into for item in objects}
        limit = now - self._times.objects_kept_s
        old = []
        for window in self._book.windows:
            if window in in_use or window not in reported or self._book.noted_at(window) > limit:
                break
            old.append(window)
        old = old[:MAX_RECORDS_PER_PASS]
        if old and self._raise_floor(guard, old[-1] + 1):
            gone = {window for window in old if guard() and self._delete_record(window)}
            self._book.forget(gone)

    def _raise_floor(self, guard: Guard, floor: int) -> bool:
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

    def _delete_record(self, window: int) -> bool:
        record = self._book.sealed(window)
        digests = record.parts if record is not None else ()
        keys = [f"sealed-parts/{digest}" for digest in digests]
        return all(self._delete(key) for key in [*keys, f"reported/{window}", f"sealed/{window}"])

    def _delete(self, key: str) -> bool:
        found = self._client.get(key)
        if isinstance(found, Err):
            return found.err_value.kind is ErrorKind.ABSENT
        return self._client.delete(key, found.ok_value.version).is_ok()

"""Decides which sealed record includes which usage object, and when a record is created.

Each object is closed by a conditional update before a record includes it, so its figures are
final. A record is created once and is immutable. Each object is therefore included in exactly one
record, no matter which processes seal and how often they repeat a step.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from hickoryloom.store import Versioned
from hickoryloom.usage.figures import Figures, add_figures, digest_rows, from_rows, to_rows
from hickoryloom.usage.messages import SealedRecord, UsageObject, UsageTimes

__all__ = ["CloseUpdate", "SealedPart", "SealingState", "build_sealed_record"]

MAX_ROWS_PER_PART = 4000
MAX_OPEN_WINDOWS = 2

StoredObject = Versioned[UsageObject]


@attrs.frozen
class CloseUpdate:
    """Update that closes an object: replaces version `if_version` by `value`."""

    value: UsageObject
    if_version: int


@attrs.frozen
class SealedPart:
    """Rows of a sealed record that fit into one object."""

    digest: str
    rows: list[list[object]]


@attrs.define
class SealingState:
    """What a reporter knows of sealed windows and of objects that are not sealed yet.

    Args:
        times: Intervals and time limits.
        floor: Windows before it are sealed, and their records may have been deleted.
    """

    times: UsageTimes
    floor: int = 0
    _records: dict[int, SealedRecord] = attrs.field(factory=dict)
    _record_seen_at: dict[int, float] = attrs.field(factory=dict)
    _first_seen_at: dict[str, float] = attrs.field(factory=dict)

    @property
    def sealed_windows(self) -> list[int]:
        """Sealed windows whose records exist, in order."""
        return sorted(self._records)

    def add_record(self, record: SealedRecord, now: float) -> None:
        """Add a record that exists in the platform, seen at `now`."""
        self._records.setdefault(record.window, record)
        self._record_seen_at.setdefault(record.window, now)

    def record_seen_at(self, window: int) -> float:
        """Return when the record of a window was first seen."""
        return self._record_seen_at[window]

    def get_record(self, window: int) -> SealedRecord | None:
        """Return the sealed record of a window, or None if it is not known."""
        return self._records.get(window)

    def is_sealed(self, window: int) -> bool:
        """Return whether a window is known to be sealed."""
        return window in self._records or window < self.floor

    def remove_records(self, windows: set[int]) -> None:
        """Remove records that were deleted from the platform."""
        self._records = {w: r for w, r in self._records.items() if w not in windows}
        self._record_seen_at = {
            w: seen_at for w, seen_at in self._record_seen_at.items() if w not in windows
        }

    def observe(self, now: float, objects: Sequence[StoredObject], full_listing: bool) -> None:
        """Record when each object was first seen; a full listing removes all others."""
        seen = {item.key: self._first_seen_at.get(item.key, now) for item in objects}
        self._first_seen_at = seen if full_listing else {**self._first_seen_at, **seen}

    def unsealed_windows(self, objects: Sequence[StoredObject]) -> set[int]:
        """Return the windows with objects that no sealed record includes yet."""
        return {item.value.window for item in objects if not self._is_included(item)}

    def windows_to_check(
        self, now: float, wall: float, objects: Sequence[StoredObject]
    ) -> set[int]:
        """Return the windows due for sealing that are not known to be sealed."""
        candidates = {
            item.value.closed_into or item.value.window
            for item in objects
            if item.value.closed_into or self._is_due(now, wall, item)
        }
        return {window for window in candidates if not self.is_sealed(window)}

    def plan_closing(
        self, now: float, wall: float, objects: Sequence[StoredObject]
    ) -> list[CloseUpdate]:
        """Return the updates that close objects or reassign closed ones to another window."""
        updates = []
        for item in objects:
            target = self._target_window(now, wall, item)
            if target and target != item.value.closed_into:
                updates.append(
                    CloseUpdate(attrs.evolve(item.value, closed_into=target), item.version)
                )
        return updates

    def objects_to_seal(
        self, now: float, wall: float, objects: Sequence[StoredObject]
    ) -> dict[int, list[StoredObject]]:
        """Return the closed objects of each window that can be sealed now."""
        groups: dict[int, list[StoredObject]] = {}
        for item in objects:
            target = item.value.closed_into
            if target and not self.is_sealed(target):
                groups.setdefault(target, []).append(item)
        return {
            window: items
            for window, items in groups.items()
            if self._has_ended(wall, window) or any(self._is_overdue(now, item) for item in items)
        }

    def included_objects(self, objects: Sequence[StoredObject]) -> list[StoredObject]:
        """Return the objects whose figures a sealed record includes."""
        return [item for item in objects if self._is_included(item)]

    def _is_included(self, item: StoredObject) -> bool:
        target = item.value.closed_into
        if not target or not self.is_sealed(target):
            return False
        record = self._records.get(target)
        return record is None or item.key in record.included

    def _target_window(self, now: float, wall: float, item: StoredObject) -> int:
        """Return the window to close an object into, or 0 while it stays open."""
        value = item.value
        if value.closed_into:
            if not self.is_sealed(value.closed_into) or self._is_included(item):
                return value.closed_into
            return self._next_unsealed_window(wall)
        if self.is_sealed(value.window):
            return self._next_unsealed_window(wall)
        if self._has_ended(wall, value.window):
            return value.window
        if self._is_overdue(now, item):
            return self._next_unsealed_window(wall)
        return 0

    def _is_due(self, now: float, wall: float, item: StoredObject) -> bool:
        return self._has_ended(wall, item.value.window) or self._is_overdue(now, item)

    def _next_unsealed_window(self, wall: float) -> int:
        """Return the first unsealed window, starting at the one that ended last."""
        window = self.times.window_at(wall - self.times.window_s)
        while self.is_sealed(window):
            window = self.times.window_at(window + 1.5 * self.times.window_s)
        return window

    def _has_ended(self, wall: float, window: int) -> bool:
        return wall >= window + self.times.window_s + self.times.grace_s

    def _is_overdue(self, now: float, item: StoredObject) -> bool:
        """Return whether to seal an object early because its writer's clock may be ahead."""
        limit_s = MAX_OPEN_WINDOWS * self.times.window_s + self.times.grace_s
        return now - self._first_seen_at.get(item.key, now) > limit_s


def build_sealed_record(
    window: int, objects: Sequence[StoredObject]
) -> tuple[SealedRecord, tuple[SealedPart, ...]]:
    """Return the sealed record of a window and its parts, built from closed objects."""
    figures: Figures = {}
    for item in sorted(objects, key=lambda item: item.key):
        figures = add_figures(figures, from_rows(item.value.rows))
    rows = to_rows(figures)
    chunks = [
        rows[offset : offset + MAX_ROWS_PER_PART]
        for offset in range(0, len(rows), MAX_ROWS_PER_PART)
    ] or [[]]
    parts = tuple(SealedPart(digest_rows([[window], *chunk]), chunk) for chunk in chunks)
    record = SealedRecord(
        window=window,
        digest=digest_rows([[part.digest] for part in parts]),
        parts=tuple(part.digest for part in parts),
        included={item.key: item.value.sequence for item in objects},
    )
    return record, parts

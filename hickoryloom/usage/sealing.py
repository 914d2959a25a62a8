"""Decides which usage objects go into which sealed record, and when it is frozen.

Each object is closed by a conditional update before it is read into a record, so its figures
are final; a record is created once and never changed. So each object is in exactly one record,
whoever does the work and however often.
"""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from hickoryloom.store import Versioned
from hickoryloom.usage.figures import Figures, add_figures, digest_rows, from_rows, to_rows
from hickoryloom.usage.messages import SealedRecord, UsageObject, UsageTimes

__all__ = ["Closing", "SealBook", "SealedPart", "build_sealed"]

MAX_PART_ROWS = 4000
SEEN_WINDOWS = 2

Stored = Versioned[UsageObject]


@attrs.frozen
class Closing:
    """Write `value` in place of version `if_version` of its object."""

    value: UsageObject
    if_version: int


@attrs.frozen
class SealedPart:
    """Rows of a sealed record that fit one object."""

    digest: str
    rows: list[list[object]]


@attrs.define
class SealBook:
    """What a reporter knows of sealed windows and of objects not sealed yet.

    Args:
        times: Times of sealing.
    """

    times: UsageTimes
    floor: int = 0
    _sealed: dict[int, SealedRecord] = attrs.field(factory=dict)
    _noted: dict[int, float] = attrs.field(factory=dict)
    _seen: dict[str, float] = attrs.field(factory=dict)

    @property
    def windows(self) -> list[int]:
        """Windows known to be sealed whose records stand, in order."""
        return sorted(self._sealed)

    def note_sealed(self, record: SealedRecord, now: float) -> None:
        """Take in at `now` a record that is frozen in the platform."""
        self._sealed.setdefault(record.window, record)
        self._noted.setdefault(record.window, now)

    def noted_at(self, window: int) -> float:
        """Return when the record of a window was first taken in."""
        return self._noted[window]

    def sealed(self, window: int) -> SealedRecord | None:
        """Return the record of a window, None when it is not known to be sealed."""
        return self._sealed.get(window)

    def is_sealed(self, window: int) -> bool:
        """Tell whether a window is known to be sealed."""
        return window in self._sealed or window < self.floor

    def forget(self, windows: set[int]) -> None:
        """Forget records that were deleted."""
        self._sealed = {w: r for w, r in self._sealed.items() if w not in windows}
        self._noted = {w: at for w, at in self._noted.items() if w not in windows}

    def see(self, now: float, objects: Sequence[Stored], everything: bool) -> None:
        """Note for how long each object has been there; `everything` forgets all others."""
        seen = {item.key: self._seen.get(item.key, now) for item in objects}
        self._seen = seen if everything else {**self._seen, **seen}

    def waiting_windows(self, objects: Sequence[Stored]) -> set[int]:
        """Return the windows with objects that are in no sealed record yet."""
        return {item.value.window for item in objects if not self._is_settled(item)}

    def windows_of(self, now: float, wall: float, objects: Sequence[Stored]) -> set[int]:
        """Return the windows whose sealed records decide about `objects` now."""
        named = {
            item.value.closed_into or item.value.window
            for item in objects
            if item.value.closed_into or self._is_due(now, wall, item)
        }
        return {window for window in named if not self.is_sealed(window)}

    def closings(self, now: float, wall: float, objects: Sequence[Stored]) -> list[Closing]:
        """Return the objects to close or to close into another window."""
        found = []
        for item in objects:
            into = self._window_for(now, wall, item)
            if into and into != item.value.closed_into:
                found.append(Closing(attrs.evolve(item.value, closed_into=into), item.version))
        return found

    def ready(self, now: float, wall: float, objects: Sequence[Stored]) -> dict[int, list[Stored]]:
        """Return the closed objects of each window that may be sealed now."""
        groups: dict[int, list[Stored]] = {}
        for item in objects:
            into = item.value.closed_into
            if into and not self.is_sealed(into):
                groups.setdefault(into, []).append(item)
        return {
            window: items
            for window, items in groups.items()
            if self._has_ended(wall, window) or any(self._is_long_seen(now, item) for item in items)
        }

    def settled(self, objects: Sequence[Stored]) -> list[Stored]:
        """Return the objects whose figures are in a sealed record."""
        return [item for item in objects if self._is_settled(item)]

    def _is_settled(self, item: Stored) -> bool:
        into = item.value.closed_into
        if not into or not self.is_sealed(into):
            return False
        record = self._sealed.get(into)
        return record is None or item.key in record.included

    def _window_for(self, now: float, wall: float, item: Stored) -> int:
        """Return the window that an object is to be closed into, 0 when not yet."""
        value = item.value
        if value.closed_into:
            if not self.is_sealed(value.closed_into) or self._is_settled(item):
                return value.closed_into
            return self._late_window(wall)
        if self.is_sealed(value.window):
            return self._late_window(wall)
        if self._has_ended(wall, value.window):
            return value.window
        if self._is_long_seen(now, item):
            return self._late_window(wall)
        return 0

    def _is_due(self, now: float, wall: float, item: Stored) -> bool:
        return self._has_ended(wall, item.value.window) or self._is_long_seen(now, item)

    def _late_window(self, wall: float) -> int:
        """Return the next window that is not sealed, from the one that ended last."""
        window = self.times.window_at(wall - self.times.window_s)
        while self.is_sealed(window):
            window = self.times.window_at(window + 1.5 * self.times.window_s)
        return window

    def _has_ended(self, wall: float, window: int) -> bool:
        return wall >= window + self.times.window_s + self.times.grace_s

    def _is_long_seen(self, now: float, item: Stored) -> bool:
        bound_s = SEEN_WINDOWS * self.times.window_s + self.times.grace_s
        return now - self._seen.get(item.key, now) > bound_s


def build_sealed(
    window: int, objects: Sequence[Stored]
) -> tuple[SealedRecord, tuple[SealedPart, ...]]:
    """Return the record of a window with its parts, from closed objects."""
    figures: Figures = {}
    for item in sorted(objects, key=lambda item: item.key):
        figures = add_figures(figures, from_rows(item.value.rows))
    rows = to_rows(figures)
    chunks = [rows[at : at + MAX_PART_ROWS] for at in range(0, len(rows), MAX_PART_ROWS)] or [[]]
    parts = tuple(SealedPart(digest_rows([[window], *chunk]), chunk) for chunk in chunks)
    record = SealedRecord(
        window=window,
        digest=digest_rows([[part.digest] for part in parts]),
        parts=tuple(part.digest for part in parts),
        included={item.key: item.value.sequence for item in objects},
    )
    return record, parts

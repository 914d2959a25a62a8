"""Figures counted by this process, per window, in parts that each fit one platform object."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from hickoryloom.usage.chain import ChainWriter
from hickoryloom.usage.figures import ZERO, Figures, to_rows
from hickoryloom.usage.messages import UsageCopy, UsageKey, UsageTimes, UsageTotals

__all__ = ["UsageLedger", "UsagePart"]

MAX_ROWS_PER_PART = 4000
MAX_RECENT_REQUEST_IDS = 8192


@attrs.define
class UsagePart:
    """Figures of one source, and which of them were written and copied.

    Attributes:
        writer: Writes the figures to the platform.
        started_at: Monotonic time of the first figure.
        sequence: Number of changes that were sent out of this process.
        last_write_at: Monotonic time of the last write attempt; None before the first.
        copied_sequence: Sequence number that the peer `copied_to` holds.
        copied_to: Incarnation of the peer that the last copy was sent to.
    """

    writer: ChainWriter
    started_at: float
    figures: Figures = attrs.field(factory=dict)
    sequence: int = 0
    last_write_at: float | None = None
    copied_sequence: int = 0
    copied_to: str = ""
    _change_sequences: dict[UsageKey, int] = attrs.field(factory=dict)
    _dirty: bool = False

    @property
    def is_stored(self) -> bool:
        """Whether the platform holds all figures of the part."""
        return not self._dirty and self.writer.stored_sequence >= self.sequence

    def add(self, key: UsageKey, totals: UsageTotals) -> None:
        """Add `totals` to the figures of `key`."""
        self.figures[key] = self.figures.get(key, ZERO).plus(totals)
        self._change_sequences[key] = self.sequence + 1
        self._dirty = True

    def advance_sequence(self) -> int:
        """Return the sequence number of the current figures, assigning a new one after a change."""
        if self._dirty:
            self.sequence += 1
            self._dirty = False
        return self.sequence

    def build_copy(self, peer: str) -> UsageCopy | None:
        """Return the figures that `peer` lacks, or None if it needs none."""
        base = self.copied_sequence if self.copied_to == peer else 0
        sequence = self.advance_sequence()
        if sequence <= base or sequence <= self.writer.stored_sequence:
            return None
        changed = {
            key: self.figures[key] for key, at in self._change_sequences.items() if at > base
        }
        return UsageCopy(
            window=self.writer.window,
            source=self.writer.source,
            sequence=sequence,
            base=base,
            rows=to_rows(changed),
        )

    def on_copied(self, peer: str, sequence: int) -> None:
        """Record the sequence number that `peer` holds; 0 if it must be sent all figures."""
        self.copied_sequence = sequence
        self.copied_to = peer


@attrs.define
class UsageLedger:
    """All figures of one incarnation that may not be stored in the platform yet.

    Args:
        incarnation: Incarnation of this process.
        times: Intervals and time limits.
    """

    incarnation: str
    times: UsageTimes
    _parts: list[UsagePart] = attrs.field(factory=list)
    _open_parts: dict[int, UsagePart] = attrs.field(factory=dict)
    _part_by_key: dict[tuple[int, UsageKey], UsagePart] = attrs.field(factory=dict)
    _next_part_number: int = 0
    _recent_request_ids: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    @property
    def parts(self) -> tuple[UsagePart, ...]:
        """Parts in the order of their creation."""
        return tuple(self._parts)

    def add(
        self, now: float, wall: float, key: UsageKey, totals: UsageTotals, request_id: str = ""
    ) -> bool:
        """Count a request in the window at `wall`; return False if its id was already counted."""
        if request_id:
            if request_id in self._recent_request_ids:
                return False
            self._remember_request(request_id)
        window = self.times.window_at(wall)
        part = self._part_by_key.get((window, key))
        if part is None:
            part = self._get_open_part(now, window)
            self._part_by_key[(window, key)] = part
        part.add(key, totals)
        return True

    def due_parts(self, now: float, wall: float) -> list[UsagePart]:
        """Return the parts that are due for a write, those of ended windows first."""
        current = self.times.window_at(wall)
        unstored = [part for part in self._parts if not part.is_stored]
        ended = [part for part in unstored if part.writer.window != current]
        current_parts = [part for part in unstored if part.writer.window == current]
        overdue = [part for part in current_parts if self._is_due(part, now)]
        return ended + overdue

    def drop_stored(self, now: float, wall: float) -> list[UsagePart]:
        """Remove stored parts and those that are too old, and return the latter."""
        current = self.times.window_at(wall)
        expired = [part for part in self._parts if self._is_too_old(part, now)]
        kept = []
        for part in self._parts:
            done = part.is_stored and part.writer.window != current
            if not done and part not in expired:
                kept.append(part)
        if len(kept) != len(self._parts):
            self._retain(kept)
        return expired

    def _retain(self, kept: list[UsagePart]) -> None:
        sources = {part.writer.source for part in kept}
        self._parts = kept
        self._open_parts = {w: p for w, p in self._open_parts.items() if p.writer.source in sources}
        self._part_by_key = {
            k: p for k, p in self._part_by_key.items() if p.writer.source in sources
        }

    def _is_due(self, part: UsagePart, now: float) -> bool:
        last = part.last_write_at if part.last_write_at is not None else part.started_at
        return now - last >= self.times.write_interval_s

    def _is_too_old(self, part: UsagePart, now: float) -> bool:
        return not part.is_stored and now - part.started_at > self.times.max_age_s

    def _get_open_part(self, now: float, window: int) -> UsagePart:
        part = self._open_parts.get(window)
        if part is None or len(part.figures) >= MAX_ROWS_PER_PART:
            source = f"{self.incarnation}.{self._next_part_number}"
            self._next_part_number += 1
            part = UsagePart(ChainWriter(window, source), now)
            self._open_parts[window] = part
            self._parts.append(part)
        return part

    def _remember_request(self, request_id: str) -> None:
        self._recent_request_ids[request_id] = None
        if len(self._recent_request_ids) > MAX_RECENT_REQUEST_IDS:
            self._recent_request_ids.popitem(last=False)

"""An entry's own figures: by window, in parts that each fit one platform object."""

from __future__ import annotations

from collections import OrderedDict

import attrs

from hickoryloom.usage.chain import ChainWriter
from hickoryloom.usage.figures import ZERO, Figures, to_rows
from hickoryloom.usage.messages import UsageCopy, UsageKey, UsageTimes, UsageTotals

__all__ = ["Part", "UsageLedger"]

MAX_ROWS = 4000
RECENT_REQUESTS = 8192


@attrs.define
class Part:
    """Figures of one source, and how far they have gone.

    Attributes:
        writer: Brings them into the platform.
        began: Monotonic time of the first figure.
        sequence: Counts the changes that left this process.
        written_at: Monotonic time of the last attempt to write, None before the first.
        copied: Sequence that the peer `copied_to` holds.
    """

    writer: ChainWriter
    began: float
    figures: Figures = attrs.field(factory=dict)
    sequence: int = 0
    written_at: float | None = None
    copied: int = 0
    copied_to: str = ""
    _changed: dict[UsageKey, int] = attrs.field(factory=dict)
    _dirty: bool = False

    @property
    def settled(self) -> bool:
        """Whether the platform holds all of it."""
        return not self._dirty and self.writer.stored >= self.sequence

    def add(self, key: UsageKey, totals: UsageTotals) -> None:
        """Add to the figures of `key`."""
        self.figures[key] = self.figures.get(key, ZERO).plus(totals)
        self._changed[key] = self.sequence + 1
        self._dirty = True

    def expose(self) -> int:
        """Return the sequence of the figures as they are now."""
        if self._dirty:
            self.sequence += 1
            self._dirty = False
        return self.sequence

    def copy_for(self, peer: str) -> UsageCopy | None:
        """Return what `peer` lacks of the figures, None when it has all."""
        base = self.copied if self.copied_to == peer else 0
        sequence = self.expose()
        if sequence <= base or sequence <= self.writer.stored:
            return None
        changed = {key: self.figures[key] for key, at in self._changed.items() if at > base}
        return UsageCopy(
            window=self.writer.window,
            source=self.writer.source,
            sequence=sequence,
            base=base,
            rows=to_rows(changed),
        )

    def on_copied(self, peer: str, sequence: int) -> None:
        """Note what `peer` holds; 0 when it must be sent everything."""
        self.copied = sequence
        self.copied_to = peer


@attrs.define
class UsageLedger:
    """All figures of one incarnation that the platform may lack.

    Args:
        incarnation: This process.
        times: Times of counting.
    """

    incarnation: str
    times: UsageTimes
    _parts: list[Part] = attrs.field(factory=list)
    _open: dict[int, Part] = attrs.field(factory=dict)
    _by_key: dict[tuple[int, UsageKey], Part] = attrs.field(factory=dict)
    _numbers: int = 0
    _recent: OrderedDict[str, None] = attrs.field(factory=OrderedDict)

    @property
    def parts(self) -> tuple[Part, ...]:
        """Parts in the order in which they began."""
        return tuple(self._parts)

    def add(
        self, now: float, wall: float, key: UsageKey, totals: UsageTotals, request_id: str = ""
    ) -> bool:
        """Count one request in the window at `wall`; return False when it is counted already."""
        if request_id:
            if request_id in self._recent:
                return False
            self._remember(request_id)
        window = self.times.window_at(wall)
        part = self._by_key.get((window, key))
        if part is None:
            part = self._part_for(now, window)
            self._by_key[(window, key)] = part
        part.add(key, totals)
        return True

    def due(self, now: float, wall: float) -> list[Part]:
        """Return the parts to write now, those of ended windows first."""
        current = self.times.window_at(wall)
        waiting = [part for part in self._parts if not part.settled]
        ended = [part for part in waiting if part.writer.window != current]
        running = [part for part in waiting if part.writer.window == current]
        late = [part for part in running if self._is_due(part, now)]
        return ended + late

    def drop_settled(self, now: float, wall: float) -> list[Part]:
        """Forget parts that the platform holds, and return those that were given up."""
        current = self.times.window_at(wall)
        given_up = [part for part in self._parts if self._is_too_old(part, now)]
        kept = []
        for part in self._parts:
            done = part.settled and part.writer.window != current
            if not done and part not in given_up:
                kept.append(part)
        if len(kept) != len(self._parts):
            self._keep(kept)
        return given_up

    def _keep(self, kept: list[Part]) -> None:
        names = {part.writer.source for part in kept}
        self._parts = kept
        self._open = {w: p for w, p in self._open.items() if p.writer.source in names}
        self._by_key = {k: p for k, p in self._by_key.items() if p.writer.source in names}

    def _is_due(self, part: Part, now: float) -> bool:
        last = part.written_at if part.written_at is not None else part.began
        return now - last >= self.times.write_s

    def _is_too_old(self, part: Part, now: float) -> bool:
        return not part.settled and now - part.began > self.times.settle_bound_s

    def _part_for(self, now: float, window: int) -> Part:
        part = self._open.get(window)
        if part is None or len(part.figures) >= MAX_ROWS:
            source = f"{self.incarnation}.{self._numbers}"
            self._numbers += 1
            part = Part(ChainWriter(window, source), now)
            self._open[window] = part
            self._parts.append(part)
        return part

    def _remember(self, request_id: str) -> None:
        self._recent[request_id] = None
        if len(self._recent) > RECENT_REQUESTS:
            self._recent.popitem(last=False)

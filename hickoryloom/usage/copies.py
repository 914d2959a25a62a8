"""Copies of other entries' figures, written for entries that have vanished."""

from __future__ import annotations

import attrs

from hickoryloom.usage.chain import ChainWriter
from hickoryloom.usage.figures import Figures, from_rows
from hickoryloom.usage.messages import UsageCopy, UsageTimes

__all__ = ["HeldCopy", "HeldCopies"]

MAX_COPIES = 4096


@attrs.define
class HeldCopy:
    """The latest figures of one source that another entry handed over.

    Attributes:
        writer: Brings them into the platform if need be.
        began: Monotonic time of the first copy, in seconds.
        heard: Monotonic time of the last copy, in seconds.
    """

    writer: ChainWriter
    began: float
    heard: float
    sequence: int = 0
    figures: Figures = attrs.field(factory=dict)


@attrs.define
class HeldCopies:
    """All copies that this process holds.

    Args:
        times: Times of counting.
    """

    times: UsageTimes
    _held: dict[tuple[int, str], HeldCopy] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._held)

    def offer(self, now: float, copy: UsageCopy) -> int:
        """Take a copy in and return the sequence held afterwards; 0 asks for everything."""
        key = (copy.window, copy.source)
        held = self._held.get(key)
        if held is None:
            if copy.base or len(self._held) >= MAX_COPIES:
                return 0
            writer = ChainWriter(copy.window, copy.source, must_read=True)
            held = HeldCopy(writer, now, now)
            self._held[key] = held
        held.heard = now
        if copy.sequence <= held.sequence:
            return held.sequence
        if copy.base == 0:
            held.figures = from_rows(copy.rows)
        elif copy.base == held.sequence:
            held.figures = {**held.figures, **from_rows(copy.rows)}
        else:
            return 0
        held.sequence = copy.sequence
        return held.sequence

    def due(self, now: float, everything: bool = False) -> list[HeldCopy]:
        """Return the copies whose entry has gone quiet; all of them when asked for."""
        limit = now - self.times.copy_timeout_s
        return [held for held in self._held.values() if everything or held.heard <= limit]

    def drop_settled(self, now: float) -> None:
        """Forget the copies that the platform holds, and those that are too old to write."""
        oldest = now - self.times.settle_bound_s
        self._held = {
            key: held
            for key, held in self._held.items()
            if held.writer.stored < held.sequence and held.began >= oldest
        }

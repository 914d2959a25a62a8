"""Copies of other entry processes' figures, written to the platform if their owner disappears."""

from __future__ import annotations

import attrs

from hickoryloom.usage.chain import ChainWriter
from hickoryloom.usage.figures import Figures, from_rows
from hickoryloom.usage.messages import UsageCopy, UsageTimes

__all__ = ["PeerCopy", "PeerCopies"]

MAX_COPIES = 4096


@attrs.define
class PeerCopy:
    """The latest figures of one source, received from another entry process.

    Attributes:
        writer: Writes the figures to the platform if necessary.
        first_received_at: Monotonic time of the first copy, in seconds.
        last_received_at: Monotonic time of the last copy, in seconds.
    """

    writer: ChainWriter
    first_received_at: float
    last_received_at: float
    sequence: int = 0
    figures: Figures = attrs.field(factory=dict)


@attrs.define
class PeerCopies:
    """All copies held by this process.

    Args:
        times: Intervals and time limits.
    """

    times: UsageTimes
    _by_source: dict[tuple[int, str], PeerCopy] = attrs.field(factory=dict)

    def __len__(self) -> int:
        return len(self._by_source)

    def apply_copy(self, now: float, copy: UsageCopy) -> int:
        """Apply a copy and return the sequence number held afterwards; 0 requests all figures."""
        key = (copy.window, copy.source)
        held = self._by_source.get(key)
        if held is None:
            if copy.base or len(self._by_source) >= MAX_COPIES:
                return 0
            writer = ChainWriter(copy.window, copy.source, must_read=True)
            held = PeerCopy(writer, now, now)
            self._by_source[key] = held
        held.last_received_at = now
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

    def due_copies(self, now: float, include_all: bool = False) -> list[PeerCopy]:
        """Return the copies whose owner stopped sending, or all copies."""
        limit = now - self.times.copy_timeout_s
        return [
            held
            for held in self._by_source.values()
            if include_all or held.last_received_at <= limit
        ]

    def drop_stored(self, now: float) -> None:
        """Remove copies that the platform stores, and copies that are too old to write."""
        oldest = now - self.times.max_age_s
        self._by_source = {
            key: held
            for key, held in self._by_source.items()
            if held.writer.stored_sequence < held.sequence and held.first_received_at >= oldest
        }

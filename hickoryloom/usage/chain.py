"""Writes the figures of one source and window to the platform, counting nothing twice.

The figures of a source are stored in a chain of objects: segment 0, and after it was closed for a
sealed record, segment 1 with later figures, and so on. All processes that hold figures of the
source (its entry process and peers with copies) write by the same rules, so any of them may write.
"""

from __future__ import annotations

import attrs

from hickoryloom.usage.figures import Figures, add_figures, from_rows, subtract_figures, to_rows
from hickoryloom.usage.messages import UsageObject, usage_key

__all__ = ["ChainRead", "ChainWrite", "ChainWriter"]


@attrs.frozen
class ChainRead:
    """Request to read the object `key`."""

    key: str


@attrs.frozen
class ChainWrite:
    """Request to write `value` if its object has version `if_version`, 0 for absent."""

    value: UsageObject
    if_version: int


@attrs.define
class ChainWriter:
    """State of one writer for the chain of a source in a window.

    Args:
        window: Id of the window.
        source: Incarnation and number of the part.
        must_read: Whether another process may already have written to the chain.
    """

    window: int
    source: str
    must_read: bool = False
    _segment: int = 0
    _version: int = 0
    _min_version: int = 0
    _stored_sequence: int = 0
    _closed_figures: Figures = attrs.field(factory=dict)
    _latest: tuple[int, Figures] = (0, {})
    _sent_figures: dict[int, Figures] = attrs.field(factory=dict)
    _discarded: Figures = attrs.field(factory=dict)

    @property
    def stored_sequence(self) -> int:
        """Highest sequence number known to be stored in the platform."""
        return self._stored_sequence

    @property
    def discarded(self) -> Figures:
        """Figures discarded because it is no longer known which of them the platform stored."""
        return self._discarded

    def next_call(self, figures: Figures, sequence: int) -> ChainRead | ChainWrite | None:
        """Return the next call for storing `figures`, or None if they are stored."""
        if sequence <= self._stored_sequence:
            return None
        self._latest = (sequence, figures)
        if self.must_read:
            return ChainRead(usage_key(self.window, self.source, self._segment))
        self._sent_figures[sequence] = dict(figures)
        value = UsageObject(
            window=self.window,
            source=self.source,
            segment=self._segment,
            sequence=sequence,
            rows=to_rows(subtract_figures(figures, self._closed_figures)),
        )
        return ChainWrite(value, self._version)

    def on_read(self, version: int, value: UsageObject) -> None:
        """Handle a read that found an object; a result older than a known version is ignored."""
        if version < max(self._version, self._min_version):
            return
        self._stored_sequence = max(self._stored_sequence, value.sequence)
        self._min_version = 0
        if value.closed_into:
            self._continue_after(value)
            return
        self.must_read = False
        self._version = version

    def on_read_absent(self) -> None:
        """Handle a read that found no object; ignored as stale if one is known to exist."""
        if self._version == 0 and self._min_version == 0:
            self.must_read = False

    def on_written(self, version: int, write: ChainWrite) -> None:
        """Handle a write that took effect."""
        self._version = version
        self._min_version = 0
        self._stored_sequence = max(self._stored_sequence, write.value.sequence)
        self._sent_figures = {
            n: figures for n, figures in self._sent_figures.items() if n >= self._stored_sequence
        }

    def on_conflict(self, write: ChainWrite) -> None:
        """Handle a write rejected because the object had another version."""
        self.must_read = True
        self._min_version = write.if_version + 1

    def on_write_unknown(self) -> None:
        """Handle a write of which it is unknown whether it took effect."""
        self.must_read = True

    def _continue_after(self, value: UsageObject) -> None:
        if value.dropped:
            self._assume_stored(value.sequence)
        else:
            self._closed_figures = add_figures(self._closed_figures, from_rows(value.rows))
        self._next_segment()

    def _next_segment(self) -> None:
        self._segment += 1
        self._version = 0
        self._min_version = 0
        self.must_read = True

    def _assume_stored(self, sequence: int) -> None:
        """Treat figures whose rows were dropped as stored.

        Figures may be lost this way, but none is counted twice.
        """
        if sequence in self._sent_figures:
            self._closed_figures = dict(self._sent_figures[sequence])
            return
        latest_sequence, latest = self._latest
        self._discarded = add_figures(
            self._discarded, subtract_figures(latest, self._closed_figures)
        )
        self._closed_figures = dict(latest)
        self._stored_sequence = max(self._stored_sequence, latest_sequence)

"""Writes the figures of one source and window to the platform, each figure once.

The figures of a source stand in a chain of objects: segment 0, and after it was closed for a
sealed record, segment 1 with what came later, and so on. Whoever holds figures of the source
(its entry, or peers with copies) writes by the same rules, so that it does not matter who does.
"""

from __future__ import annotations

import attrs

from hickoryloom.usage.figures import Figures, add_figures, from_rows, subtract_figures, to_rows
from hickoryloom.usage.messages import UsageObject, usage_key

__all__ = ["ChainRead", "ChainWrite", "ChainWriter"]


@attrs.frozen
class ChainRead:
    """Read the object `key`."""

    key: str


@attrs.frozen
class ChainWrite:
    """Write `value` if its object has version `if_version`, 0 for absent."""

    value: UsageObject
    if_version: int


@attrs.define
class ChainWriter:
    """What one writer knows of the chain of a source in a window.

    Args:
        window: Id of the window.
        source: Incarnation and number of the part.
        must_read: Whether someone else may have written already.
    """

    window: int
    source: str
    must_read: bool = False
    _segment: int = 0
    _version: int = 0
    _above_version: int = 0
    _stored: int = 0
    _closed: Figures = attrs.field(factory=dict)
    _held: tuple[int, Figures] = (0, {})
    _sent: dict[int, Figures] = attrs.field(factory=dict)
    _lost: Figures = attrs.field(factory=dict)

    @property
    def stored(self) -> int:
        """Sequence that is known to stand in the platform."""
        return self._stored

    @property
    def unsettled(self) -> Figures:
        """Figures given up, because what the platform holds of them can't be told any more."""
        return self._lost

    def next_call(self, figures: Figures, sequence: int) -> ChainRead | ChainWrite | None:
        """Return the call that brings `figures` into the platform, None when they are there."""
        if sequence <= self._stored:
            return None
        self._held = (sequence, figures)
        if self.must_read:
            return ChainRead(usage_key(self.window, self.source, self._segment))
        self._sent[sequence] = dict(figures)
        value = UsageObject(
            window=self.window,
            source=self.source,
            segment=self._segment,
            sequence=sequence,
            rows=to_rows(subtract_figures(figures, self._closed)),
        )
        return ChainWrite(value, self._version)

    def on_found(self, version: int, value: UsageObject) -> None:
        """Take in what a read found."""
        if version < max(self._version, self._above_version):
            return
        self._stored = max(self._stored, value.sequence)
        self._above_version = 0
        if value.closed_into:
            self._go_on_after(value)
            return
        self.must_read = False
        self._version = version

    def on_absent(self) -> None:
        """Take in that a read found no object; disbelieved when one is known to exist."""
        if self._version == 0 and self._above_version == 0:
            self.must_read = False

    def on_written(self, version: int, write: ChainWrite) -> None:
        """Take in that a write took effect."""
        self._version = version
        self._above_version = 0
        self._stored = max(self._stored, write.value.sequence)
        self._sent = {n: held for n, held in self._sent.items() if n >= self._stored}

    def on_conflict(self, write: ChainWrite) -> None:
        """Take in that the object had another version."""
        self.must_read = True
        self._above_version = write.if_version + 1

    def on_unknown(self) -> None:
        """Take in that it is unknown whether a write took effect."""
        self.must_read = True

    def _go_on_after(self, value: UsageObject) -> None:
        if value.dropped:
            self._assume_sent(value.sequence)
        else:
            self._closed = add_figures(self._closed, from_rows(value.rows))
        self._next_segment()

    def _next_segment(self) -> None:
        self._segment += 1
        self._version = 0
        self._above_version = 0
        self.must_read = True

    def _assume_sent(self, sequence: int) -> None:
        """Take figures as stored whose rows are gone; count nothing twice rather than all."""
        if sequence in self._sent:
            self._closed = dict(self._sent[sequence])
            return
        held_sequence, held = self._held
        self._lost = add_figures(self._lost, subtract_figures(held, self._closed))
        self._closed = dict(held)
        self._stored = max(self._stored, held_sequence)

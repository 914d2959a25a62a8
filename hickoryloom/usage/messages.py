"""Data types of usage accounting."""

from __future__ import annotations

from typing import Any

import attrs

__all__ = ["SealedRecord", "UsageCopy", "UsageKey", "UsageObject", "UsageTimes", "UsageTotals"]


@attrs.frozen
class UsageKey:
    """Key by which usage is aggregated."""

    customer: str
    service: str
    request_class: str


@attrs.frozen
class UsageTotals:
    """Cumulative usage of one key in one window."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: UsageTotals) -> UsageTotals:
        """Return the sum of both totals."""
        return UsageTotals(
            requests=self.requests + other.requests,
            prompt_tokens=self.prompt_tokens + other.prompt_tokens,
            output_tokens=self.output_tokens + other.output_tokens,
        )

    def minus(self, other: UsageTotals) -> UsageTotals:
        """Return these totals minus `other`."""
        return UsageTotals(
            requests=self.requests - other.requests,
            prompt_tokens=self.prompt_tokens - other.prompt_tokens,
            output_tokens=self.output_tokens - other.output_tokens,
        )


@attrs.frozen
class UsageTimes:
    """Intervals and time limits of counting and sealing, in seconds.

    Attributes:
        window_s: Length of a window.
        write_interval_s: Time between writes of one source to the platform while its window is
            open.
        min_write_interval_s: Minimum time between any two writes of one entry process.
        copy_interval_s: Time between copies sent to a peer.
        copy_timeout_s: Age of a peer's last copy after which this process writes the copied
            figures to the platform.
        grace_s: Time from the end of a window until it is sealed.
        max_age_s: Age up to which figures are still written; older ones are discarded.
        row_retention_s: How long the rows of reported objects are kept.
        object_retention_s: How long reported objects and sealed records are kept; longer than
            `max_age_s`.
    """

    window_s: float
    write_interval_s: float
    min_write_interval_s: float
    copy_interval_s: float
    copy_timeout_s: float
    grace_s: float
    max_age_s: float = 12 * 3600.0
    row_retention_s: float = 1800.0
    object_retention_s: float = 24 * 3600.0

    @classmethod
    def for_window(cls, window_s: float) -> UsageTimes:
        """Return the intervals and limits for a window length."""
        return cls(
            window_s=window_s,
            write_interval_s=min(10.0, window_s / 4),
            min_write_interval_s=min(2.0, window_s / 20),
            copy_interval_s=min(1.0, window_s / 20),
            copy_timeout_s=min(10.0, window_s / 4),
            grace_s=min(15.0, window_s / 2),
        )

    def window_at(self, wall: float) -> int:
        """Return the id of the window that contains a wall-clock time: its start in seconds."""
        return int(wall // self.window_s * self.window_s)


@attrs.frozen
class UsageObject:
    """Figures of one source in one window, as stored in the platform.

    A source is one part of the figures of one incarnation. After an object is closed, its writers
    continue in the next segment.

    Attributes:
        window: Id of the window.
        source: Incarnation and number of the part.
        segment: 0 for the first object of the source in the window.
        sequence: Sequence number of the figures; incremented with each change that the entry
            process sends out.
        rows: Figures, see `hickoryloom.usage.figures`; empty once they were dropped.
        closed_into: Window whose sealed record is to include the object; 0 while writers may
            still change it.
        dropped: Whether the rows were dropped after the window was reported.
    """

    window: int
    source: str
    segment: int
    sequence: int
    rows: list[list[Any]]
    closed_into: int = 0
    dropped: bool = False

    @property
    def key(self) -> str:
        """Key of the object in the platform."""
        return usage_key(self.window, self.source, self.segment)


@attrs.frozen
class SealedRecord:
    """The final figures of one window; immutable once created.

    Attributes:
        window: Id of the window.
        digest: Digest of all figures.
        parts: Digests of the objects that hold the rows, `sealed-parts/<digest>`.
        included: Sequence number of each included usage object, by key.
    """

    window: int
    digest: str
    parts: tuple[str, ...]
    included: dict[str, int]


@attrs.frozen
class UsageCopy:
    """Figures that an entry process sends to a peer between its writes to the platform.

    Attributes:
        window: Id of the window.
        source: Incarnation and number of the part.
        sequence: Sequence number of the figures.
        base: Sequence number that `rows` is relative to; 0 if `rows` contains all figures.
        rows: Cumulative figures that have changed since `base`.
    """

    window: int
    source: str
    sequence: int
    base: int
    rows: list[list[Any]]


def usage_key(window: int, source: str, segment: int) -> str:
    """Return the platform key of a usage object."""
    suffix = f"+{segment}" if segment else ""
    return f"usage/{window}/{source}{suffix}"

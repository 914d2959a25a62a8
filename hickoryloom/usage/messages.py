"""Messages of usage accounting."""

from __future__ import annotations

from typing import Any

import attrs

__all__ = ["SealedRecord", "UsageCopy", "UsageKey", "UsageObject", "UsageTimes", "UsageTotals"]


@attrs.frozen
class UsageKey:
    """What usage is added up by."""

    customer: str
    service: str
    request_class: str


@attrs.frozen
class UsageTotals:
    """Cumulative figures of one window."""

    requests: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: UsageTotals) -> UsageTotals:
        """Return the sum of both."""
        return UsageTotals(
            requests=self.requests + other.requests,
            prompt_tokens=self.prompt_tokens + other.prompt_tokens,
            output_tokens=self.output_tokens + other.output_tokens,
        )

    def minus(self, other: UsageTotals) -> UsageTotals:
        """Return the difference of both."""
        return UsageTotals(
            requests=self.requests - other.requests,
            prompt_tokens=self.prompt_tokens - other.prompt_tokens,
            output_tokens=self.output_tokens - other.output_tokens,
        )


@attrs.frozen
class UsageTimes:
    """Times of counting and sealing, in seconds.

    Attributes:
        window_s: Length of a window.
        write_s: Between writes of one source to the platform, while its window is open.
        spacing_s: Between any two writes of one entry.
        copy_s: Between copies to a peer.
        copy_timeout_s: Age of a peer's last copy after which its figures are written for it.
        grace_s: From the end of a window until it is sealed.
        settle_bound_s: Age up to which figures are still written; longer ones are given up.
        rows_kept_s: For which the figures of settled objects stay.
        objects_kept_s: For which settled objects and sealed records stay; beyond `settle_bound_s`.
    """

    window_s: float
    write_s: float
    spacing_s: float
    copy_s: float
    copy_timeout_s: float
    grace_s: float
    settle_bound_s: float = 12 * 3600.0
    rows_kept_s: float = 1800.0
    objects_kept_s: float = 24 * 3600.0

    @classmethod
    def of(cls, window_s: float) -> UsageTimes:
        """Return the times that go with a window's length."""
        return cls(
            window_s=window_s,
            write_s=min(10.0, window_s / 4),
            spacing_s=min(2.0, window_s / 20),
            copy_s=min(1.0, window_s / 20),
            copy_timeout_s=min(10.0, window_s / 4),
            grace_s=min(15.0, window_s / 2),
        )

    def window_at(self, wall: float) -> int:
        """Return the id of the window at a wall time: the second at which it starts."""
        return int(wall // self.window_s * self.window_s)


@attrs.frozen
class UsageObject:
    """Figures of one source in one window, as they stand in the platform.

    A source is a part of one incarnation's figures. Once an object is closed, its writers go on
    in a next segment.

    Attributes:
        window: Id of the window.
        source: Incarnation and number of the part.
        segment: 0 for the first object of the source in the window.
        sequence: Of the figures that it holds; counts up with each change that left the entry.
        rows: Figures, see `hickoryloom.usage.figures`; empty in the remains of a settled object.
        closed_into: Window whose sealed record is to hold it; 0 while writers may change it.
        dropped: Whether the rows were dropped after the report.
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
        """Key of the platform's object."""
        return usage_key(self.window, self.source, self.segment)


@attrs.frozen
class SealedRecord:
    """The frozen figures of one window; never changed once it is created.

    Attributes:
        window: Id of the window.
        digest: Of all figures.
        parts: Digests of the objects that hold the rows, `sealed-parts/<digest>`.
        included: Sequence of each usage object in it, by key.
    """

    window: int
    digest: str
    parts: tuple[str, ...]
    included: dict[str, int]


@attrs.frozen
class UsageCopy:
    """Figures that an entry hands to a peer between its writes to the platform.

    Attributes:
        window: Id of the window.
        source: Incarnation and number of the part.
        sequence: Of the figures.
        base: Sequence on which `rows` builds; 0 when `rows` holds everything.
        rows: Cumulative figures that have changed since `base`.
    """

    window: int
    source: str
    sequence: int
    base: int
    rows: list[list[Any]]


def usage_key(window: int, source: str, segment: int) -> str:
    """Return the key of a usage object."""
    suffix = f"+{segment}" if segment else ""
    return f"usage/{window}/{source}{suffix}"

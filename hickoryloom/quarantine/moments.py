"""Counts the ends of backend servers that happened at different moments."""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["Times", "count_moments", "find_moments"]

SAME_MOMENT_S = 0.25
"""Ends within this time count as one, unless the request was sent after the end before: many
servers that end at once have another cause, such as the loss of a failure domain."""

AGE_ERROR_S = 0.005
"""Error of times that were sent as ages in milliseconds."""

Times = tuple[float, float]
"""Times at which a server ended and at which a request that it cut off was sent."""


def count_moments(times: Iterable[Times]) -> int:
    """Return the number of ends that don't belong to a common loss."""
    return len(find_moments(times))


def find_moments(times: Iterable[Times]) -> list[float]:
    """Return when the ends happened that don't belong to a common loss, in order."""
    found: list[float] = []
    for at, sent_at in sorted(times):
        last = found[-1] if found else float("-inf")
        if at - last >= SAME_MOMENT_S or sent_at >= last - AGE_ERROR_S:
            found.append(at)
    return found

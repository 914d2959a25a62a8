"""Counts the ends of backend servers that happened at different moments."""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["Times", "count_moments"]

SAME_MOMENT_S = 0.25
"""Ends within this time count as one, unless the request was sent after the end before: many
servers that end at once have another cause, such as the loss of a failure domain."""

AGE_ERROR_S = 0.005
"""Error of times that were sent as ages in milliseconds."""

Times = tuple[float, float]
"""Times at which a server ended and at which a request that it cut off was sent."""


def count_moments(times: Iterable[Times]) -> int:
    """Return the number of ends that don't belong to a common loss."""
    count, last = 0, float("-inf")
    for at, sent_at in sorted(times):
        if at - last >= SAME_MOMENT_S or sent_at >= last - AGE_ERROR_S:
            count, last = count + 1, at
    return count

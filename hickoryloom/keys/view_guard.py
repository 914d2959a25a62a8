"""Whether this entry may still take its view of the keys as current."""

from __future__ import annotations

from typing import Protocol

from hickoryloom.configuration import Freshness

__all__ = ["FreshnessSource", "ViewGuard"]

READY_BOUND_S = 3.3
KEYED_BOUND_S = 4.0


class FreshnessSource(Protocol):
    """Anything that knows how well the view is founded, such as a `ConfigurationFollower`."""

    @property
    def freshness(self) -> Freshness:
        """How well the view is founded."""


class ViewGuard:
    """Decides from the age of the evidence that no withdrawal has been missed.

    Readiness fails first, so that the balancer moves callers before keyed work is refused.

    Args:
        source: Knows how well the view is founded.
    """

    def __init__(self, source: FreshnessSource) -> None:
        self._source = source

    def allows_keyed(self, now: float) -> bool:
        """Return whether calls with a key may run.

        Args:
            now: Monotonic time, in seconds.
        """
        return self._source.freshness.vouched_age(now) <= KEYED_BOUND_S

    def ready(self, now: float) -> bool:
        """Return whether the entry may be sent new callers.

        Args:
            now: Monotonic time, in seconds.
        """
        return self._source.freshness.vouched_age(now) <= READY_BOUND_S

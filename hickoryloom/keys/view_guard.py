"""Decides whether the view of the keys is fresh enough to use."""

from __future__ import annotations

from typing import Protocol

from hickoryloom.configuration import Freshness

__all__ = ["FreshnessSource", "ViewGuard"]

READY_MAX_AGE_S = 3.3
KEYED_MAX_AGE_S = 4.0


class FreshnessSource(Protocol):
    """Provides the freshness of the view, like `ConfigurationFollower`."""

    @property
    def freshness(self) -> Freshness:
        """The freshness of the view."""


class ViewGuard:
    """Decides by the age of the last evidence that no withdrawal has been missed.

    Readiness fails first, so that the load balancer redirects callers before calls with a key are
    rejected.

    Args:
        source: Provides the freshness of the view.
    """

    def __init__(self, source: FreshnessSource) -> None:
        self._source = source

    def allows_keyed_calls(self, now: float) -> bool:
        """Return whether calls with a key may run.

        Args:
            now: Monotonic time, in seconds.
        """
        return self._source.freshness.confirmed_age(now) <= KEYED_MAX_AGE_S

    def ready(self, now: float) -> bool:
        """Return whether the entry is ready for new callers.

        Args:
            now: Monotonic time, in seconds.
        """
        return self._source.freshness.confirmed_age(now) <= READY_MAX_AGE_S

"""Tracks since when the platform has been answering."""

from __future__ import annotations

import attrs

__all__ = ["Availability"]


@attrs.define
class Availability:
    """Time since which an interface of the platform is available.

    A call that started before the last recovery, such as a watch on a connection that went
    silent, says nothing about the time after it and does not begin a new outage.

    Attributes:
        since: Monotonic time of the first response after the last outage, in seconds, or minus
            infinity without an earlier outage; None before the first response and during an
            outage.
    """

    since: float | None = None
    _failed: bool = False

    def record_response(self, now: float) -> None:
        """Record a response received at `now`."""
        if self.since is None:
            self.since = now if self._failed else float("-inf")

    def restart(self, now: float) -> None:
        """Record an outage that ended with a response received at `now`."""
        self.since = now

    def record_failure(self, started_at: float) -> None:
        """Record a call without a usable response that started at `started_at`."""
        self._failed = True
        if self.since is not None and started_at >= self.since:
            self.since = None

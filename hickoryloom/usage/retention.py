"""Decides when the rows of reported usage objects are dropped and the objects deleted."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from hickoryloom.store import Versioned
from hickoryloom.usage.messages import UsageObject, UsageTimes

__all__ = ["RetentionTracker"]

StoredObject = Versioned[UsageObject]


@attrs.define
class RetentionTracker:
    """Tracks since when one reporter has known each object to be reported.

    Args:
        times: Retention times.
    """

    times: UsageTimes
    _since: dict[str, float] = attrs.field(factory=dict)

    def observe(self, now: float, reported: Sequence[StoredObject]) -> None:
        """Record when each object was first known to be reported; others are removed."""
        self._since = {item.key: self._since.get(item.key, now) for item in reported}

    def rows_to_drop(self, now: float, reported: Sequence[StoredObject]) -> list[StoredObject]:
        """Return objects whose rows no writer needs any more."""
        limit = now - self.times.row_retention_s
        old = [item for item in reported if self._since[item.key] <= limit]
        return [item for item in old if not item.value.dropped]

    def objects_to_delete(self, now: float, reported: Sequence[StoredObject]) -> list[StoredObject]:
        """Return the objects that no writer can access any more."""
        limit = now - self.times.object_retention_s
        return [item for item in reported if self._since[item.key] <= limit]

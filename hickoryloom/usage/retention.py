"""Decides when settled usage objects lose their rows and go."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from hickoryloom.store import Versioned
from hickoryloom.usage.messages import UsageObject, UsageTimes

__all__ = ["Remains"]

Stored = Versioned[UsageObject]


@attrs.define
class Remains:
    """Ages of settled objects, as one reporter saw them.

    Args:
        times: For how long rows and objects are kept.
    """

    times: UsageTimes
    _since: dict[str, float] = attrs.field(factory=dict)

    def see(self, now: float, settled: Sequence[Stored]) -> None:
        """Note since when each object has been settled."""
        self._since = {item.key: self._since.get(item.key, now) for item in settled}

    def rows_to_drop(self, now: float, settled: Sequence[Stored]) -> list[Stored]:
        """Return objects whose rows no writer needs any more."""
        limit = now - self.times.rows_kept_s
        old = [item for item in settled if self._since[item.key] <= limit]
        return [item for item in old if not item.value.dropped]

    def objects_to_delete(self, now: float, settled: Sequence[Stored]) -> list[Stored]:
        """Return objects that no writer can come back to."""
        limit = now - self.times.objects_kept_s
        return [item for item in settled if self._since[item.key] <= limit]

"""Whether an instance may act on what it knows of the others, by age of that knowledge.

Instances that divide something among themselves each act on a list of the others that was read some
time ago. Each one acts only while its list is recent, and a new one only once the lists that others
may still act on are all younger than its own entry. So all instances that act at one moment know
each other, whoever started, was suspended or was cut off from the store. This module performs no
I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

__all__ = ["InstanceStanding"]

LISTED_S = 6.5
"""Time after the last confirmed write of its entry for which an instance counts as listed: others
drop it eight seconds after the write, and their clocks differ by a second or less."""

READ_S = 2.5
"""Longest time from an instance's read of the list until it acts on it."""


class InstanceStanding:
    """Tracks since when this instance and the others that act have known each other."""

    def __init__(self) -> None:
        self._others: frozenset[str] = frozenset()
        self._valid_s = 0.0
        self._valid_until = float("-inf")
        self._changed_at = float("-inf")
        self._listed_since = float("-inf")
        self._listed_until = float("-inf")

    def confirm_view(
        self, others: Iterable[str], read_at: float, valid_s: float, now: float
    ) -> None:
        """Record a list of the other instances.

        Args:
            others: Keys of the other live instances.
            read_at: Monotonic time before the list was read, in seconds.
            valid_s: Seconds for which an instance acts on a list.
            now: Monotonic time in seconds.
        """
        current = frozenset(others)
        if current != self._others or now >= self._valid_until:
            self._changed_at = now
        self._others = current
        self._valid_s = max(valid_s, self._valid_s)
        self._valid_until = max(self._valid_until, read_at + valid_s)

    def confirm_listing(self, sent_at: float, now: float) -> None:
        """Record that this instance's entry was written.

        Args:
            sent_at: Monotonic time at which the write was sent, in seconds.
            now: Monotonic time in seconds.
        """
        if now >= self._listed_until:
            self._listed_since = now
        self._listed_until = max(self._listed_until, sent_at + LISTED_S)

    def acts_since(self, now: float) -> float | None:
        """Return the monotonic time from which this instance may act, which may be in the future.

        Returns:
            None while its list or its own entry is too old.
        """
        if now >= min(self._valid_until, self._listed_until):
            return None
        return max(self._changed_at, self._listed_since + self._valid_s + READ_S)

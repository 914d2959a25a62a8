"""Reserves: slots guaranteed to a class regardless of the demand of higher tiers."""

from __future__ import annotations

import attrs

__all__ = ["Reserve"]

MAX_CREDIT_S = 2.0


@attrs.define
class Reserve:
    """The reserve of one class in one pool at one entry.

    Credit in slot seconds accrues at a rate of `slots` per second, and each reserved request
    consumes one slot second per second while it holds its slot. A reserve of less than one slot
    therefore still admits one request at a time, at a correspondingly lower frequency.

    Attributes:
        slots: Reserved slots at this entry; may be a fraction.
        credit: Available slot seconds; negative if more were consumed than had accrued.
        running: Number of reserved requests that hold a slot.
        updated: Monotonic time of the last update, in seconds.
    """

    slots: float = 0.0
    credit: float = 0.0
    running: int = 0
    updated: float = 0.0

    def advance(self, now: float) -> None:
        """Update the credit to the time `now`."""
        elapsed = now - self.updated
        self.updated = now
        self.credit += elapsed * (self.slots - self.running)
        self.credit = min(self.credit, self.slots * MAX_CREDIT_S)

    def may_start(self, now: float) -> bool:
        """Return whether a reserved request may start."""
        if self.slots <= 0:
            return False
        self.advance(now)
        return self.running < self.slots and self.credit >= 0

    def ready_at(self) -> float | None:
        """Return when the next reserved request may start.

        Returns None if there is no reserve or a running request has to finish first.
        """
        if self.slots <= 0 or self.running >= self.slots:
            return None
        return self.updated + max(0.0, -self.credit) / (self.slots - self.running)

    def started(self, now: float) -> None:
        """Record that a reserved request has taken a slot."""
        self.advance(now)
        self.running += 1

    def finished(self, now: float) -> None:
        """Record that a reserved request has released its slot."""
        self.advance(now)
        self.running -= 1

"""Reserved shares: slot seconds that belong to a class whatever the other tiers want."""

from __future__ import annotations

import attrs

__all__ = ["Reserve"]

SAVED_S = 2.0


@attrs.define
class Reserve:
    """One class's reserved part of one pool, at one entry.

    Credit in slot seconds comes in at `slots` a second, and each reserved start uses it for as
    long as it holds its slot. A part of less than one slot thus still lets one request through
    at a time, as often as the part allows.

    Attributes:
        slots: Reserved slots at this entry; may be a fraction.
        credit: Slot seconds at hand; negative after more was used.
        running: Reserved requests that hold a slot.
        updated: Monotonic time of the last update, in seconds.
    """

    slots: float = 0.0
    credit: float = 0.0
    running: int = 0
    updated: float = 0.0

    def advance(self, now: float) -> None:
        """Count credit and use up to `now`."""
        elapsed = now - self.updated
        self.updated = now
        self.credit += elapsed * (self.slots - self.running)
        self.credit = min(self.credit, self.slots * SAVED_S)

    def may_start(self, now: float) -> bool:
        """Return whether a reserved request may start."""
        if self.slots <= 0:
            return False
        self.advance(now)
        return self.running < self.slots and self.credit >= 0

    def ready_at(self) -> float | None:
        """Return when a reserved request may start next, or None when that depends on others."""
        if self.slots <= 0 or self.running >= self.slots:
            return None
        return self.updated + max(0.0, -self.credit) / (self.slots - self.running)

    def started(self, now: float) -> None:
        """Count a reserved request that takes a slot."""
        self.advance(now)
        self.running += 1

    def finished(self, now: float) -> None:
        """Count a reserved request that gives its slot back."""
        self.advance(now)
        self.running -= 1

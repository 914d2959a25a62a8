"""Which failure domains are evacuated, and how recent that view is.

The load is that of an operator who empties a failure domain of a running fleet: views of the same
listing arrive from the store and from other instances, late and in any order. This module performs
no I/O.
"""

from __future__ import annotations

import attrs

from hickoryloom.store import split_version

__all__ = ["Evacuation", "EvacuationChange", "EvacuationState", "EvacuationView"]

COPY_GRACE_S = 10.0
"""Time for an operator to write an evacuation again that a store restored from a copy lacks."""


@attrs.frozen
class EvacuationView:
    """One listing of the evacuations.

    Attributes:
        domains: The listed failure domains.
        revision: Revision of the store at the listing, joined with its era.
        confirmed_at: Monotonic time at which the listing was requested at the latest, in seconds.
        read: `store`, or the key of the instance that has read it.
    """

    domains: frozenset[str]
    revision: int
    confirmed_at: float
    read: str


@attrs.frozen
class Evacuation:
    """The evacuation of one failure domain as this instance knows it.

    Attributes:
        domain: The failure domain.
        noticed_at: Monotonic time since which this instance applies it, in seconds.
        read: The read by which it was noticed, as in `EvacuationView`.
    """

    domain: str
    noticed_at: float
    read: str


@attrs.frozen
class EvacuationChange:
    """What a view has changed.

    Attributes:
        begun: Evacuations that are new.
        ended: Evacuations that have ended.
        kept: Failure domains that the first view of a new era lacks and that stay evacuated.
    """

    begun: tuple[Evacuation, ...] = ()
    ended: tuple[Evacuation, ...] = ()
    kept: tuple[str, ...] = ()


@attrs.define
class EvacuationState:
    """The newest view of the evacuations.

    Views are ordered by the revision of the store: a slow listing that was requested later may
    show an earlier state. A store that returned from an older copy may lack an acknowledged
    evacuation, so one that is missing in the new era stays in force for `COPY_GRACE_S`.

    Attributes:
        domains: The evacuated failure domains.
        revision: Revision of the newest view; 0 before the first.
        confirmed_at: Monotonic time as of which the view is known to be current, in seconds; None
            before the first view.
    """

    domains: frozenset[str] = frozenset()
    revision: int = 0
    confirmed_at: float | None = None
    _evacuations: dict[str, Evacuation] = attrs.field(factory=dict)
    _kept_until: dict[str, float] = attrs.field(factory=dict)

    @property
    def evacuations(self) -> tuple[Evacuation, ...]:
        """The evacuations in force."""
        return tuple(self._evacuations.values())

    def age(self, now: float) -> float:
        """Return the seconds since the view was last known to be current."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def apply(self, view: EvacuationView, now: float) -> EvacuationChange | None:
        """Apply a view; return None if a newer one is known.

        Args:
            view: The view.
            now: Monotonic time in seconds.
        """
        if self.confirmed_at is not None and view.revision < self.revision:
            return None
        kept = self._keep_missing(view, now)
        self.revision = view.revision
        if self.confirmed_at is None or view.confirmed_at > self.confirmed_at:
            self.confirmed_at = view.confirmed_at
        begun = tuple(
            Evacuation(domain, now, view.read)
            for domain in sorted(view.domains - self._evacuations.keys())
        )
        ended = self._end(self._evacuations.keys() - view.domains - self._kept_until.keys())
        for evacuation in begun:
            self._evacuations[evacuation.domain] = evacuation
        self.domains = frozenset(self._evacuations)
        return EvacuationChange(begun, ended, kept)

    def clear(self) -> tuple[Evacuation, ...]:
        """Forget the view and return the evacuations that end with it."""
        ended = self._end(self._evacuations.keys() | ())
        self.domains = frozenset()
        self.revision = 0
        self.confirmed_at = None
        self._kept_until.clear()
        return ended

    def _keep_missing(self, view: EvacuationView, now: float) -> tuple[str, ...]:
        """Keep evacuations that are missing since a new era of the store; return the new ones."""
        self._kept_until = {
            domain: until
            for domain, until in self._kept_until.items()
            if domain not in view.domains and now < until
        }
        if split_version(view.revision)[0] <= split_version(self.revision)[0]:
            return ()
        missing = sorted(self._evacuations.keys() - view.domains - self._kept_until.keys())
        self._kept_until.update(dict.fromkeys(missing, now + COPY_GRACE_S))
        return tuple(missing)

    def _end(self, domains: set[str]) -> tuple[Evacuation, ...]:
        return tuple(self._evacuations.pop(domain) for domain in sorted(domains))

"""Eras of the store: periods within which it keeps every acknowledged write.

A store that was restored from an older copy has lost the writes since then and begins a new era. It
assigns revisions again that it had assigned in the earlier era, so a revision identifies a state of
the store only together with its era. Versions of objects and revisions of listings contain both.
"""

from __future__ import annotations

import enum

import attrs

__all__ = ["EraChange", "StoreEra", "join_version", "split_version"]

REVISION_BITS = 64


def join_version(era: int, revision: int) -> int:
    """Return the version of a revision; versions of a later era are greater."""
    return (era << REVISION_BITS) + revision


def split_version(version: int) -> tuple[int, int]:
    """Return the era and the revision of a version."""
    return version >> REVISION_BITS, version & ((1 << REVISION_BITS) - 1)


class EraChange(enum.Enum):
    """What the era of an answer says about the answer.

    Attributes:
        NONE: It belongs to the current era.
        BEGUN: It is the first answer of a new era.
        ENDED: It belongs to an era that has ended.
    """

    NONE = "none"
    BEGUN = "begun"
    ENDED = "ended"


@attrs.define
class StoreEra:
    """The latest era of the store that this process knows of.

    Attributes:
        known: Whether an answer has told the era.
        current: The latest era; 0 if it is not known.
        changes: Number of times that a new era replaced an earlier one.
    """

    known: bool = False
    current: int = 0
    changes: int = 0

    def observe(self, era: int | None) -> EraChange:
        """Record the era of an answer, or None if the answer doesn't tell it."""
        if era is None or era == self.current:
            self.known = self.known or era is not None
            return EraChange.NONE
        if era < self.current:
            return EraChange.ENDED
        replaced, self.known, self.current = self.known, True, era
        if not replaced:
            return EraChange.NONE
        self.changes += 1
        return EraChange.BEGUN

    def is_outdated(self, version: int) -> bool:
        """Return whether a version, 0 for an absent object, was read in an earlier era."""
        return version > 0 and split_version(version)[0] < self.current

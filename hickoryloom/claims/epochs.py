"""Epochs by which claims expire, independent of wall clocks; pure, time is handed in.

One platform object counts epochs. A process moves it on only after it has itself seen the object
unchanged for a whole epoch by its monotonic clock, so that an epoch never lasts less than
`EPOCH_S`, whatever wall clocks say and however long processes are frozen.
"""

from __future__ import annotations

import attrs

__all__ = ["EPOCH_KEY", "EPOCH_S", "EpochView", "is_expired"]

EPOCH_KEY = "clocks/claims"
EPOCH_S = 3600.0
KEPT_EPOCHS = 25
MAX_VIEW_AGE_S = 1800.0


def is_expired(record_epoch: int, current_epoch: int) -> bool:
    """Return whether a claim last changed in `record_epoch` is older than 24 hours."""
    return current_epoch - record_epoch > KEPT_EPOCHS


@attrs.define
class EpochView:
    """What this process knows of the epoch object.

    Attributes:
        epoch: Number of the epoch; 0 before it was read.
        version: Version of the object; 0 while it is absent or unread.
    """

    epoch: int = 0
    version: int = 0
    _since: float | None = None
    _read: float | None = None

    def observe(self, epoch: int, version: int, asked: float, answered: float) -> None:
        """Note the object as read.

        An older version is a stale read, unless no other was read for `MAX_VIEW_AGE_S`: then the
        platform has lost its store, and the count begins anew.

        Args:
            epoch: Its number.
            version: Its version.
            asked: Monotonic time before the read, in seconds.
            answered: Monotonic time after the read, in seconds.
        """
        if version < self.version and self.is_fresh(answered):
            return
        if version != self.version or self._since is None:
            self._since = answered
        self.epoch, self.version = epoch, version
        self._read = asked

    def is_due(self, now: float) -> bool:
        """Return whether the epoch has lasted long enough to be moved on."""
        return self._since is not None and now - self._since >= EPOCH_S

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is new enough to stamp claims with."""
        return self._read is not None and now - self._read <= MAX_VIEW_AGE_S

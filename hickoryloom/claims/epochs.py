"""Epochs that decide when claims expire, independent of wall clocks; pure, time is an argument.

One platform object counts epochs. A process increments it only after it has seen the object
unchanged for a whole epoch by its own monotonic clock. An epoch therefore never lasts less than
`EPOCH_S`, even if wall clocks jump or processes are suspended.
"""

from __future__ import annotations

import attrs

__all__ = ["EPOCH_KEY", "EPOCH_S", "EpochView", "is_expired"]

EPOCH_KEY = "clocks/claims"
EPOCH_S = 3600.0
RETENTION_EPOCHS = 25
MAX_VIEW_AGE_S = 1800.0


def is_expired(record_epoch: int, current_epoch: int) -> bool:
    """Return whether a claim last changed in `record_epoch` is older than 24 hours."""
    return current_epoch - record_epoch > RETENTION_EPOCHS


@attrs.define
class EpochView:
    """Last state of the epoch object known to this process.

    Attributes:
        epoch: Number of the epoch; 0 before the first read.
        version: Version of the object; 0 while it is absent or unread.
    """

    epoch: int = 0
    version: int = 0
    _unchanged_since: float | None = None
    _read_at: float | None = None

    def observe(self, epoch: int, version: int, requested_at: float, answered_at: float) -> None:
        """Record the object as read.

        An older version is ignored as a stale read, unless the last accepted read is older than
        `MAX_VIEW_AGE_S`: then the platform has lost its store, and its new count is adopted,
        since no new claim could be made otherwise.

        Args:
            epoch: Number of the epoch.
            version: Version of the object.
            requested_at: Monotonic time before the read, in seconds.
            answered_at: Monotonic time after the read, in seconds.
        """
        if version < self.version and self.is_fresh(answered_at):
            return
        if version != self.version or self._unchanged_since is None:
            self._unchanged_since = answered_at
        self.epoch, self.version = epoch, version
        self._read_at = requested_at

    def is_due(self, now: float) -> bool:
        """Return whether the epoch has lasted long enough to start the next one."""
        return self._unchanged_since is not None and now - self._unchanged_since >= EPOCH_S

    def is_fresh(self, now: float) -> bool:
        """Return whether the view is recent enough to use its epoch in claims."""
        return self._read_at is not None and now - self._read_at <= MAX_VIEW_AGE_S

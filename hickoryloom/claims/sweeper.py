"""Advances the epoch and deletes expired claims, at background priority of the call budget."""

from __future__ import annotations

from random import Random
from typing import Any

import gevent
import logbook

from hickoryloom.claims.codec import CLAIM_PREFIX, record_from_json
from hickoryloom.claims.epochs import EPOCH_KEY, EpochView, is_expired
from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.store import CallPriority, ErrorKind, PlatformClient, Versioned

__all__ = ["Sweeper"]

SWEEP_INTERVAL_S = 60.0
EPOCH_READ_INTERVAL_S = 300.0
SHARD_DIGITS = 3

log = logbook.Logger("hickoryloom.claims")


class Sweeper:
    """Caches the epoch and deletes expired claims, one random shard at a time.

    Args:
        client: Client of the platform.
        clock: Source of time.
        random: Source of shards and jitter.
    """

    def __init__(self, client: PlatformClient, clock: Clock, random: Random) -> None:
        self._client = client
        self._clock = clock
        self._random = random
        self._view = EpochView()
        self._epoch_read_at = 0.0

    @property
    def view(self) -> EpochView:
        """Last known epoch."""
        return self._view

    def ensure_epoch(self) -> bool:
        """Read the epoch if the view is too old; return whether new claims may use the epoch."""
        if not self._view.is_fresh(self._clock.monotonic()):
            self.read_epoch(CallPriority.NORMAL)
        return self._view.is_fresh(self._clock.monotonic())

    def read_epoch(self, priority: CallPriority) -> None:
        """Read the epoch object; create it if it is absent."""
        requested_at = self._clock.monotonic()
        found = self._client.get(EPOCH_KEY, priority)
        if found.is_err() and found.unwrap_err().kind is ErrorKind.ABSENT:
            self._client.create(EPOCH_KEY, {"epoch": 1})
            found = self._client.get(EPOCH_KEY, priority)
        if found.is_ok():
            self._observe(found.unwrap(), requested_at)

    def advance_epoch(self) -> None:
        """Start the next epoch if the current one has lasted long enough."""
        if not self._view.is_due(self._clock.monotonic()):
            return
        value = {"epoch": self._view.epoch + 1}
        updated = self._client.update(EPOCH_KEY, value, self._view.version)
        if updated.is_ok():
            log_event(log, "claims-epoch", epoch=self._view.epoch + 1)
        self.read_epoch(CallPriority.BACKGROUND)

    def sweep(self, shard: str) -> int:
        """Delete the expired claims of one shard; return how many were deleted."""
        listing = self._client.list(CLAIM_PREFIX + shard, CallPriority.BACKGROUND)
        if listing.is_err():
            return 0
        expired = [item for item in listing.unwrap().items if self._is_expired(item)]
        deleted = 0
        for item in expired:
            result = self._client.delete(item.key, item.version, CallPriority.BACKGROUND)
            if result.is_err() and result.unwrap_err().kind is ErrorKind.OVER_BUDGET:
                break
            deleted += result.is_ok()
        if deleted:
            log_event(log, "claims-swept", shard=shard, deleted=deleted)
        return deleted

    def run(self) -> None:
        """Read, advance and sweep periodically until killed."""
        while True:
            gevent.sleep(self._random.uniform(0.5, 1.5) * SWEEP_INTERVAL_S)
            now = self._clock.monotonic()
            if now - self._epoch_read_at > EPOCH_READ_INTERVAL_S:
                self._epoch_read_at = now
                self.read_epoch(CallPriority.BACKGROUND)
                self.advance_epoch()
            if self._view.is_fresh(self._clock.monotonic()):
                self.sweep(self._choose_shard())

    def _choose_shard(self) -> str:
        return f"{self._random.randrange(16**SHARD_DIGITS):0{SHARD_DIGITS}x}"

    def _observe(self, found: Versioned[Any], requested_at: float) -> None:
        try:
            epoch = int(found.value["epoch"])
        except (KeyError, TypeError, ValueError):
            log_event(log, "claims-epoch-unread", version=found.version)
            return
        self._view.observe(epoch, found.version, requested_at, self._clock.monotonic())

    def _is_expired(self, item: Versioned[Any]) -> bool:
        try:
            return is_expired(record_from_json(item.value).epoch, self._view.epoch)
        except (AttributeError, KeyError, TypeError, ValueError):
            return False

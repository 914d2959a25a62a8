"""Presence of control processes, from which operators learn their admin addresses."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.membership import Presence, PresenceManager
from hickoryloom.store import Listing, PlatformClient

__all__ = ["ControlPresence"]

RENEW_INTERVAL_S = 30.0
STALE_AFTER_S = 120.0
ROLE = "control"

log = logbook.Logger("hickoryloom.control")


class ControlPresence:
    """Renews the presence object of this process and removes stale ones of other control processes.

    Args:
        client: Client of the platform.
        clock: Source of monotonic time.
        presence: Presence of this process.
        is_cleaner: Returns whether this process is the one that removes stale objects.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        presence: Presence,
        is_cleaner: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._presence_manager = PresenceManager(client, presence)
        self._is_cleaner = is_cleaner
        self._last_changes: dict[str, tuple[int, float]] = {}
        self._loop = TaskLoop(self._step, "presence", log)

    def start(self) -> None:
        """Write the presence object and start renewing it."""
        self._loop.start()

    def stop(self) -> None:
        """Remove the presence object."""
        self._loop.stop()
        self._presence_manager.remove()

    def _step(self) -> float:
        self._presence_manager.renew()
        if self._is_cleaner():
            self._presence_manager.list(self._remove_stale)
        return RENEW_INTERVAL_S

    def _remove_stale(self, listing: Listing) -> None:
        now = self._clock.monotonic()
        current: dict[str, tuple[int, float]] = {}
        for item in listing.items:
            if isinstance(item.value, dict) and item.value.get("role") == ROLE:
                version, changed_at = self._last_changes.get(item.key, (0, now))
                current[item.key] = (item.version, changed_at if version == item.version else now)
        self._last_changes = current
        stale = {
            key.rpartition("/")[2]: version
            for key, (version, changed_at) in current.items()
            if now - changed_at > STALE_AFTER_S
        }
        if stale:
            log_event(log, "stale-presence", count=len(stale))
            self._presence_manager.remove_stale(stale)

"""Presence of control processes, so that operators find their ports."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.membership import Presence, PresenceKeeper
from hickoryloom.store import Listing, PlatformClient

__all__ = ["ControlPresence"]

RENEW_INTERVAL_S = 30.0
STALE_S = 120.0
ROLE = "control"

log = logbook.Logger("hickoryloom.control")


class ControlPresence:
    """Keeps this process's presence object, and removes those of vanished control processes.

    Args:
        client: Platform's client.
        clock: Source of monotonic time.
        presence: This process.
        cleans: Tells whether this process is the one that removes others' objects.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        presence: Presence,
        cleans: Callable[[], bool],
    ) -> None:
        self._clock = clock
        self._keeper = PresenceKeeper(client, presence)
        self._cleans = cleans
        self._versions: dict[str, tuple[int, float]] = {}
        self._loop = TaskLoop(self._step, "presence", log)

    def start(self) -> None:
        """Write the presence object and begin to renew it."""
        self._loop.start()

    def stop(self) -> None:
        """Remove the presence object."""
        self._loop.stop()
        self._keeper.remove()

    def _step(self) -> float:
        self._keeper.renew()
        if self._cleans():
            self._keeper.list(self._remove_stale)
        return RENEW_INTERVAL_S

    def _remove_stale(self, listing: Listing) -> None:
        now = self._clock.monotonic()
        seen: dict[str, tuple[int, float]] = {}
        for item in listing.items:
            if isinstance(item.value, dict) and item.value.get("role") == ROLE:
                version, since = self._versions.get(item.key, (0, now))
                seen[item.key] = (item.version, since if version == item.version else now)
        self._versions = seen
        stale = {
            key.rpartition("/")[2]: version
            for key, (version, since) in seen.items()
            if now - since > STALE_S
        }
        if stale:
            log_event(log, "stale-presence", count=len(stale))
            self._keeper.remove_stale(stale)

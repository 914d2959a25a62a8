"""Sealed windows that this process knows, for a store that has lost them."""

from __future__ import annotations

import logbook
from result import Ok

from hickoryloom.logs import log_event
from hickoryloom.metering.meter import RETAINED_WINDOWS
from hickoryloom.store import ErrorKind, PlatformClient

__all__ = ["SEALED_PREFIX", "SealedWindows"]

SEALED_PREFIX = "sealed/"

log = logbook.Logger("hickoryloom.metering")


class SealedWindows:
    """The latest windows that this process has sealed or found sealed.

    Args:
        client: Client of the store.
    """

    def __init__(self, client: PlatformClient) -> None:
        self._client = client
        self._counts: dict[int, dict[str, int]] = {}
        self._stored_era: dict[int, int] = {}

    def remember(self, window: int, counts: dict[str, int], era: int) -> None:
        """Record the counts of a window that the store holds in an era."""
        self._counts.setdefault(window, counts)
        self._stored_era[window] = era
        while len(self._counts) > RETAINED_WINDOWS:
            oldest = min(self._counts)
            del self._counts[oldest], self._stored_era[oldest]

    def holds(self, window: int) -> bool:
        """Return whether the counts of a window are known."""
        return window in self._counts

    def restore(self, era: int, window: int | None = None) -> None:
        """Create the windows again that the store may have lost before an era.

        Args:
            era: The latest known era of the store.
            window: A window that the store is known to lack; None for those of earlier eras.
        """
        if window is not None:
            self._stored_era[window] = -1
        for number, counts in sorted(self._counts.items()):
            if self._stored_era.get(number, era) >= era:
                continue
            created = self._client.create(f"{SEALED_PREFIX}{number}", {"counts": counts})
            if isinstance(created, Ok):
                log_event(log, "sealed-window-restored", window=number, era=era)
            elif created.err_value.kind is not ErrorKind.CONFLICT:
                return
            if number in self._counts:
                self._stored_era[number] = era

"""Reads the journals of all processes when a caller takes up a stream that no instance knows."""

from __future__ import annotations

import attrs
import gevent
import logbook
from gevent.event import Event
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.origins.journal import JOURNALS_PREFIX, Journal, read_journal
from hickoryloom.origins.messages import Origin
from hickoryloom.store import PlatformClient

__all__ = ["JournalReader", "JournalView"]

READ_TIMEOUT_S = 0.5
"""Longest wait for the journals when a caller takes up a stream: twice the response time of a slow
store."""

READ_INTERVAL_S = 0.1
"""Shortest interval between two reads of the journals. Callers that come meanwhile share one."""

log = logbook.Logger("hickoryloom.origins")


@attrs.frozen
class JournalView:
    """The journals of all processes as of one read.

    Attributes:
        journals: The journals.
        unreadable: Number of objects that hold no journal.
        read_at: Monotonic time at which the read was sent, in seconds.
    """

    journals: tuple[Journal, ...] = ()
    unreadable: int = 0
    read_at: float = float("-inf")

    def find(self, key: str) -> Origin | None:
        """Return the origin of a stream; None if no journal has it."""
        found = (journal.find(key) for journal in self.journals)
        return next((origin for origin in found if origin is not None), None)


class JournalReader:
    """Reads the journals once for all callers that come at the same time.

    Args:
        client: Client of the store.
        clock: Source of time.
    """

    def __init__(self, client: PlatformClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._view = JournalView()
        self._is_failing = False
        self._greenlet: gevent.Greenlet | None = None
        self._changed = Event()

    def read(self, key: str) -> tuple[JournalView, bool]:
        """Return the journals, and whether they are as of now or hold the stream `key`.

        Blocks for `READ_TIMEOUT_S` at most.
        """
        asked_at = self._clock.monotonic()
        until = asked_at + READ_TIMEOUT_S
        while self._view.find(key) is None and self._view.read_at < asked_at:
            left_s = until - self._clock.monotonic()
            if left_s <= 0:
                return self._view, False
            if self._greenlet is None:
                self._greenlet = gevent.spawn(self._read)
            if self._changed.wait(left_s) and self._is_failing:
                return self._view, False
        return self._view, True

    def forget(self) -> None:
        """Forget the journals, which are no longer needed."""
        self._view = JournalView()

    def _read(self) -> None:
        try:
            pause_s = self._view.read_at + READ_INTERVAL_S - self._clock.monotonic()
            if pause_s > 0:
                gevent.sleep(pause_s)
            sent_at = self._clock.monotonic()
            listing = self._client.list(JOURNALS_PREFIX)
            self._is_failing = isinstance(listing, Err)
            if isinstance(listing, Ok):
                found = [read_journal(item.value) for item in listing.ok_value.items]
                journals = tuple(journal for journal in found if journal is not None)
                unreadable = len(found) - len(journals) + listing.ok_value.unreadable
                self._view = JournalView(journals, unreadable, sent_at)
            else:
                error = listing.err_value
                log_event(
                    log, "stream-journals-not-read", kind=error.kind.value, detail=error.detail
                )
        finally:
            self._greenlet = None
            self._changed.set()
            self._changed = Event()

"""Writes the journals of this process while services are mixed."""

from __future__ import annotations

from collections.abc import Callable, Iterable

import attrs
import cattrs
import logbook
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.discovery import BackendServer
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.origins.journal import (
    JOURNALS_PREFIX,
    Journal,
    group_streams,
    journal_key,
    read_journal,
)
from hickoryloom.origins.journal_reader import JournalReader, JournalView
from hickoryloom.origins.listed import MAX_VERSION_CHARS
from hickoryloom.origins.lists_task import VersionLists
from hickoryloom.origins.periods import Period
from hickoryloom.origins.state import ORIGIN_LIFETIME_S, OriginMemory
from hickoryloom.store import ErrorKind, PlatformClient, PlatformError, retry_pause_s
from hickoryloom.verdict import Applied

__all__ = ["OriginJournals"]

IDLE_S = 1.0
RETRY_S = 0.4

FIRST_LEAVE_S = 1.0
"""Time from the begin of a period until streams begin at other versions than its base, while the
base has servers: longer than other instances take to see the period and write their journals. After
a loss of all instances before that, all streams are known to have begun at the base."""

MIN_WRITE_INTERVAL_S = 0.2
"""Shortest interval between two writes of a journal. The first stream after a pause is written at
once."""

WRITE_SHARE = 0.25
"""Part of this process's share of the store's write calls that its journals may use."""

log = logbook.Logger("hickoryloom.origins")


@attrs.define
class _Own:
    """The stored journal of this process for one service.

    Attributes:
        version: Version of the object; 0 if it does not exist.
        is_version_known: Whether no write with an unknown result has been sent since.
        period: Id of the period in which it was written last; None before the first write.
        leaves_base: Whether it says that streams may begin at other versions than the base.
        leaves_at: Monotonic time from which it may say so, in seconds.
        era: Era of the store in which it was written.
        is_outdated: Whether streams have begun since.
        due_at: Monotonic time before which it is not written again, in seconds.
    """

    version: int = 0
    is_version_known: bool = True
    period: str | None = None
    leaves_base: bool = False
    leaves_at: float = 0.0
    era: int = 0
    is_outdated: bool = False
    due_at: float = 0.0


class OriginJournals:
    """Keeps the journals of this process in step with its streams.

    Args:
        client: Client of the store.
        clock: Source of time.
        lists: Lists of the versions in the store.
        process: Unique id of this process.
        address: `host:port` at which it receives datagrams; empty for none.
        write_rate: Returns the store's write calls that this process may make per second.
        rank: Returns the rank of this instance for a key, from 0; None while it is not known.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        lists: VersionLists,
        process: str,
        address: str,
        write_rate: Callable[[], float],
        rank: Callable[[str], int | None],
    ) -> None:
        self._rank = rank
        self._client = client
        self._clock = clock
        self._lists = lists
        self._process = process
        self._address = address
        self._write_rate = write_rate
        self._memory = OriginMemory()
        self._own: dict[str, _Own] = {}
        self._ended: list[tuple[str, int]] = []
        self._uniform: set[str] = set()
        self._in_service: frozenset[tuple[str, str]] = frozenset()
        self._reader = JournalReader(client, clock)
        self._counted = False
        self._uncovered_at = float("-inf")
        self._writer = TaskLoop(self._step, "stream-journals", log)
        lists.subscribe(self.refresh)

    @property
    def process(self) -> str:
        """Unique id of this process."""
        return self._process

    @property
    def covers_all_processes(self) -> bool:
        """Whether all processes that lived within a stream's lifetime keep journals."""
        now = self._clock.monotonic()
        return self._counted and now - self._uncovered_at >= ORIGIN_LIFETIME_S

    @property
    def memory(self) -> OriginMemory:
        """Origins of resumable streams that this process has begun and not delivered completely."""
        return self._memory

    def start(self) -> None:
        """Start the task that writes."""
        self._writer.start()

    def stop(self) -> None:
        """Stop after the current step; the journals remain for callers that come back."""
        self._writer.stop()

    def note_processes(self, all_keep_journals: bool) -> None:
        """Record whether all live processes keep journals."""
        self._counted = True
        if not all_keep_journals:
            self._uncovered_at = self._clock.monotonic()

    def note_stream(self, service: str) -> None:
        """Record that a stream has begun; its origin is in the memory already."""
        own = self._own.get(service)
        if own is not None:
            own.is_outdated = True
            self._writer.wake()

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Apply the list of live backend servers."""
        self._in_service = frozenset(
            (server.service, server.software[:MAX_VERSION_CHARS])
            for server in servers
            if not server.leaving
        )
        self._writer.wake()

    def refresh(self) -> None:
        """Begin or end journals when a service becomes mixed or uniform."""
        mixed = {service for service in self._lists.services if self._lists.period(service)}
        for service in mixed - self._own.keys():
            now = self._clock.monotonic()
            leaves_at = now + FIRST_LEAVE_S if service in self._uniform else now
            self._own[service] = _Own(era=self._client.era, is_outdated=True, leaves_at=leaves_at)
            self._writer.wake()
        if self._own.keys() - mixed:
            self._writer.wake()
        self._uniform = {
            service for service in self._lists.services - mixed if self._lists.is_read(service)
        }

    def is_kept(self, service: str) -> bool:
        """Return whether this process keeps a journal of a service now."""
        return service in self._own

    def held(self, service: str) -> frozenset[str]:
        """Return the versions whose servers must not get a resumable stream yet.

        Those are all but the base of the service's period until this process has a journal.
        """
        period = self._lists.period(service)
        if period is None or not period.base:
            return frozenset()
        own = self._own.get(service)
        if own is not None and own.period == period.id and own.leaves_base:
            return frozenset()
        return self._lists.present(service) - {period.base}

    def read(self, key: str) -> tuple[JournalView, bool]:
        """Return the journals, and whether they are as of now or hold the stream `key`."""
        return self._reader.read(key)

    def _step(self) -> float:
        """Write the journals that are due; return the seconds until the next one may be."""
        self.refresh()
        next_at = self._clock.monotonic() + IDLE_S
        for service, own in list(self._own.items()):
            if self._needs_write(service, own) and self._clock.monotonic() >= own.due_at:
                self._write(service, own)
            if self._needs_write(service, own):
                next_at = min(next_at, own.due_at)
            elif not own.leaves_base:
                next_at = min(next_at, own.leaves_at)
        if self._ended:
            self._delete_ended()
            next_at = min(next_at, self._clock.monotonic() + self._interval_s)
        return max(0.0, next_at - self._clock.monotonic())

    def _needs_write(self, service: str, own: _Own) -> bool:
        period = self._lists.period(service)
        if period is None:
            return True
        if own.is_outdated or own.period != period.id or own.era != self._client.era:
            return True
        return self._may_leave(service, own, period) and not own.leaves_base

    def _may_leave(self, service: str, own: _Own, period: Period) -> bool:
        """Return whether streams may begin at other versions than the base of the period."""
        if own.period == period.id and own.leaves_base:
            return True
        if self._clock.monotonic() >= own.leaves_at:
            return True
        return not period.base or (service, period.base) not in self._in_service

    def _write(self, service: str, own: _Own) -> None:
        period = self._lists.period(service)
        own.is_outdated = False
        key = journal_key(service, self._process)
        error = self._read_version(key, own)
        era = self._client.era
        if error is None and period is None:
            error = self._delete(key, service, own)
        elif error is None and period is not None:
            now = self._clock.monotonic()
            origins = [(k, origin) for k, origin, _ in self._memory.all_of(service, now)]
            journal = Journal(
                service,
                self._process,
                self._address,
                period.id,
                self._may_leave(service, own, period),
                group_streams(origins),
            )
            written = self._client.update(key, cattrs.unstructure(journal), own.version)
            if isinstance(written, Ok):
                if own.period != period.id:
                    log_event(log, "stream-journal-begun", service=service, streams=len(origins))
                own.version, own.period, own.era = written.ok_value.version, period.id, era
                own.leaves_base = journal.leaves_base
                self._lists.wake_waiting()
            else:
                error = written.err_value
        own.due_at = self._clock.monotonic() + self._interval_s
        if error is None:
            return
        own.is_outdated = True
        own.due_at = self._clock.monotonic() + retry_pause_s(error, RETRY_S)
        if error.kind is ErrorKind.CONFLICT or error.applied is not Applied.NOT_APPLIED:
            own.is_version_known = False
        if error.kind in (ErrorKind.CONFLICT, ErrorKind.ABSENT):
            own.version, own.due_at = 0, self._clock.monotonic()
        self._log_failure("stream-journal-not-written", error)

    def _delete(self, key: str, service: str, own: _Own) -> PlatformError | None:
        """Delete a journal after the end of its period."""
        if own.version:
            deleted = self._client.delete(key, own.version)
            if isinstance(deleted, Err) and deleted.err_value.kind is not ErrorKind.ABSENT:
                return deleted.err_value
        self._own.pop(service, None)
        self._reader.forget()
        log_event(log, "stream-journal-ended", service=service)
        if self._rank(service) == 0:
            self._find_ended(service)
        return None

    def _find_ended(self, service: str) -> None:
        """Find the journals of processes that ended before the period did, to delete them."""
        listing = self._client.list(JOURNALS_PREFIX)
        if isinstance(listing, Err):
            self._log_failure("stream-journals-not-read", listing.err_value)
            return
        ended_at = self._lists.list_version(service)
        for item in listing.ok_value.items:
            journal = read_journal(item.value)
            if journal is not None and journal.service == service and item.version <= ended_at:
                self._ended.append((item.key, item.version))

    def _delete_ended(self) -> None:
        key, version = self._ended.pop()
        deleted = self._client.delete(key, version)
        if isinstance(deleted, Err) and deleted.err_value.kind is not ErrorKind.ABSENT:
            self._log_failure("stream-journal-not-deleted", deleted.err_value)

    def _read_version(self, key: str, own: _Own) -> PlatformError | None:
        """Read the version of the object if it is not known; return why that failed."""
        if own.is_version_known and own.era == self._client.era:
            return None
        found = self._client.get(key)
        if isinstance(found, Ok):
            own.version = found.ok_value.version
        elif found.err_value.kind is ErrorKind.ABSENT:
            own.version = 0
        else:
            return found.err_value
        own.is_version_known, own.era = True, self._client.era
        return None

    @property
    def _interval_s(self) -> float:
        return max(MIN_WRITE_INTERVAL_S, 1.0 / max(0.01, WRITE_SHARE * self._write_rate()))

    def _log_failure(self, event: str, error: PlatformError) -> None:
        log_event(log, event, kind=error.kind.value, detail=error.detail)

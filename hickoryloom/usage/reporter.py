"""The task under the lease `usage`: seals windows, reports them and removes what is settled."""

from __future__ import annotations

from typing import Any, Protocol

import attrs
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.leases import Guard, LeaseKeeper, ObjectStore, Right
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import ErrorKind, Listing, PlatformError, UsageReport, Versioned
from hickoryloom.usage.cleaner import UsageCleaner
from hickoryloom.usage.codec import read_as, read_with_rows
from hickoryloom.usage.messages import SealedRecord, UsageObject, UsageTimes
from hickoryloom.usage.sealing import Closing, SealBook, SealedPart, build_sealed

__all__ = ["UsageClient", "UsageReporter"]

PASSES_PER_WINDOW = 4
RECENT_WINDOWS = 4
LIST_ALL_WINDOWS = 10
SHORTEST_PAUSE_S = 0.1
LONGEST_PAUSE_S = 15.0
SEALED_PREFIX = "sealed/"
PARTS_PREFIX = "sealed-parts/"
REPORTED_PREFIX = "reported/"
USAGE_PREFIX = "usage/"

Stored = Versioned[UsageObject]

log = logbook.Logger("hickoryloom.usage")


class UsageClient(ObjectStore, Protocol):
    """What a reporter needs of the platform's client."""

    def report(self, report: UsageReport, guard: Guard | None = None) -> Result[Any, PlatformError]:
        """Send the sealed figures of a window."""


class UsageReporter:
    """Seals and reports windows while this process holds the lease.

    Args:
        client: Platform's client.
        clock: Source of time.
        lease: The lease under which it acts.
        incarnation: This process.
        window_s: Seconds of one window, as entries count.
    """

    def __init__(
        self,
        client: UsageClient,
        clock: Clock,
        lease: LeaseKeeper,
        incarnation: str,
        window_s: float,
    ) -> None:
        self._client = client
        self._clock = clock
        self._lease = lease
        self._incarnation = incarnation
        self._times = UsageTimes.of(window_s)
        self._book = SealBook(self._times)
        self._cleaner = UsageCleaner(client, self._times, self._book)
        self._reported: set[int] = set()
        self._refused: set[int] = set()
        self._waiting: set[int] = set()
        self._listed_at = float("-inf")
        self._term = 0
        self._loop = TaskLoop(self._run_pass_and_pause, "usage-reporter", log)

    @property
    def reported(self) -> frozenset[int]:
        """Windows that this process knows to be reported."""
        return frozenset(self._reported)

    def start(self) -> None:
        """Begin to seal and report whenever the lease is held."""
        self._loop.start()

    def stop(self) -> None:
        """Stop after the call in progress; a successor goes on from what is sealed."""
        self._loop.stop()

    def run_pass(self) -> bool:
        """Seal and report what is due; return whether there is more to do at once."""
        right = self._lease.right()
        if right is None or not self._take_over(right):
            return False
        guard = self._lease.guard(right)
        now = self._clock.monotonic()
        everything = now - self._listed_at >= LIST_ALL_WINDOWS * self._times.window_s
        objects = self._list_objects(now, everything)
        if objects is None:
            return False
        more = self._seal(guard, objects)
        self._report(right, guard)
        if everything:
            self._listed_at = now
            self._reported = {window for window in self._reported if window >= self._book.floor}
            self._cleaner.plan(now, guard, objects, self._reported)
        self._cleaner.clean(guard)
        return more

    def _run_pass_and_pause(self) -> float:
        if self.run_pass():
            return SHORTEST_PAUSE_S
        pause_s = self._times.window_s / PASSES_PER_WINDOW
        return min(max(pause_s, SHORTEST_PAUSE_S), LONGEST_PAUSE_S)

    def _take_over(self, right: Right) -> bool:
        """Read what predecessors have sealed and reported, once for each term."""
        if self._term == right.term:
            return True
        if not self._cleaner.read_floor():
            return False
        sealed = self._client.list(SEALED_PREFIX)
        reported = self._client.list(REPORTED_PREFIX)
        if isinstance(sealed, Err) or isinstance(reported, Err):
            return False
        for item in sealed.ok_value.items:
            self._note_sealed(item)
        for item in reported.ok_value.items:
            self._reported.add(int(item.key.removeprefix(REPORTED_PREFIX)))
        self._refused.clear()
        self._listed_at = float("-inf")
        self._term = right.term
        return True

    def _list_objects(self, now: float, everything: bool) -> list[Stored] | None:
        """Return all usage objects, or those of windows that are recent or not settled yet."""
        prefixes = [USAGE_PREFIX] if everything else self._recent_prefixes()
        found: list[Stored] = []
        for prefix in prefixes:
            answer = self._client.list(prefix)
            if isinstance(answer, Err):
                return None
            found += self._read_objects(answer.ok_value)
        self._book.see(now, found, everything)
        self._waiting = self._book.waiting_windows(found)
        return found

    def _recent_prefixes(self) -> list[str]:
        wall, window_s = self._clock.wall(), self._times.window_s
        recent = {self._times.window_at(wall - n * window_s) for n in range(RECENT_WINDOWS)}
        return [f"{USAGE_PREFIX}{window}/" for window in sorted(recent | self._waiting)]

    def _read_objects(self, listing: Listing) -> list[Stored]:
        found = []
        for item in listing.items:
            value = read_with_rows(UsageObject, item.value)
            if isinstance(value, Ok) and value.ok_value.key == item.key:
                found.append(Versioned(item.key, item.version, value.ok_value))
            else:
                log_event(log, "usage-unreadable", key=item.key)
        return found

    def _seal(self, guard: Guard, objects: list[Stored]) -> bool:
        now, wall = self._clock.monotonic(), self._clock.wall()
        if not self._look_up(self._book.windows_of(now, wall, objects)):
            return False
        closings = self._book.closings(now, wall, objects)
        for closing in closings:
            self._close(guard, closing)
        pending = {closing.value.closed_into for closing in closings}
        for window, items in sorted(self._book.ready(now, wall, objects).items()):
            if window not in pending:
                self._freeze(guard, window, items)
        return bool(closings)

    def _look_up(self, windows: set[int]) -> bool:
        """Read the sealed records of windows; return whether the platform answered."""
        for window in sorted(windows):
            answer = self._client.get(f"{SEALED_PREFIX}{window}")
            if isinstance(answer, Ok):
                self._note_sealed(answer.ok_value)
            elif answer.err_value.kind is not ErrorKind.ABSENT:
                return False
        return True

    def _close(self, guard: Guard, closing: Closing) -> None:
        value = attrs.asdict(closing.value)
        self._client.update(closing.value.key, value, closing.if_version, guard)

    def _freeze(self, guard: Guard, window: int, items: list[Stored]) -> None:
        record, parts = build_sealed(window, items)
        if not all(self._store_part(guard, part) for part in parts):
            return
        answer = self._client.create(f"{SEALED_PREFIX}{window}", attrs.asdict(record), guard)
        if isinstance(answer, Ok):
            self._book.note_sealed(record, self._clock.monotonic())
            log_event(log, "window-sealed", window=window, digest=record.digest, objects=len(items))

    def _store_part(self, guard: Guard, part: SealedPart) -> bool:
        answer = self._client.create(f"{PARTS_PREFIX}{part.digest}", {"rows": part.rows}, guard)
        return isinstance(answer, Ok) or answer.err_value.kind is ErrorKind.CONFLICT

    def _report(self, right: Right, guard: Guard) -> None:
        done = self._reported | self._refused
        for window in self._book.windows:
            if window in done or window < self._book.floor:
                continue
            record = self._book.sealed(window)
            if record is not None and self._send(right, guard, record):
                self._client.create(f"{REPORTED_PREFIX}{window}", {"digest": record.digest}, guard)
                self._reported.add(window)
                log_event(log, "window-reported", window=window, term=right.term)

    def _send(self, right: Right, guard: Guard, record: SealedRecord) -> bool:
        """Report each part of a sealed record; return whether all were taken."""
        for number, digest in enumerate(record.parts):
            part = self._client.get(f"{PARTS_PREFIX}{digest}")
            if isinstance(part, Err):
                return False
            report = UsageReport(
                window=f"{record.window}.{number}" if number else f"{record.window}",
                figures={"rows": part.ok_value.value["rows"], "parts": len(record.parts)},
                digest=digest,
                fencing=right.term,
                sender=self._incarnation,
            )
            answer = self._client.report(report, guard)
            if isinstance(answer, Err):
                self._on_refused(record.window, answer.err_value)
                return False
        return True

    def _on_refused(self, window: int, error: PlatformError) -> None:
        log_event(log, "report-failed", window=window, kind=error.kind.value, detail=error.detail)
        if error.kind is ErrorKind.CONFLICT:
            self._refused.add(window)

    def _note_sealed(self, item: Versioned[Any]) -> None:
        record = read_as(SealedRecord, item.value)
        if isinstance(record, Ok):
            self._book.note_sealed(record.ok_value, self._clock.monotonic())
        else:
            log_event(log, "sealed-unreadable", key=item.key, fault=record.err_value)

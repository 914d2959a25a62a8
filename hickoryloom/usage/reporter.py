"""Seals usage windows, reports them and removes old data while holding the lease `usage`."""

from __future__ import annotations

from typing import Any, Protocol

import attrs
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.leases import Guard, LeaseGrant, LeaseManager, ObjectStore
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import ErrorKind, Listing, PlatformError, UsageReport, Versioned
from hickoryloom.usage.cleaner import UsageCleaner
from hickoryloom.usage.codec import decode_as, decode_with_rows
from hickoryloom.usage.messages import SealedRecord, UsageObject, UsageTimes
from hickoryloom.usage.sealing import CloseUpdate, SealedPart, SealingState, build_sealed_record

__all__ = ["UsageClient", "UsageReporter"]

PASSES_PER_WINDOW = 4
RECENT_WINDOWS = 4
FULL_LISTING_WINDOWS = 10
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 15.0
SEALED_PREFIX = "sealed/"
PARTS_PREFIX = "sealed-parts/"
REPORTED_PREFIX = "reported/"
USAGE_PREFIX = "usage/"

StoredObject = Versioned[UsageObject]

log = logbook.Logger("hickoryloom.usage")


class UsageClient(ObjectStore, Protocol):
    """Platform client operations that a reporter needs."""

    def report(self, report: UsageReport, guard: Guard | None = None) -> Result[Any, PlatformError]:
        """Report sealed figures of a window."""


class UsageReporter:
    """Seals and reports windows while this process holds the lease.

    Args:
        client: Platform client.
        clock: Source of monotonic and wall-clock time.
        lease: Lease that is required for each write and report.
        incarnation: Incarnation of this process.
        window_s: Length of a window in seconds, as configured for the entry processes.
    """

    def __init__(
        self,
        client: UsageClient,
        clock: Clock,
        lease: LeaseManager,
        incarnation: str,
        window_s: float,
    ) -> None:
        self._client = client
        self._clock = clock
        self._lease = lease
        self._incarnation = incarnation
        self._times = UsageTimes.for_window(window_s)
        self._state = SealingState(self._times)
        self._cleaner = UsageCleaner(client, self._times, self._state)
        self._reported: set[int] = set()
        self._rejected: set[int] = set()
        self._unsealed_windows: set[int] = set()
        self._full_listing_at = float("-inf")
        self._term = 0
        self._loop = TaskLoop(self._run_pass_and_pause, "usage-reporter", log)

    @property
    def reported(self) -> frozenset[int]:
        """Windows that are known to be reported."""
        return frozenset(self._reported)

    def start(self) -> None:
        """Start to seal and report whenever the lease is held."""
        self._loop.start()

    def stop(self) -> None:
        """Stop after the pass in progress; the next holder continues from the sealed records."""
        self._loop.stop()

    def run_pass(self) -> bool:
        """Seal and report what is due; return whether another pass is needed immediately."""
        grant = self._lease.current_grant()
        if grant is None or not self._take_over(grant):
            return False
        guard = self._lease.guard(grant)
        now = self._clock.monotonic()
        full_listing = now - self._full_listing_at >= FULL_LISTING_WINDOWS * self._times.window_s
        objects = self._list_objects(now, full_listing)
        if objects is None:
            return False
        more = self._seal(guard, objects)
        self._report(grant, guard)
        if full_listing:
            self._full_listing_at = now
            self._reported = {window for window in self._reported if window >= self._state.floor}
            self._cleaner.plan(now, guard, objects, self._reported)
        self._cleaner.clean(guard)
        return more

    def _run_pass_and_pause(self) -> float:
        if self.run_pass():
            return MIN_PAUSE_S
        pause_s = self._times.window_s / PASSES_PER_WINDOW
        return min(max(pause_s, MIN_PAUSE_S), MAX_PAUSE_S)

    def _take_over(self, grant: LeaseGrant) -> bool:
        """Read what previous holders sealed and reported, once per term."""
        if self._term == grant.term:
            return True
        if not self._cleaner.read_floor():
            return False
        sealed = self._client.list(SEALED_PREFIX)
        reported = self._client.list(REPORTED_PREFIX)
        if isinstance(sealed, Err) or isinstance(reported, Err):
            return False
        for item in sealed.ok_value.items:
            self._add_record(item)
        for item in reported.ok_value.items:
            self._reported.add(int(item.key.removeprefix(REPORTED_PREFIX)))
        self._rejected.clear()
        self._full_listing_at = float("-inf")
        self._term = grant.term
        return True

    def _list_objects(self, now: float, full_listing: bool) -> list[StoredObject] | None:
        """Return all usage objects, or those of recent and unsealed windows; None on an error."""
        prefixes = [USAGE_PREFIX] if full_listing else self._recent_prefixes()
        found: list[StoredObject] = []
        for prefix in prefixes:
            result = self._client.list(prefix)
            if isinstance(result, Err):
                return None
            found += self._read_objects(result.ok_value)
        self._state.observe(now, found, full_listing)
        self._unsealed_windows = self._state.unsealed_windows(found)
        return found

    def _recent_prefixes(self) -> list[str]:
        wall, window_s = self._clock.wall(), self._times.window_s
        recent = {self._times.window_at(wall - n * window_s) for n in range(RECENT_WINDOWS)}
        return [f"{USAGE_PREFIX}{window}/" for window in sorted(recent | self._unsealed_windows)]

    def _read_objects(self, listing: Listing) -> list[StoredObject]:
        found = []
        for item in listing.items:
            value = decode_with_rows(UsageObject, item.value)
            if isinstance(value, Ok) and value.ok_value.key == item.key:
                found.append(Versioned(item.key, item.version, value.ok_value))
            else:
                log_event(log, "usage-unreadable", key=item.key)
        return found

    def _seal(self, guard: Guard, objects: list[StoredObject]) -> bool:
        now, wall = self._clock.monotonic(), self._clock.wall()
        if not self._read_records(self._state.windows_to_check(now, wall, objects)):
            return False
        closings = self._state.plan_closing(now, wall, objects)
        for closing in closings:
            self._close(guard, closing)
        pending = {closing.value.closed_into for closing in closings}
        for window, items in sorted(self._state.objects_to_seal(now, wall, objects).items()):
            if window not in pending:
                self._create_record(guard, window, items)
        return bool(closings)

    def _read_records(self, windows: set[int]) -> bool:
        """Read the sealed records of windows; return whether the platform responded."""
        for window in sorted(windows):
            result = self._client.get(f"{SEALED_PREFIX}{window}")
            if isinstance(result, Ok):
                self._add_record(result.ok_value)
            elif result.err_value.kind is not ErrorKind.ABSENT:
                return False
        return True

    def _close(self, guard: Guard, closing: CloseUpdate) -> None:
        value = attrs.asdict(closing.value)
        self._client.update(closing.value.key, value, closing.if_version, guard)

    def _create_record(self, guard: Guard, window: int, items: list[StoredObject]) -> None:
        record, parts = build_sealed_record(window, items)
        if not all(self._store_part(guard, part) for part in parts):
            return
        result = self._client.create(f"{SEALED_PREFIX}{window}", attrs.asdict(record), guard)
        if isinstance(result, Ok):
            self._state.add_record(record, self._clock.monotonic())
            log_event(log, "window-sealed", window=window, digest=record.digest, objects=len(items))

    def _store_part(self, guard: Guard, part: SealedPart) -> bool:
        result = self._client.create(f"{PARTS_PREFIX}{part.digest}", {"rows": part.rows}, guard)
        return isinstance(result, Ok) or result.err_value.kind is ErrorKind.CONFLICT

    def _report(self, grant: LeaseGrant, guard: Guard) -> None:
        done = self._reported | self._rejected
        for window in self._state.sealed_windows:
            if window in done or window < self._state.floor:
                continue
            record = self._state.get_record(window)
            if record is not None and self._send_report(grant, guard, record):
                self._client.create(f"{REPORTED_PREFIX}{window}", {"digest": record.digest}, guard)
                self._reported.add(window)
                log_event(log, "window-reported", window=window, term=grant.term)

    def _send_report(self, grant: LeaseGrant, guard: Guard, record: SealedRecord) -> bool:
        """Report each part of a sealed record; return whether all were accepted."""
        for number, digest in enumerate(record.parts):
            part = self._client.get(f"{PARTS_PREFIX}{digest}")
            if isinstance(part, Err):
                return False
            report = UsageReport(
                window=f"{record.window}.{number}" if number else f"{record.window}",
                figures={"rows": part.ok_value.value["rows"], "parts": len(record.parts)},
                digest=digest,
                fencing=grant.term,
                sender=self._incarnation,
            )
            result = self._client.report(report, guard)
            if isinstance(result, Err):
                self._on_report_error(record.window, result.err_value)
                return False
        return True

    def _on_report_error(self, window: int, error: PlatformError) -> None:
        log_event(log, "report-failed", window=window, kind=error.kind.value, detail=error.detail)
        if error.kind is ErrorKind.CONFLICT:
            self._rejected.add(window)

    def _add_record(self, item: Versioned[Any]) -> None:
        record = decode_as(SealedRecord, item.value)
        if isinstance(record, Ok):
            self._state.add_record(record.ok_value, self._clock.monotonic())
        else:
            log_event(log, "sealed-unreadable", key=item.key, fault=record.err_value)

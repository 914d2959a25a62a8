"""Seals the usage of each window in the store, then reports it. Runs only at the lease holder."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.duties import DutyClient, DutyOutcome, LeasedTask
from hickoryloom.leases import LeaseGrant
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.metering.custody import COUNTS_PREFIX
from hickoryloom.metering.messages import InstanceCounts, UsageCodec
from hickoryloom.metering.meter import RETAINED_WINDOWS, UsageMeter
from hickoryloom.metering.sealed import SEALED_PREFIX, SealedWindows
from hickoryloom.metering.task import read_all_counts
from hickoryloom.metering.totals import find_unconfirmed, sum_window
from hickoryloom.store import CallPriority, ErrorKind, PlatformClient

__all__ = ["UsageReporter"]

SETTLE_MARGIN_S = 1.0
"""Extra wait after the longest interval between an instance's writes, for slow responses and clock
skew."""

CHECK_INTERVAL_S = 0.5
"""Interval for checking whether a window is due."""

RETRY_INTERVAL_S = 1.0
"""Interval for reading the counts again while those of an instance are missing."""

REPORT_RESERVE_S = 2.0
"""Time reserved before a report is due, for one call that times out and its repetition."""

RETAINED_SEALED_WINDOWS = 2 * RETAINED_WINDOWS
"""Number of sealed windows retained in the store, so that a successor can repeat a report."""

log = logbook.Logger("hickoryloom.metering")


class UsageReporter:
    """Reports usage while its process holds the lease.

    A window is sealed by creating an object with its counts before they are sent. A successor that
    finds the object sends the same counts, so that no two reports of a window differ.

    A window is sealed once each live instance has written its counts after the end of the window,
    or when the report would otherwise be late. Counts that arrive later are logged and counted,
    but not reported.

    A store that returned from an older copy may have lost sealed windows that were reported. The
    process that sealed them creates them again. A window that nobody stored again is sealed only if
    it can't have been sealed before the return: it ended later, or this process held the lease at
    that time and had not come to it. Otherwise it stays unreported, since a second report could
    differ from the first.

    Args:
        client: Client of the store.
        clock: Source of time.
        meter: Maps times to windows.
        duty_client: Makes the calls under the lease.
        codec: Encodes reports.
        instance: Name of the lease holder in its calls.
        window_s: Length of a window in seconds.
        write_interval_s: Returns the seconds between an instance's writes of its counts.
        late_s: Seconds after the end of a window within which its report must arrive.
        era: Returns the latest known era of the store; None for a store without eras.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        meter: UsageMeter,
        duty_client: DutyClient,
        codec: UsageCodec,
        instance: str,
        window_s: float,
        write_interval_s: Callable[[], float],
        late_s: float,
        era: Callable[[], int] | None = None,
    ) -> None:
        self._era = era or (lambda: 0)
        self._held_era = 0
        self._first_unsealed: int | None = None
        self._sealed = SealedWindows(client)
        self._skipped_windows = 0
        self._late_s = late_s
        self._write_interval_s = write_interval_s
        self._client = client
        self._clock = clock
        self._meter = meter
        self._duty_client = duty_client
        self._codec = codec
        self._instance = instance
        self._window_s = window_s
        self._next_window = 0
        self._start_window = meter.window_at(clock.monotonic())
        self._sealed_requests: dict[int, dict[str, int]] = {}
        self._late_requests = 0
        self._task = LeasedTask(
            duty_client,
            self._find_next_window,
            self._report_if_due,
            CHECK_INTERVAL_S,
            "usage-report",
            log,
        )
        self._restore_task = TaskLoop(self._restore, "sealed-windows", log)

    @property
    def late_requests(self) -> int:
        """Number of requests whose counts arrived after their window was sealed."""
        return self._late_requests

    @property
    def skipped_windows(self) -> int:
        """Number of windows left unreported because the store lost whether they were reported."""
        return self._skipped_windows

    def start(self) -> None:
        """Start reporting windows that are due."""
        self._task.start()
        self._restore_task.start()

    def stop(self) -> None:
        """Stop reporting."""
        self._restore_task.stop()
        self._task.stop()

    def _restore(self) -> float:
        self._sealed.restore(self._era())
        return CHECK_INTERVAL_S

    def _report_if_due(self, grant: LeaseGrant) -> float:
        window = self._next_window
        seal_limit = self._end(window) + max(0.0, self._late_s - REPORT_RESERVE_S)
        due_at = self._end(window) + self._write_interval_s() + SETTLE_MARGIN_S
        now = self._meter.wall()
        if now < min(due_at, seal_limit):
            return CHECK_INTERVAL_S
        counts = self._seal(window, grant, final=now >= seal_limit)
        if counts is None and now >= seal_limit and not self._may_seal(window, grant):
            log_event(log, "usage-window-skipped", window=window, era=grant.era)
            self._skipped_windows += 1
            self._next_window += 1
            return 0.0
        if counts is None:
            return min(RETRY_INTERVAL_S, max(CHECK_INTERVAL_S, seal_limit - now))
        if not self._report(window, counts, grant):
            return CHECK_INTERVAL_S
        self._delete_expired(window - RETAINED_SEALED_WINDOWS)
        self._next_window += 1
        return 0.0

    def _end(self, window: int) -> float:
        """Return the Unix time at which a window ends."""
        return (window + 1) * self._window_s

    def _may_seal(self, window: int, grant: LeaseGrant) -> bool:
        """Return whether a window can't have been sealed before the current era of the store."""
        if not grant.era or self._end(window) >= grant.era_known_at:
            return True
        return self._first_unsealed is not None and window >= self._first_unsealed

    def _find_next_window(self, grant: LeaseGrant) -> bool:
        """Start with the last sealed window, whose report may not have been accepted.

        If none was sealed, start with the window in which this process began.
        """
        if grant.era > self._held_era:
            held = self._duty_client.held_into_era == grant.era
            self._first_unsealed = self._next_window if held and self._next_window else None
            self._held_era = grant.era
        listing = self._client.list(SEALED_PREFIX)
        if isinstance(listing, Err):
            return False
        sealed = [_window_from_key(item.key) for item in listing.ok_value.items]
        current = self._meter.window_at(self._clock.monotonic())
        oldest = current - RETAINED_WINDOWS + 1
        first = self._start_window if self._first_unsealed is None else self._first_unsealed
        last = max((window for window in sealed if window is not None), default=first)
        self._next_window = max(oldest, min(last, current))
        return True

    def _report(self, window: int, counts: dict[str, int], grant: LeaseGrant) -> bool:
        call = self._codec.report(window, counts, self._instance, grant.term)
        outcome = self._duty_client.call(call, grant, self._codec.read)
        log_event(
            log,
            "usage-reported",
            window=window,
            customers=len(counts),
            requests=sum(counts.values()),
            term=grant.term,
            outcome=outcome.value,
        )
        return outcome is DutyOutcome.DONE

    def _seal(self, window: int, grant: LeaseGrant, final: bool) -> dict[str, int] | None:
        """Return the sealed counts of a window, or None if it is not sealed yet.

        Args:
            window: Number of the window.
            grant: The current grant.
            final: Whether to seal it although counts of live instances may be missing.
        """
        key = f"{SEALED_PREFIX}{window}"
        stored = self._client.get(key, CallPriority.URGENT)
        if isinstance(stored, Ok):
            counts = _read_sealed_counts(stored.ok_value.value)
            if counts is not None:
                self._sealed.remember(window, counts, self._era())
            return counts
        if stored.err_value.kind is not ErrorKind.ABSENT:
            return None
        if self._sealed.holds(window):
            # The store has lost it; the next call reads it.
            self._sealed.restore(self._era(), window)
            return None
        if not self._may_seal(window, grant):
            return None
        found = read_all_counts(self._client)
        if isinstance(found, Err):
            return None
        all_counts = found.ok_value
        self._record_late(all_counts)
        unconfirmed = find_unconfirmed(all_counts, self._end(window))
        if unconfirmed and not final:
            log_event(log, "usage-incomplete", window=window, missing=",".join(unconfirmed))
            return None
        counts = sum_window(all_counts.values(), window)
        created = self._client.create(key, {"counts": counts})
        if created.is_err():
            # Another process may have created it; the next call reads it.
            return None
        self._sealed.remember(window, counts, self._era())
        self._sealed_requests[window] = _requests_by_key(all_counts, window)
        return counts

    def _record_late(self, all_counts: dict[str, InstanceCounts]) -> None:
        """Log counts that were added to a window after this process sealed it."""
        for window, sealed in self._sealed_requests.items():
            for key, requests in _requests_by_key(all_counts, window).items():
                late = requests - sealed.get(key, 0)
                if late <= 0:
                    continue
                sealed[key] = requests
                self._late_requests += late
                log_event(log, "usage-late", window=window, key=key, requests=late)
        oldest = self._next_window - RETAINED_WINDOWS
        for window in [window for window in self._sealed_requests if window < oldest]:
            del self._sealed_requests[window]

    def _delete_expired(self, window: int) -> None:
        """Delete an expired sealed window, and the counts of processes that ended long ago."""
        expired = self._client.get(f"{SEALED_PREFIX}{window}")
        if isinstance(expired, Ok):
            self._client.delete(expired.ok_value.key, expired.ok_value.version)
        listing = self._client.list(COUNTS_PREFIX)
        if isinstance(listing, Err):
            return
        oldest = self._meter.wall() - RETAINED_WINDOWS * self._window_s
        for item in listing.ok_value.items:
            written = item.value.get("written") if isinstance(item.value, dict) else None
            if isinstance(written, float | int) and written < oldest:
                self._client.delete(item.key, item.version, CallPriority.BACKGROUND)


def _requests_by_key(all_counts: dict[str, InstanceCounts], window: int) -> dict[str, int]:
    """Return the number of requests in one window by store key of the counts."""
    return {
        key: sum(counts.windows.get(str(window), {}).values()) for key, counts in all_counts.items()
    }


def _window_from_key(key: str) -> int | None:
    text = key.removeprefix(SEALED_PREFIX)
    return int(text) if text.isdecimal() else None


def _read_sealed_counts(value: Any) -> dict[str, int] | None:
    counts = value.get("counts") if isinstance(value, dict) else None
    if not isinstance(counts, dict):
        log_event(log, "sealed-unreadable", value=str(value)[:100])
        return None
    return {str(customer): int(number) for customer, number in counts.items()}

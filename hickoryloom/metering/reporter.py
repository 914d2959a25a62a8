"""Seals each window's usage in the store, then reports it; only the holder of the lease does."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.duties import DutyCaller, DutyOutcome, LeasedTask
from hickoryloom.leases import Right
from hickoryloom.logs import log_event
from hickoryloom.metering.messages import UsageCodec
from hickoryloom.metering.meter import KEPT_WINDOWS, UsageMeter
from hickoryloom.metering.task import COUNTS_PREFIX, read_all_counts
from hickoryloom.metering.totals import sum_window
from hickoryloom.store import CallPriority, ErrorKind, PlatformClient

__all__ = ["UsageReporter"]

SEALED_PREFIX = "sealed/"
SETTLE_MARGIN_S = 1.0
"""Time beyond the longest pause between an instance's writes: slow answers, clocks that differ."""

LOOK_EVERY_S = 0.5
"""Pause between looks for a window that is due."""

KEEP_SEALED = 2 * KEPT_WINDOWS
"""Sealed windows kept in the store, so that a successor can repeat a report."""

log = logbook.Logger("hickoryloom.metering")


class UsageReporter:
    """Reports usage while its process holds the lease.

    A window's figures are fixed by creating one object before they are sent. A successor that
    finds the object sends the same figures, so that no two reports of a window differ.

    Args:
        client: Client of the store.
        clock: Source of time.
        meter: Tells windows.
        caller: Makes the calls under the lease.
        codec: Spells reports.
        instance: Name of the holder in its calls.
        window_s: Seconds of one window.
        write_every_s: Returns the seconds between an instance's writes of its counts.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        meter: UsageMeter,
        caller: DutyCaller,
        codec: UsageCodec,
        instance: str,
        window_s: float,
        write_every_s: Callable[[], float],
    ) -> None:
        self._write_every_s = write_every_s
        self._client = client
        self._clock = clock
        self._meter = meter
        self._caller = caller
        self._codec = codec
        self._instance = instance
        self._window_s = window_s
        self._next = 0
        self._task = LeasedTask(
            caller, self._find_next, self._report_due, LOOK_EVERY_S, "usage-report", log
        )

    def start(self) -> None:
        """Begin to look for windows that are due."""
        self._task.start()

    def stop(self) -> None:
        """End."""
        self._task.stop()

    def _report_due(self, right: Right) -> float:
        due = (self._next + 1) * self._window_s + self._write_every_s() + SETTLE_MARGIN_S
        if self._meter.wall() < due:
            return LOOK_EVERY_S
        if self._report(self._next, right):
            self._clean(self._next - KEEP_SEALED)
            self._next += 1
            return 0.0
        return LOOK_EVERY_S

    def _find_next(self, _right: Right) -> bool:
        """Begin with the last sealed window, whose report may not have been taken."""
        listing = self._client.list(SEALED_PREFIX)
        if isinstance(listing, Err):
            return False
        sealed = [_window_of(item.key) for item in listing.ok_value.items]
        current = self._meter.window_at(self._clock.monotonic())
        oldest = current - KEPT_WINDOWS + 1
        last = max((window for window in sealed if window is not None), default=current)
        self._next = max(oldest, min(last, current))
        return True

    def _report(self, window: int, right: Right) -> bool:
        counts = self._seal(window)
        if counts is None:
            return False
        call = self._codec.report(window, counts, self._instance, right.term)
        outcome = self._caller.call(call, right, self._codec.read)
        log_event(
            log,
            "usage-reported",
            window=window,
            customers=len(counts),
            requests=sum(counts.values()),
            term=right.term,
            outcome=outcome.value,
        )
        return outcome is DutyOutcome.DONE

    def _seal(self, window: int) -> dict[str, int] | None:
        """Return the figures that stand for a window for good, None when they can't be fixed."""
        key = f"{SEALED_PREFIX}{window}"
        stored = self._client.get(key, CallPriority.URGENT)
        if isinstance(stored, Ok):
            return _read_figures(stored.ok_value.value)
        if stored.err_value.kind is not ErrorKind.ABSENT:
            return None
        found = read_all_counts(self._client)
        if isinstance(found, Err):
            return None
        counts = sum_window(found.ok_value.values(), window)
        created = self._client.create(key, {"counts": counts})
        # Whoever created it, and whatever became of an unanswered create, the next read tells.
        return counts if created.is_ok() else None

    def _clean(self, before: int) -> None:
        """Delete a sealed window that is no longer needed, and counts of processes long gone."""
        old = self._client.get(f"{SEALED_PREFIX}{before}")
        if isinstance(old, Ok):
            self._client.delete(old.ok_value.key, old.ok_value.version)
        listing = self._client.list(COUNTS_PREFIX)
        if isinstance(listing, Err):
            return
        oldest = self._meter.wall() - KEPT_WINDOWS * self._window_s
        for item in listing.ok_value.items:
            written = item.value.get("written") if isinstance(item.value, dict) else None
            if isinstance(written, float | int) and written < oldest:
                self._client.delete(item.key, item.version, CallPriority.BACKGROUND)


def _window_of(key: str) -> int | None:
    text = key.removeprefix(SEALED_PREFIX)
    return int(text) if text.isdecimal() else None


def _read_figures(value: Any) -> dict[str, int] | None:
    counts = value.get("counts") if isinstance(value, dict) else None
    if not isinstance(counts, dict):
        log_event(log, "sealed-unreadable", value=str(value)[:100])
        return None
    return {str(customer): int(number) for customer, number in counts.items()}

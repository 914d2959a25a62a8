"""State of the platform stand-in."""

from __future__ import annotations

import time
from collections import Counter
from typing import Any

import attrs
import gevent
from gevent.event import Event

from hickoryloom.standins.capacity import Capacity, UsageLedger, WeightStore
from hickoryloom.standins.objects import ObjectStore

__all__ = ["OUTAGE_CUT", "OUTAGE_ERROR", "OUTAGE_HANG", "PlatformState", "PlatformSwitches"]

OUTAGE_ERROR = "error"
OUTAGE_CUT = "cut"
OUTAGE_HANG = "hang"
KEPT_SECONDS = 900


@attrs.frozen
class PlatformSwitches:
    """Faults of the platform.

    Attributes:
        outage: Empty for none; `error` answers 503, `cut` closes connections, `hang` is silent.
        slow_s: Seconds before each answer.
        lose_answers: Further writes that take effect and get no answer.
        lose_prefix: Only writes whose path begins so lose their answer.
        stale_reads: Seconds by which reads of objects lag.
        live_lag_s: Seconds by which the live list lags.
        start_s: Seconds from an order until the backend server is listed.
        no_cheap: Whether no reclaimable backend server can be had.
        no_capacity: Failure domains in which none can be had.
        fencing: Whether orders and reports with an old fencing number are refused.
        weights_per_minute: Loads granted by the weight store.
    """

    outage: str = ""
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = "/"
    stale_reads: float = 0.0
    live_lag_s: float = 0.0
    start_s: float = 0.0
    no_cheap: bool = False
    no_capacity: tuple[str, ...] = ()
    fencing: bool = True
    weights_per_minute: float = 600.0


class PlatformState:
    """All that the platform knows, in one process's memory."""

    def __init__(self) -> None:
        self.switches = PlatformSwitches()
        self.store = ObjectStore(time.monotonic)
        self.capacity = Capacity(time.monotonic)
        self.usage = UsageLedger()
        self.weights = WeightStore(time.monotonic)
        self.journal: list[dict[str, Any]] = []
        self.calls: Counter[str] = Counter()
        self.calls_by_second: Counter[int] = Counter()
        self.bytes = 0
        self._changed = Event()

    def record(self, kind: str, body: dict[str, Any], result: str) -> None:
        """Enter one order, release or report in the journal."""
        self.journal.append({"kind": kind, "time": time.monotonic(), "result": result, **body})

    def count_call(self, kind: str) -> None:
        """Count one call, whether it is answered or not."""
        second = int(time.monotonic())
        self.calls[kind] += 1
        self.calls_by_second[second] += 1
        self.calls_by_second.pop(second - KEPT_SECONDS, None)

    def count_bytes(self, length: int) -> None:
        """Count bytes of calls and answers."""
        self.bytes += length

    def signal_change(self) -> None:
        """Wake all waiting watches."""
        changed, self._changed = self._changed, Event()
        changed.set()

    def wait_change(self, timeout_s: float) -> None:
        """Wait for the next change of any object."""
        self._changed.wait(timeout_s)

    def reclaim(self, failure_domain: str, notice_s: float) -> int:
        """Begin to reclaim all cheap backend servers of a failure domain; return how many."""
        rows = [
            row
            for row in self.capacity.rows()
            if row.cheap and row.failure_domain == failure_domain
        ]
        for row in rows:
            self.capacity.set_state(row.id, "leaving")
            gevent.spawn_later(notice_s, self.capacity.remove, row.id)
        return len(rows)

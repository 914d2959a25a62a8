"""State and fault switches of the platform stand-in."""

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
CALL_HISTORY_S = 900


@attrs.frozen
class PlatformSwitches:
    """Injected faults of the platform.

    Attributes:
        outage: Kind of outage: `error` responds with status 503, `cut` closes connections at once,
            `hang` keeps them open for a minute and closes them without a response; empty for none.
        slow_s: Seconds by which each response is delayed.
        lose_answers: Number of further writes that take effect but get no response.
        lose_prefix: Path prefix of the writes that `lose_answers` applies to.
        stale_reads: Seconds by which reads of objects lag behind the writes.
        live_lag_s: Seconds by which the live list lags behind.
        start_s: Seconds from an order until the backend server changes from `starting` to `live`.
        no_cheap: Whether orders for cheap (reclaimable) backend servers fail for lack of capacity.
        no_capacity: Failure domains in which all orders fail for lack of capacity.
        fencing: Whether orders, releases and usage reports with a stale fencing token are rejected.
        weights_per_minute: Number of weight loads granted per minute.
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
    """State of the platform stand-in, held in memory."""

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
        """Append an order, release or usage report to the journal."""
        self.journal.append({"kind": kind, "time": time.monotonic(), "result": result, **body})

    def count_call(self, kind: str) -> None:
        """Count one call, whether or not it gets a response."""
        second = int(time.monotonic())
        self.calls[kind] += 1
        self.calls_by_second[second] += 1
        self.calls_by_second.pop(second - CALL_HISTORY_S, None)

    def count_bytes(self, length: int) -> None:
        """Add to the number of bytes of requests and responses."""
        self.bytes += length

    def notify_watches(self) -> None:
        """Wake all pending watch requests."""
        changed, self._changed = self._changed, Event()
        changed.set()

    def wait_for_change(self, timeout_s: float) -> None:
        """Wait for the next change of any object, at most `timeout_s` seconds."""
        self._changed.wait(timeout_s)

    def reclaim(self, failure_domain: str, notice_s: float) -> int:
        """Reclaim all cheap backend servers of a failure domain after a notice period.

        The servers are listed as `leaving` at once and removed after `notice_s` seconds.

        Returns:
            Number of servers that will be removed.
        """
        rows = [
            row
            for row in self.capacity.rows()
            if row.cheap and row.failure_domain == failure_domain
        ]
        for row in rows:
            self.capacity.set_state(row.id, "leaving")
            gevent.spawn_later(notice_s, self.capacity.remove, row.id)
        return len(rows)

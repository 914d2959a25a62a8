"""Writes this process's counts to the store, so that they outlive it."""

from __future__ import annotations

from collections.abc import Callable

import cattrs
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.metering.messages import InstanceCounts, read_counts
from hickoryloom.metering.meter import UsageMeter
from hickoryloom.metering.totals import live_instances
from hickoryloom.store import ErrorKind, PlatformClient, PlatformError
from hickoryloom.verdict import Applied

__all__ = ["COUNTS_PREFIX", "MeterTask", "read_all_counts"]

COUNTS_PREFIX = "counts/"
WRITE_EVERY_S = 1.4
"""What a crash may lose: a quarter of a window's counts of one instance."""

WRITE_EVERY_PER_INSTANCE_S = 0.05
"""With many instances one loses a smaller part of all counts, and may write less often."""

WRITE_AT_MOST_EVERY_S = 3.5
"""Reports wait for each instance's last write and still come in time."""

COUNT_INSTANCES_EVERY_S = 8.0
"""Instances come and go within tens of seconds."""

COUNT_INSTANCES_PER_INSTANCE_S = 0.25
"""With many instances their number changes less in proportion."""

log = logbook.Logger("hickoryloom.metering")


def read_all_counts(client: PlatformClient) -> Result[dict[str, InstanceCounts], PlatformError]:
    """Return the counts of all processes by their key, without unreadable ones."""
    answer = client.list(COUNTS_PREFIX)
    if isinstance(answer, Err):
        return answer
    found = {}
    for item in answer.ok_value.items:
        counts = read_counts(item.value)
        if counts is None:
            log_event(log, "counts-unreadable", key=item.key)
            continue
        found[item.key] = counts
    return Ok(found)


class MeterTask:
    """Keeps one object with this process's counts.

    Args:
        client: Client of the store.
        clock: Source of time.
        meter: The counts.
        incarnation: This process.
        on_instances: Called with the number of live instances now and then.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        meter: UsageMeter,
        incarnation: str,
        on_instances: Callable[[int], None],
    ) -> None:
        self._client = client
        self._clock = clock
        self._meter = meter
        self._key = f"{COUNTS_PREFIX}{incarnation}"
        self._on_instances = on_instances
        self._version = 0
        self._version_known = True
        self._counted_at: float | None = None
        self._instances = 1
        self._rank = 0
        self._loop = TaskLoop(self._step, "meter", log)

    @property
    def rank(self) -> int:
        """Position of this process among the live ones, 0 until they are counted."""
        return self._rank

    @property
    def write_every_s(self) -> float:
        """Seconds between writes, the same at every instance that has counted the others."""
        pause_s = WRITE_EVERY_PER_INSTANCE_S * self._instances
        return min(max(WRITE_EVERY_S, pause_s), WRITE_AT_MOST_EVERY_S)

    def start(self) -> None:
        """Begin to write."""
        self._loop.start()

    def stop(self) -> None:
        """Write a last time and end."""
        self._loop.stop()
        self._write()

    def _step(self) -> float:
        self._write()
        now = self._clock.monotonic()
        pause_s = COUNT_INSTANCES_EVERY_S + COUNT_INSTANCES_PER_INSTANCE_S * self._instances
        if self._counted_at is None or now - self._counted_at >= pause_s:
            self._count_instances(now)
        return self.write_every_s

    def _write(self) -> None:
        if not self._version_known and not self._learn_version():
            return
        value = cattrs.unstructure(self._meter.counts())
        answer = self._client.update(self._key, value, self._version)
        if isinstance(answer, Ok):
            self._version = answer.ok_value.version
            return
        error = answer.err_value
        log_event(log, "counts-not-written", key=self._key, detail=error.detail)
        if error.kind is ErrorKind.CONFLICT or error.applied is not Applied.NOT_APPLIED:
            self._version_known = False

    def _learn_version(self) -> bool:
        answer = self._client.get(self._key)
        if isinstance(answer, Ok):
            self._version = answer.ok_value.version
        elif answer.err_value.kind is ErrorKind.ABSENT:
            self._version = 0
        else:
            return False
        self._version_known = True
        return True

    def _count_instances(self, now: float) -> None:
        found = read_all_counts(self._client)
        if isinstance(found, Err):
            return
        self._counted_at = now
        all_counts = found.ok_value
        live = live_instances(all_counts.values(), self._meter.wall())
        living = sorted(
            key for key, counts in all_counts.items() if counts in live and key != self._key
        )
        self._rank = sum(1 for key in living if key < self._key)
        self._instances = max(1, len(live))
        self._on_instances(self._instances)

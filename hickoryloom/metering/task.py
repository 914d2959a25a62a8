"""Writes this process's usage counts to the store, so that they survive the process."""

from __future__ import annotations

from collections.abc import Callable, Mapping

import attrs
import cattrs
import gevent
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.metering.custody import COUNTS_PREFIX, CountsCustody
from hickoryloom.metering.messages import InstanceCounts, read_counts
from hickoryloom.metering.meter import UsageMeter
from hickoryloom.metering.totals import filter_live
from hickoryloom.store import ErrorKind, PlatformClient, PlatformError
from hickoryloom.verdict import Applied

__all__ = ["MeterTask", "read_all_counts"]

WRITE_INTERVAL_S = 1.4
"""A crash may lose the counts of this interval, about a quarter of a window of one instance."""

WRITE_INTERVAL_PER_INSTANCE_S = 0.05
"""With many instances, each holds a smaller share of all counts and may write less often."""

MAX_WRITE_INTERVAL_S = 3.5
"""Reports wait for the last write of each instance and must still be on time."""

RETRY_INTERVAL_S = 0.4
"""Interval for repeating a failed write, as a report may be waiting for it."""

WRITE_PATIENCE_S = 0.3
"""Time after which a final write without a response no longer delays the hand-over to other
instances: longer than the response time of a slow store. Both may take effect."""

INSTANCE_COUNT_INTERVAL_S = 8.0
"""Interval for counting live instances, which start and stop within tens of seconds."""

SECOND_COUNT_DELAY_S = 4.0
"""Delay of the second count after the first: at a start of the whole fleet, some instances have not
written their counts when others read them."""

COUNT_SLACK_S = 1.5
"""Time for the write and the read that renew the count."""

INSTANCE_COUNT_INTERVAL_PER_INSTANCE_S = 0.25
"""With many instances, their number changes less in proportion and is counted less often."""

log = logbook.Logger("hickoryloom.metering")


def read_all_counts(client: PlatformClient) -> Result[dict[str, InstanceCounts], PlatformError]:
    """Return the counts of all processes by store key, skipping invalid ones."""
    result = client.list(COUNTS_PREFIX)
    if isinstance(result, Err):
        return result
    found = {}
    for item in result.ok_value.items:
        counts = read_counts(item.value)
        if counts is None:
            log_event(log, "counts-unreadable", key=item.key)
            continue
        found[item.key] = counts
    return Ok(found)


class MeterTask:
    """Maintains the stored object with this process's counts, and counts live instances.

    Args:
        client: Client of the store.
        clock: Source of time.
        meter: The counts.
        incarnation: Unique id of this process.
        address: `host:port` at which this process serves other instances; empty for none.
        failure_domain: Failure domain of this instance.
        token: Secret of this process for requests that are handed over to it.
        on_instances: Called with the counts of live instances by incarnation whenever they have
            been read.
        custody: Holds final counts while the store is unavailable; None to hold none.
        on_written: Called with the monotonic time of the call, in seconds, whenever the counts of
            this process have been written.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        meter: UsageMeter,
        incarnation: str,
        address: str,
        failure_domain: str,
        token: str,
        on_instances: Callable[[Mapping[str, InstanceCounts]], None],
        custody: CountsCustody | None = None,
        on_written: Callable[[float], None] = lambda sent_at: None,
    ) -> None:
        self._custody = custody
        self._address = address
        self._token = token
        self._failure_domain = failure_domain
        self._client = client
        self._clock = clock
        self._meter = meter
        self._incarnation = incarnation
        self._key = f"{COUNTS_PREFIX}{incarnation}"
        self._on_instances = on_instances
        self._on_written = on_written
        self._version = 0
        self._version_known = True
        self._counted_at: float | None = None
        self._counts_read = 0
        self._instances = 1
        self._rank = 0
        self._loop = TaskLoop(self._step, "meter", log)

    @property
    def rank(self) -> int:
        """Rank of this process among the live ones by key; 0 until they are counted."""
        return self._rank

    @property
    def write_interval_s(self) -> float:
        """Seconds between writes, identical at all instances that have counted the others."""
        interval_s = WRITE_INTERVAL_PER_INSTANCE_S * self._instances
        return min(max(WRITE_INTERVAL_S, interval_s), MAX_WRITE_INTERVAL_S)

    @property
    def counted_at(self) -> float | None:
        """Monotonic time before the last read of the live instances; None if there was none."""
        return self._counted_at

    @property
    def count_valid_s(self) -> float:
        """Seconds after a read of the live instances within which the next one usually ends."""
        return (
            INSTANCE_COUNT_INTERVAL_S
            + INSTANCE_COUNT_INTERVAL_PER_INSTANCE_S * self._instances
            + MAX_WRITE_INTERVAL_S
            + COUNT_SLACK_S
        )

    def start(self) -> None:
        """Start writing counts periodically."""
        self._loop.start()

    def stop(self, until: float) -> None:
        """Stop after a final write.

        The counts are lost with the process, so if the write fails, they are handed to other
        instances. If these don't take them, the write is repeated.

        Args:
            until: Monotonic time after which it is neither repeated nor waited for.
        """
        writing = gevent.spawn(self._finish)
        writing.join(WRITE_PATIENCE_S)
        while not writing.value and not self._hand_over():
            left_s = until - self._clock.monotonic()
            if writing.value:
                return
            if left_s <= 0 or (writing.ready() and left_s < RETRY_INTERVAL_S):
                log_event(log, "final-counts-lost", key=self._key)
                return
            if writing.ready():
                gevent.sleep(RETRY_INTERVAL_S)
                writing = gevent.spawn(self._finish)
                left_s = RETRY_INTERVAL_S
            writing.join(min(RETRY_INTERVAL_S, left_s))

    def _finish(self) -> bool:
        """Write the final counts after the step in progress; return whether they are safe."""
        self._loop.stop()
        return self._write(final=True) and (self._custody is None or self._custody.finish())

    def _hand_over(self) -> bool:
        """Hand the final counts to other instances; return whether they are safe."""
        if self._custody is None:
            return False
        return self._custody.hand_over({self._key: self._own_counts(final=True)})

    def _step(self) -> float:
        if not self._write():
            return min(RETRY_INTERVAL_S, self.write_interval_s)
        if self._custody is not None:
            self._custody.store()
        now = self._clock.monotonic()
        if self._counted_at is None or now - self._counted_at >= self._count_interval_s:
            self._count_instances(now)
        return self.write_interval_s

    @property
    def _count_interval_s(self) -> float:
        if self._counts_read < 2:
            return SECOND_COUNT_DELAY_S
        return INSTANCE_COUNT_INTERVAL_S + INSTANCE_COUNT_INTERVAL_PER_INSTANCE_S * self._instances

    def _write(self, final: bool = False) -> bool:
        """Write the counts; return whether the write is known to have been applied."""
        if not self._version_known and not self._read_version():
            return False
        value = cattrs.unstructure(self._own_counts(final))
        sent_at = self._clock.monotonic()
        result = self._client.update(self._key, value, self._version)
        if isinstance(result, Ok):
            self._version = result.ok_value.version
            if not final:
                self._on_written(sent_at)
            return True
        error = result.err_value
        log_event(log, "counts-not-written", key=self._key, detail=error.detail)
        if error.kind is ErrorKind.CONFLICT or error.applied is not Applied.NOT_APPLIED:
            self._version_known = False
        return False

    def _own_counts(self, final: bool) -> InstanceCounts:
        return attrs.evolve(
            self._meter.counts(),
            final=final,
            address=self._address,
            failure_domain=self._failure_domain,
            token=self._token,
            journals=True,
        )

    def _read_version(self) -> bool:
        result = self._client.get(self._key)
        if isinstance(result, Ok):
            self._version = result.ok_value.version
        elif result.err_value.kind is ErrorKind.ABSENT:
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
        self._counts_read += 1
        all_counts = found.ok_value
        live_counts = filter_live(all_counts.values(), self._meter.wall())
        live = {
            key.removeprefix(COUNTS_PREFIX): counts
            for key, counts in all_counts.items()
            if counts in live_counts
        }
        others = sorted(key for key in live if key != self._incarnation)
        self._rank = sum(1 for key in others if key < self._incarnation)
        self._instances = max(1, len(live))
        self._on_instances(live)

"""The newest load report of each model engine, over the instances of a failure domain.

This answers the load of a large fleet, in which one instance hears from a given engine every ten to
twenty seconds, and all of them together several times a second. Instances pass on what they hear,
with its age, so that their clocks need not agree. Applies to services whose prompts are spread, see
`hickoryloom/placing/homes.py`. This module performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import attrs
from result import Err, Ok, Result

from hickoryloom.placing.messages import ReportedLoad
from hickoryloom.placing.speed import MAX_PERCENT, MIN_PERCENT, parse_slowdown
from hickoryloom.placing.stated_number import is_finite_number

__all__ = ["SharedReport", "SharedReports", "read_reports"]

MAX_AGE_S = 3.0
"""Age up to which a report is passed on: streams last some 1 to 3 s."""

MAX_REPORTS = 64
"""Reports in one message, the newest ones: with 16 KB in a poll, they take at most 6 KB of it."""

MAX_ID_CHARS = 64

MAX_REQUESTS = 100_000
"""Largest number of running or waiting requests that is taken for true."""

MIN_NEWER_S = 0.02
"""Time by which a report of another instance must be newer than the known one. Ages are measured
without the time on the way, so that a report that returns seems newer by some milliseconds."""

MAX_PEERS = 64
"""Instances for which it is remembered what they have been sent; a reader has 20 followers."""


@attrs.frozen
class SharedReport:
    """A load report as one instance passes it on to another.

    Attributes:
        id: Id of the engine.
        running: Number of running requests.
        waiting: Number of queued requests.
        slowdown_percent: How long work takes, in per cent of the usual time; None if not reported.
        age_s: Seconds since the engine sent it.
    """

    id: str
    running: int
    waiting: int
    slowdown_percent: float | None
    age_s: float

    def encode(self) -> list[Any]:
        """Return the JSON value."""
        age_ms = round(self.age_s * 1_000)
        return [self.id, self.running, self.waiting, self.slowdown_percent, age_ms]


def read_reports(value: Any) -> Result[tuple[SharedReport, ...], str]:
    """Decode the JSON value of a list of reports; return an error message if any is malformed."""
    if not isinstance(value, list) or len(value) > MAX_REPORTS:
        return Err("no list of load reports")
    reports = []
    for item in value:
        if not isinstance(item, list) or len(item) < 5:
            return Err("no load report")
        id, running, waiting, percent, age_ms = item[:5]
        if not isinstance(id, str) or len(id) > MAX_ID_CHARS:
            return Err("unsound server id")
        if not _is_number(running, 0, MAX_REQUESTS) or not _is_number(waiting, 0, MAX_REQUESTS):
            return Err("unsound number of requests")
        if percent is not None and not _is_number(percent, MIN_PERCENT, MAX_PERCENT):
            return Err("unsound slow-down")
        if not is_finite_number(age_ms) or age_ms < 0:
            return Err("unsound age")
        reports.append(SharedReport(id, int(running), int(waiting), percent, age_ms / 1_000))
    return Ok(tuple(reports))


@attrs.frozen
class _Entry:
    sequence: int
    source: str
    running: int
    waiting: int
    slowdown_percent: float | None
    at: float


@attrs.define
class _Position:
    """Sequence numbers up to which a peer has been sent reports, and has confirmed them."""

    sent: int = 0
    confirmed: int = 0


@attrs.define
class SharedReports:
    """Newest reports by engine, and what each peer lacks of them.

    Attributes:
        received: Number of reports received from other instances.
        used: Number of these that were newer than what was known.
    """

    received: int = 0
    used: int = 0
    _sequence: int = 0
    _entries: OrderedDict[str, _Entry] = attrs.field(factory=OrderedDict)
    _positions: OrderedDict[str, _Position] = attrs.field(factory=OrderedDict)

    def record_own(self, id: str, load: ReportedLoad, now: float) -> None:
        """Record a report that this instance has received from an engine."""
        slowdown, sound = parse_slowdown(load.slowdown_percent or "")
        percent = round(slowdown * 100.0) if sound else None
        # An engine may state anything; other instances refuse a message with unsound numbers.
        running, waiting = (
            min(max(0, number), MAX_REQUESTS) for number in (load.running, load.waiting)
        )
        if len(id) <= MAX_ID_CHARS:
            self._put(id, "", running, waiting, percent, now)

    def record(
        self,
        source: str,
        reports: Iterable[SharedReport],
        is_shared: Callable[[str], bool],
        now: float,
    ) -> Sequence[SharedReport]:
        """Record the reports of another instance.

        Args:
            source: Key of the other instance.
            reports: The reports.
            is_shared: Returns whether reports of an engine are used by this instance.
            now: Monotonic time in seconds at which their ages are counted.

        Returns:
            Those that are newer than what was known.
        """
        newer = []
        for report in reports:
            self.received += 1
            at = now - report.age_s
            known = self._entries.get(report.id)
            is_newer = known is None or at > known.at + MIN_NEWER_S
            if not is_newer or report.age_s > MAX_AGE_S or not is_shared(report.id):
                continue
            self._put(
                report.id, source, report.running, report.waiting, report.slowdown_percent, at
            )
            newer.append(report)
        self.used += len(newer)
        return newer

    def pending(self, peer: str, now: float) -> list[SharedReport]:
        """Return the reports that a peer lacks, the latest received first.

        They are returned again until `confirm` is called, or another instance's are newer.
        """
        position = self._positions.setdefault(peer, _Position())
        self._positions.move_to_end(peer)
        while len(self._positions) > MAX_PEERS:
            self._positions.popitem(last=False)
        position.sent = self._sequence
        reports: list[SharedReport] = []
        for id, entry in reversed(self._entries.items()):
            if entry.sequence <= position.confirmed or len(reports) == MAX_REPORTS:
                break
            age_s = max(0.0, now - entry.at)
            if entry.source != peer and age_s <= MAX_AGE_S:
                reports.append(
                    SharedReport(id, entry.running, entry.waiting, entry.slowdown_percent, age_s)
                )
        return reports

    def confirm(self, peer: str) -> None:
        """Note that a peer has what `pending` has returned last."""
        position = self._positions.get(peer)
        if position is not None:
            position.confirmed = position.sent

    def forget(self, ids: Iterable[str]) -> None:
        """Forget engines that are gone or have restarted."""
        for id in ids:
            self._entries.pop(id, None)

    def _put(
        self, id: str, source: str, running: int, waiting: int, percent: float | None, at: float
    ) -> None:
        self._sequence += 1
        self._entries[id] = _Entry(self._sequence, source, running, waiting, percent, at)
        self._entries.move_to_end(id)


def _is_number(value: Any, minimum: float, maximum: float) -> bool:
    return is_finite_number(value) and minimum <= value <= maximum

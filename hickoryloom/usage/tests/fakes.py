"""A platform for usage tests, and a lease that is always held."""

from __future__ import annotations

import copy

import attrs
from result import Err, Ok

from hickoryloom.leases import Right
from hickoryloom.leases.tests.fakes import ABSENT, DOWN, LOST, REJECTED, MemoryStore
from hickoryloom.store import Listing, Versioned


@attrs.define
class UsageStore(MemoryStore):
    """Also takes reports: one set of figures for each window.

    Attributes:
        reports: The report taken for each window.
        sent: All reports, repeated ones included.
        stale_reads: How many of the next reads show the state before the last few writes.
        lose_reports: How many of the next reports are taken without an answer.
        interrupts: Called one before each of the next writes, as other processes would act.
    """

    reports: dict = attrs.field(factory=dict)
    sent: list = attrs.field(factory=list)
    stale_reads: int = 0
    lose_reports: int = 0
    interrupts: list = attrs.field(factory=list)
    _earlier: list = attrs.field(factory=list)

    def get(self, key):
        if self.down:
            return Err(DOWN)
        objects = self._seen()
        if key not in objects:
            return Err(ABSENT)
        version, value = objects[key]
        return Ok(Versioned(key, version, copy.deepcopy(value)))

    def list(self, prefix):
        if self.down:
            return Err(DOWN)
        found = sorted(item for item in self._seen().items() if item[0].startswith(prefix))
        items = tuple(Versioned(key, v, copy.deepcopy(value)) for key, (v, value) in found)
        return Ok(Listing(self.writes, items))

    def report(self, report, guard=None):
        if self.down:
            return Err(DOWN)
        if guard is not None and not guard():
            return Err(REJECTED)
        self.sent.append(report)
        taken = self.reports.setdefault(report.window, report)
        assert taken.digest == report.digest, f"two figures for window {report.window}"
        if self.lose_reports:
            self.lose_reports -= 1
            return Err(LOST)
        return Ok(None)

    def total_requests(self):
        return sum(row[3] for report in self.reports.values() for row in report.figures["rows"])

    def _seen(self):
        if self.stale_reads and self._earlier:
            self.stale_reads -= 1
            return self._earlier[0]
        return self.objects

    def _write(self, key, value, if_version, guard):
        if self.interrupts:
            self.interrupts.pop()()
        self._earlier = [*self._earlier[-3:], dict(self.objects)]
        return MemoryStore._write(self, key, value, if_version, guard)


class FixedLease:
    """A lease that its holder never loses, even when another has it too."""

    def __init__(self, term=1):
        self.held = Right(term, float("inf"))

    def right(self):
        return self.held

    def guard(self, right):
        return lambda: self.held == right

"""An in-memory platform for usage tests, and a lease that is always held."""

from __future__ import annotations

import copy

import attrs
from result import Err, Ok

from hickoryloom.leases import LeaseGrant
from hickoryloom.leases.tests.fakes import ABSENT, DOWN, LOST, REJECTED, MemoryStore
from hickoryloom.store import Listing, Versioned


@attrs.define
class UsageStore(MemoryStore):
    """A `MemoryStore` that also accepts reports, one set of figures per window.

    Attributes:
        reports: The report accepted for each window.
        sent: All reports received, including repeated ones.
        stale_reads: Number of upcoming reads that return the state before the last few writes.
        lose_reports: Number of upcoming reports that are accepted but whose response is lost.
        interrupts: Callbacks for concurrent actions; one is called before each upcoming write.
    """

    reports: dict = attrs.field(factory=dict)
    sent: list = attrs.field(factory=list)
    stale_reads: int = 0
    lose_reports: int = 0
    interrupts: list = attrs.field(factory=list)
    _previous_states: list = attrs.field(factory=list)

    def get(self, key):
        if self.down:
            return Err(DOWN)
        objects = self._visible_objects()
        if key not in objects:
            return Err(ABSENT)
        version, value = objects[key]
        return Ok(Versioned(key, version, copy.deepcopy(value)))

    def list(self, prefix):
        if self.down:
            return Err(DOWN)
        matches = sorted(
            item for item in self._visible_objects().items() if item[0].startswith(prefix)
        )
        items = tuple(Versioned(key, v, copy.deepcopy(value)) for key, (v, value) in matches)
        return Ok(Listing(self.writes, items))

    def report(self, report, guard=None):
        if self.down:
            return Err(DOWN)
        if guard is not None and not guard():
            return Err(REJECTED)
        self.sent.append(report)
        accepted = self.reports.setdefault(report.window, report)
        assert accepted.digest == report.digest, f"two different figures for window {report.window}"
        if self.lose_reports:
            self.lose_reports -= 1
            return Err(LOST)
        return Ok(None)

    def total_requests(self):
        return sum(row[3] for report in self.reports.values() for row in report.figures["rows"])

    def _visible_objects(self):
        if self.stale_reads and self._previous_states:
            self.stale_reads -= 1
            return self._previous_states[0]
        return self.objects

    def _write(self, key, value, if_version, guard):
        if self.interrupts:
            self.interrupts.pop()()
        self._previous_states = [*self._previous_states[-3:], dict(self.objects)]
        return MemoryStore._write(self, key, value, if_version, guard)


class FixedLease:
    """A lease that its holder never loses, even if another process holds it too."""

    def __init__(self, term=1):
        self.held = LeaseGrant(term, float("inf"))

    def current_grant(self):
        return self.held

    def guard(self, grant):
        return lambda: self.held == grant

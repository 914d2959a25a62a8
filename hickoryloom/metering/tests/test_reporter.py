"""Checks with an in-memory store that all reports of a window carry the same counts."""

import cattrs
import pytest
from result import Ok

from hickoryloom.clock import ManualClock
from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.leases import LeaseGrant
from hickoryloom.leases.tests.fakes import MemoryStore
from hickoryloom.metering import InstanceCounts, UsageMeter, UsageReporter
from hickoryloom.metering.reporter import SETTLE_MARGIN_S

WINDOW_S = 5.0
WRITE_INTERVAL_S = 1.4


class Store(MemoryStore):
    """In-memory store whose methods accept the priority argument of the store's client."""

    def get(self, key, priority=None):
        return super().get(key)

    def delete(self, key, if_version, priority=None):
        self.objects.pop(key, None)
        return Ok(None)


class Codec:
    def report(self, window, counts, holder, term):
        return DutyCall("/usage", (window, dict(counts)), {"holder": holder, "term": str(term)})

    def read(self, response):
        return response


class FakeDutyClient:
    """Fake client of the duties for one term, with scripted outcomes."""

    def __init__(self, term=1):
        self.term = term
        self.outcomes = []
        self.sent = []

    def current_grant(self):
        return None if self.term is None else LeaseGrant(self.term, 1e9)

    def call(self, call, grant, read):
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE
        self.sent.append((*call.body, grant.term))
        return outcome


class ReporterHarness:
    def __init__(self):
        self.clock = ManualClock(epoch=1_000.0)
        self.store = Store()
        self.meter = UsageMeter(self.clock, WINDOW_S)

    def reporter(self, client):
        return UsageReporter(
            self.store,
            self.clock,
            self.meter,
            client,
            Codec(),
            "me",
            WINDOW_S,
            lambda: WRITE_INTERVAL_S,
        )

    def write(self, instance, **windows):
        """Store the counts of an instance; `w200=3` stands for three requests in window 200."""
        counts = InstanceCounts(
            self.meter.wall(), {name[1:]: {"one": n} for name, n in windows.items()}
        )
        self.store.objects[f"counts/{instance}"] = (1, cattrs.unstructure(counts))


@pytest.fixture
def harness():
    return ReporterHarness()


def test_a_window_is_reported_soon_after_the_last_write_of_its_counts(harness):
    client = FakeDutyClient()
    reporter = harness.reporter(client)
    reporter._task.step()
    harness.write("a", w200=3)
    harness.clock.advance(WINDOW_S + WRITE_INTERVAL_S + SETTLE_MARGIN_S - 0.1)
    reporter._task.step()
    assert client.sent == []
    harness.clock.advance(0.1)
    reporter._task.step()
    assert client.sent == [(200, {"one": 3}, 1)]


def test_a_successor_reports_the_sealed_counts_after_the_counts_have_changed(harness):
    first, second = FakeDutyClient(1), FakeDutyClient(2)
    first.outcomes = [DutyOutcome.UNKNOWN]
    old = harness.reporter(first)
    old._task.step()
    harness.write("a", w200=3)
    harness.clock.advance(8.0)
    old._task.step()
    harness.write("a", w200=4)
    new = harness.reporter(second)
    new._task.step()
    assert first.sent == [(200, {"one": 3}, 1)]
    assert second.sent[0] == (200, {"one": 3}, 2)


def test_nothing_is_sealed_or_sent_without_the_lease(harness):
    client = FakeDutyClient(None)
    reporter = harness.reporter(client)
    harness.clock.advance(20.0)
    reporter._task.step()
    assert client.sent == []
    assert harness.store.objects == {}


@pytest.mark.parametrize("lost", [0, 1])
def test_counts_sealed_by_an_unanswered_create_are_reported(harness, lost):
    client = FakeDutyClient()
    reporter = harness.reporter(client)
    reporter._task.step()
    harness.write("a", w200=3)
    harness.clock.advance(8.0)
    harness.store.lose_answers = lost
    reporter._task.step()
    harness.write("a", w200=9)
    reporter._task.step()
    assert client.sent[0] == (200, {"one": 3}, 1)


def test_counts_of_all_instances_are_summed(harness):
    client = FakeDutyClient()
    reporter = harness.reporter(client)
    reporter._task.step()
    harness.write("a", w200=3)
    harness.write("b", w200=4, w201=1)
    harness.clock.advance(8.0)
    reporter._task.step()
    assert client.sent == [(200, {"one": 7}, 1)]


def test_windows_follow_the_monotonic_clock_when_the_wall_clock_jumps(harness):
    harness.clock.epoch += 100.0
    harness.meter.count("one", harness.clock.monotonic())
    assert list(harness.meter.counts().windows) == ["200"]

"""Checks with an in-memory store that all reports of a window carry the same counts."""

import cattrs
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Ok

from hickoryloom.clock import ManualClock
from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.leases import LeaseGrant
from hickoryloom.leases.tests.fakes import MemoryStore
from hickoryloom.metering import InstanceCounts, UsageMeter, UsageReporter
from hickoryloom.metering.reporter import REPORT_RESERVE_S, SETTLE_MARGIN_S
from hickoryloom.metering.totals import LIVENESS_TIMEOUT_S

WINDOW_S = 5.0
WRITE_INTERVAL_S = 1.4
LATE_S = 10.0
FIRST_END = 1_005.0
"""End of window 200, the first one of each test."""


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
        self.era = 0
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
            LATE_S,
            lambda: self.era,
        )

    def write(self, instance, written=None, final=False, address="", **windows):
        """Store the counts of an instance; `w200=3` stands for three requests in window 200."""
        counts = InstanceCounts(
            self.meter.wall() if written is None else written,
            {name[1:]: {"one": n} for name, n in windows.items()},
            final=final,
            address=address,
        )
        self.store.objects[f"counts/{instance}"] = (1, cattrs.unstructure(counts))


@pytest.fixture
def harness():
    return ReporterHarness()


def test_a_window_is_reported_soon_after_the_last_write_of_its_counts(harness):
    client = FakeDutyClient()
    reporter = harness.reporter(client)
    reporter._task.step()
    harness.write("a", FIRST_END + 0.3, w200=3)
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
    harness.write("a", FIRST_END + 2.5, w200=3)
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
    harness.write("a", FIRST_END + 2.5, w200=3)
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
    harness.write("a", FIRST_END + 2.5, w200=3)
    harness.write("b", FIRST_END + 2.5, w200=4, w201=1)
    harness.clock.advance(8.0)
    reporter._task.step()
    assert client.sent == [(200, {"one": 7}, 1)]


def test_windows_follow_the_monotonic_clock_when_the_wall_clock_jumps(harness):
    harness.clock.epoch += 100.0
    harness.meter.count("one", harness.clock.monotonic())
    assert list(harness.meter.counts().windows) == ["200"]


def begin_with_a_cut_off_instance(harness, written=FIRST_END - 4.0, final=False):
    """Return a client and its reporter; instance b has written nothing since `written`."""
    client = FakeDutyClient()
    reporter = harness.reporter(client)
    reporter._task.step()
    harness.write("a", FIRST_END + 0.3, w200=3)
    harness.write("b", written, final=final, w200=1)
    return client, reporter


def test_a_window_waits_for_an_instance_that_is_cut_off_from_the_store(harness):
    client, reporter = begin_with_a_cut_off_instance(harness)
    harness.clock.advance(WINDOW_S + 5.0)
    reporter._task.step()
    assert client.sent == []
    harness.write("b", w200=9)
    reporter._task.step()
    assert client.sent == [(200, {"one": 12}, 1)]


def test_a_window_is_reported_in_time_without_an_instance_that_stays_cut_off(harness):
    client, reporter = begin_with_a_cut_off_instance(harness)
    harness.clock.advance(WINDOW_S + LATE_S - REPORT_RESERVE_S)
    reporter._task.step()
    assert client.sent == [(200, {"one": 4}, 1)]


@pytest.mark.parametrize(
    ("written", "final"), [(FIRST_END - 4.0, True), (FIRST_END - LIVENESS_TIMEOUT_S - 0.1, False)]
)
def test_a_process_that_has_ended_delays_no_window(harness, written, final):
    client, reporter = begin_with_a_cut_off_instance(harness, written, final)
    harness.clock.advance(WINDOW_S + WRITE_INTERVAL_S + SETTLE_MARGIN_S)
    reporter._task.step()
    assert client.sent == [(200, {"one": 4}, 1)]


def test_a_window_does_not_wait_for_a_process_that_another_one_has_replaced(harness):
    client, reporter = begin_with_a_cut_off_instance(harness)
    harness.write("b", FIRST_END - 2.0, address="10.0.0.1:1", w200=1)
    harness.write("b-restarted", FIRST_END + 0.5, address="10.0.0.1:1", w200=2)
    harness.clock.advance(WINDOW_S + WRITE_INTERVAL_S + SETTLE_MARGIN_S)
    reporter._task.step()
    assert client.sent == [(200, {"one": 6}, 1)]


def test_counts_that_arrive_after_sealing_are_counted_as_late_and_not_reported(harness):
    client, reporter = begin_with_a_cut_off_instance(harness)
    harness.clock.advance(WINDOW_S + LATE_S - REPORT_RESERVE_S)
    reporter._task.step()
    harness.clock.advance(0.5)
    harness.write("a", w200=3, w201=2)
    harness.write("b", w200=6, w201=2)
    reporter._task.step()
    assert reporter.late_requests == 5
    assert client.sent == [(200, {"one": 4}, 1), (201, {"one": 4}, 1)]


class CutOffInstances(RuleBasedStateMachine):
    """Instances count, write, are cut off, end or crash, while the reporter seals windows.

    A report carries all requests of instances whose counts arrived in time, and each window is
    reported before it is late.
    """

    def __init__(self):
        super().__init__()
        self.harness = ReporterHarness()
        self.client = FakeDutyClient()
        self.reporter = self.harness.reporter(self.client)
        self.reporter._task.step()
        self.counted = {}
        self.cut_off = set()
        self.arrived_at = {}
        self.reported = {}

    def write(self, id, final=False):
        windows = {f"w{window}": n for window, n in self.counted.get(id, {}).items()}
        self.harness.write(id, final=final, **windows)
        for window in self.counted.get(id, {}):
            if self.harness.meter.wall() >= (window + 1) * WINDOW_S:
                self.arrived_at.setdefault((id, window), self.harness.meter.wall())

    @rule(id=st.sampled_from("abc"))
    def count(self, id):
        window = self.harness.meter.window_at(self.harness.clock.monotonic())
        windows = self.counted.setdefault(id, {})
        windows[window] = windows.get(window, 0) + 1

    @rule(id=st.sampled_from("abc"), cut=st.booleans())
    def cut_off_or_reconnect(self, id, cut):
        (self.cut_off.add if cut else self.cut_off.discard)(id)

    @rule(steps=st.integers(min_value=1, max_value=16))
    def advance_clock(self, steps):
        for _ in range(steps):
            self.harness.clock.advance(0.5)
            for id in set(self.counted) - self.cut_off:
                self.write(id)
            already_sent = len(self.client.sent)
            self.reporter._task.step()
            for window, counts, _ in self.client.sent[already_sent:]:
                self.reported[window] = (self.harness.meter.wall(), counts)

    @invariant()
    def reports_are_in_time_and_complete(self):
        for window, (at, counts) in self.reported.items():
            end = (window + 1) * WINDOW_S
            assert at <= end + LATE_S
            arrived = sum(
                self.counted[id][window]
                for (id, counted_window), arrived_at in self.arrived_at.items()
                if counted_window == window and arrived_at <= at
            )
            assert sum(counts.values()) >= arrived

    @invariant()
    def no_window_is_overdue(self):
        last = max(self.reported, default=199)
        assert self.harness.meter.wall() <= (last + 2) * WINDOW_S + LATE_S


TestCutOffInstances = CutOffInstances.TestCase
TestCutOffInstances.settings = settings(max_examples=40, stateful_step_count=30, deadline=None)

"""Reports of usage while the store returns from an older copy that lacks sealed windows."""

import cattrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.duties import DutyOutcome
from hickoryloom.leases import LeaseGrant
from hickoryloom.metering import InstanceCounts
from hickoryloom.metering.tests.test_reporter import (
    FIRST_END,
    WINDOW_S,
    FakeDutyClient,
    ReporterHarness,
)


class EraDutyClient(FakeDutyClient):
    """Fake client of the duties whose grant belongs to an era of the store."""

    def __init__(self, term, era=1, era_known_at=0.0, held_into_era=0):
        super().__init__(term)
        self.era = era
        self.era_known_at = era_known_at
        self.held_into_era = held_into_era

    def current_grant(self):
        if self.term is None:
            return None
        return LeaseGrant(self.term, 1e9, self.era, self.era_known_at)


class EraHarness(ReporterHarness):
    def __init__(self):
        super().__init__()
        self.era = 1

    def lose_sealed_windows(self):
        self.era += 1
        for key in [key for key in self.store.objects if key.startswith("sealed/")]:
            del self.store.objects[key]


def reported_in_first_era():
    """Return a harness and the holder that has reported window 200, which the store has lost."""
    harness = EraHarness()
    client = EraDutyClient(1)
    holder = harness.reporter(client)
    holder._task.step()
    harness.write("a", FIRST_END + 2.5, w200=3)
    harness.clock.advance(8.0)
    holder._task.step()
    assert client.sent == [(200, {"one": 3}, 1)]
    harness.lose_sealed_windows()
    harness.write("a", w200=4)
    return harness, holder


def test_a_successor_does_not_report_a_window_that_may_have_been_reported():
    harness, _ = reported_in_first_era()
    harness.store.objects["sealed/199"] = (1, {"counts": {}})
    client = EraDutyClient(2, era=2, era_known_at=harness.meter.wall())
    successor = harness.reporter(client)
    for _ in range(20):
        successor._task.step()
        harness.clock.advance(0.5)
    assert all(window != 200 for window, _, _ in client.sent)
    assert successor.skipped_windows > 0


def test_a_successor_repeats_the_window_that_the_first_holder_has_stored_again():
    harness, holder = reported_in_first_era()
    holder._restore()
    client = EraDutyClient(2, era=2, era_known_at=harness.meter.wall())
    harness.reporter(client)._task.step()
    assert client.sent[0] == (200, {"one": 3}, 2)


def test_a_holder_that_held_the_lease_at_the_return_reports_what_it_had_not_sealed():
    harness = EraHarness()
    client = EraDutyClient(1)
    holder = harness.reporter(client)
    holder._task.step()
    harness.write("a", FIRST_END + 2.5, w200=3)
    harness.clock.advance(WINDOW_S + 1.0)
    harness.lose_sealed_windows()
    client.term, client.era, client.held_into_era = 2, 2, 2
    client.era_known_at = harness.meter.wall()
    harness.clock.advance(4.0)
    holder._task.step()
    assert client.sent == [(200, {"one": 3}, 2)]


class Returns(RuleBasedStateMachine):
    """Holders come and go, counts grow, and the store returns from copies without warning."""

    def __init__(self):
        super().__init__()
        self.harness = EraHarness()
        self.sent = []
        self.counts = {}
        self.copies = [{}]
        self.term = 0
        self.era_known_at = {1: 0.0}
        self.holder = self.client = None
        self.former = []
        self.change_holder()

    @rule()
    def change_holder(self):
        self._collect()
        if self.holder is not None:
            self.client.term = None
            self.former.append(self.holder)
        self.term += 1
        era = self.harness.era
        known_at = self.era_known_at.setdefault(era, self.harness.meter.wall())
        self.client = EraDutyClient(self.term, era, known_at)
        self.holder = self.harness.reporter(self.client)

    @rule()
    def holder_takes_the_lease_again(self):
        """The holder learns of the era while it holds the lease, and acquires it again."""
        era = self.harness.era
        if era > self.client.era:
            self.term += 1
            self.client.term, self.client.era = self.term, era
            self.client.held_into_era = era
            self.client.era_known_at = self.era_known_at.setdefault(era, self.harness.meter.wall())

    @rule(outcome=st.sampled_from([DutyOutcome.DONE, DutyOutcome.UNKNOWN]))
    def step(self, outcome):
        if self.client.era == self.harness.era:
            self.client.outcomes = [outcome]
            self.holder._task.step()
            self.copies.append(dict(self.harness.store.objects))

    @rule(seconds=st.integers(4, 16))
    def run_without_faults(self, seconds):
        for _ in range(seconds):
            self.advance_clock(1.0)
            self.count(1)
            self.step(DutyOutcome.DONE)

    @rule()
    def former_holder_restores(self):
        if self.former:
            self.former[-1]._restore()
        if self.client.era == self.harness.era:
            self.holder._restore()

    @rule(number=st.integers(1, 3))
    def count(self, number):
        window = str(self.harness.meter.window_at(self.harness.clock.monotonic()) - 1)
        customers = self.counts.setdefault(window, {"one": 0})
        customers["one"] += number
        written = InstanceCounts(self.harness.meter.wall(), dict(self.counts))
        self.harness.store.objects["counts/a"] = (1, cattrs.unstructure(written))

    @rule(seconds=st.sampled_from([0.5, 2.5, 5.0, 9.0]))
    def advance_clock(self, seconds):
        self.harness.clock.advance(seconds)

    @rule(writes_lost=st.integers(1, 5))
    def return_from_copy(self, writes_lost):
        copy = self.copies[max(0, len(self.copies) - 1 - writes_lost)]
        self.harness.store.objects = dict(copy)
        self.harness.era += 1

    def _collect(self):
        if self.client is not None:
            self.sent += self.client.sent
            self.client.sent = []

    @invariant()
    def no_window_is_reported_with_different_counts(self):
        self._collect()
        first = {}
        for window, counts, _ in self.sent:
            assert first.setdefault(window, counts) == counts


TestReturns = Returns.TestCase
TestReturns.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)

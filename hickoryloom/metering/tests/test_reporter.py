"""Sealing and reporting on a store in memory: one set of figures a window, whoever reports."""

import cattrs
import pytest
from result import Ok

from hickoryloom.clock import ManualClock
from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.leases import Right
from hickoryloom.leases.tests.fakes import MemoryStore
from hickoryloom.metering import InstanceCounts, UsageMeter, UsageReporter
from hickoryloom.metering.reporter import SETTLE_MARGIN_S

WINDOW_S = 5.0
WRITE_EVERY_S = 1.4


class Store(MemoryStore):
    """Takes the priorities that the client's calls carry."""

    def get(self, key, priority=None):
        return super().get(key)

    def delete(self, key, if_version, priority=None):
        self.objects.pop(key, None)
        return Ok(None)


class Codec:
    def report(self, window, counts, holder, term):
        return DutyCall("/usage", (window, dict(counts)), {"holder": holder, "term": str(term)})

    def read(self, answer):
        return answer


class Caller:
    """Stands for the calls under one term; outcomes are what the test says."""

    def __init__(self, term=1):
        self.term = term
        self.outcomes = []
        self.sent = []

    def right(self):
        return None if self.term is None else Right(self.term, 1e9)

    def call(self, call, right, read):
        outcome = self.outcomes.pop(0) if self.outcomes else DutyOutcome.DONE
        self.sent.append((*call.body, right.term))
        return outcome


class Bench:
    def __init__(self):
        self.clock = ManualClock(epoch=1_000.0)
        self.store = Store()
        self.meter = UsageMeter(self.clock, WINDOW_S)

    def reporter(self, caller):
        return UsageReporter(
            self.store,
            self.clock,
            self.meter,
            caller,
            Codec(),
            "me",
            WINDOW_S,
            lambda: WRITE_EVERY_S,
        )

    def write(self, instance, **windows):
        counts = InstanceCounts(
            self.meter.wall(), {name[1:]: {"one": n} for name, n in windows.items()}
        )
        self.store.objects[f"counts/{instance}"] = (1, cattrs.unstructure(counts))


@pytest.fixture
def bench():
    return Bench()


def test_a_window_is_reported_soon_after_the_last_write_of_its_counts(bench):
    caller = Caller()
    reporter = bench.reporter(caller)
    reporter._task.step()
    bench.write("a", w200=3)
    bench.clock.advance(WINDOW_S + WRITE_EVERY_S + SETTLE_MARGIN_S - 0.1)
    reporter._task.step()
    assert caller.sent == []
    bench.clock.advance(0.1)
    reporter._task.step()
    assert caller.sent == [(200, {"one": 3}, 1)]


def test_a_successor_repeats_sealed_figures_though_counts_have_changed(bench):
    first, second = Caller(1), Caller(2)
    first.outcomes = [DutyOutcome.UNKNOWN]
    old = bench.reporter(first)
    old._task.step()
    bench.write("a", w200=3)
    bench.clock.advance(8.0)
    old._task.step()
    bench.write("a", w200=4)
    new = bench.reporter(second)
    new._task.step()
    assert first.sent == [(200, {"one": 3}, 1)]
    assert second.sent[0] == (200, {"one": 3}, 2)


def test_without_the_right_nothing_is_sealed_or_sent(bench):
    caller = Caller(None)
    reporter = bench.reporter(caller)
    bench.clock.advance(20.0)
    reporter._task.step()
    assert caller.sent == []
    assert bench.store.objects == {}


@pytest.mark.parametrize("lost", [0, 1])
def test_what_was_sealed_without_an_answer_is_what_is_sent(bench, lost):
    caller = Caller()
    reporter = bench.reporter(caller)
    reporter._task.step()
    bench.write("a", w200=3)
    bench.clock.advance(8.0)
    bench.store.lose_answers = lost
    reporter._task.step()
    bench.write("a", w200=9)
    reporter._task.step()
    assert caller.sent[0] == (200, {"one": 3}, 1)


def test_figures_of_all_instances_are_added_up(bench):
    caller = Caller()
    reporter = bench.reporter(caller)
    reporter._task.step()
    bench.write("a", w200=3)
    bench.write("b", w200=4, w201=1)
    bench.clock.advance(8.0)
    reporter._task.step()
    assert caller.sent == [(200, {"one": 7}, 1)]


def test_windows_follow_the_steady_clock_when_the_time_of_day_jumps(bench):
    bench.clock.epoch += 100.0
    bench.meter.count("one", bench.clock.monotonic())
    assert list(bench.meter.counts().windows) == ["200"]

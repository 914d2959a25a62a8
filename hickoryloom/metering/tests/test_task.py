"""Writing of a process's counts, above all at its end."""

import gevent
import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.leases.tests.fakes import MemoryStore
from hickoryloom.metering import MeterTask, UsageMeter
from hickoryloom.metering.task import RETRY_INTERVAL_S


class Store(MemoryStore):
    """In-memory store that answers after a number of failed writes."""

    failures = 0

    def update(self, key, value, if_version, guard=None):
        if self.failures:
            self.failures -= 1
            self.down = True
        result = super().update(key, value, if_version, guard)
        self.down = False
        return result


@pytest.fixture
def store():
    return Store()


def build_task(store):
    clock = SystemClock()
    meter = UsageMeter(clock, 5.0)
    meter.count("one", clock.monotonic())
    return MeterTask(store, clock, meter, "a-1", "10.0.0.1:1", "d", "", lambda live: None)


def stored_counts(store):
    return store.objects["counts/a-1"][1]


def test_the_final_counts_are_written_once_the_store_is_back(store):
    task = build_task(store)
    store.failures = 2
    started_at = SystemClock().monotonic()
    task.stop(until=started_at + 10.0)
    assert stored_counts(store)["final"]
    assert list(stored_counts(store)["windows"].values()) == [{"one": 1}]


def test_the_end_of_the_process_is_not_delayed_beyond_the_limit(store):
    task = build_task(store)
    store.failures = 1_000
    started_at = SystemClock().monotonic()
    with gevent.Timeout(5.0):
        task.stop(until=started_at + 2 * RETRY_INTERVAL_S)
    assert SystemClock().monotonic() - started_at <= 3 * RETRY_INTERVAL_S
    assert store.objects == {}


def test_the_end_of_the_process_is_not_delayed_while_the_store_answers(store):
    task = build_task(store)
    task.stop(until=SystemClock().monotonic() + 10.0)
    assert store.writes == 1

"""An instance that held the lease before the last holder must not act soon after it."""

import pytest

from hickoryloom.leases import LeaseState, LeaseTimes, WaitStep, WriteStep
from hickoryloom.verdict import Applied

TIMES = LeaseTimes.from_duration(3.0)


class Lease:
    """The stored record, and a process of each instance that reads and writes it."""

    def __init__(self):
        self.version = 0
        self.record = None

    def write(self, record):
        self.version += 1
        self.record = record

    def acquire(self, instance, incarnation, now):
        state = LeaseState(f"{instance}-{incarnation}", TIMES, instance)
        state.on_read(now, self.version, self.record)
        step = state.next_step(now)
        if isinstance(step, WriteStep):
            self.write(step.record)
            state.on_write(now, step, Applied.APPLIED, self.version)
        return state, step


def test_an_instance_waits_to_take_back_a_lease_that_another_has_released():
    lease = Lease()
    first, _ = lease.acquire("a", "1", 0.0)
    lease.write(first.release())
    second, step = lease.acquire("b", "1", 0.5)
    assert isinstance(step, WriteStep)
    lease.write(second.release())
    _, step = lease.acquire("a", "2", 1.0)
    assert isinstance(step, WaitStep)
    third, step = lease.acquire("c", "1", 1.0)
    assert isinstance(step, WriteStep)
    lease.write(third.release())
    _, step = lease.acquire("a", "2", 1.2)
    assert isinstance(step, WriteStep)


def test_the_wait_ends_after_the_duration_of_the_lease():
    lease = Lease()
    first, _ = lease.acquire("a", "1", 0.0)
    lease.write(first.release())
    second, _ = lease.acquire("b", "1", 0.5)
    lease.write(second.release())
    state, _ = lease.acquire("a", "2", 1.0)
    state.on_read(1.0 + TIMES.duration_s + TIMES.margin_s, lease.version, lease.record)
    assert isinstance(state.next_step(1.0 + TIMES.duration_s + TIMES.margin_s), WriteStep)


@pytest.mark.parametrize("instance", ["a", "b"])
def test_a_released_lease_is_otherwise_taken_at_once(instance):
    lease = Lease()
    first, _ = lease.acquire("a", "1", 0.0)
    lease.write(first.release())
    _, step = lease.acquire(instance, "2", 0.1)
    assert isinstance(step, WriteStep)

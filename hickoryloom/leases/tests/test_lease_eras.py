"""At most one candidate holds a lease, and terms increase, while the store returns from copies."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import rule

from hickoryloom.leases import LeaseState, LeaseTimes, ReadStep, WaitStep, WriteStep
from hickoryloom.leases.tests.test_lease_machine import (
    CANDIDATE_NAMES,
    LeaseMachine,
    Store,
)
from hickoryloom.store import join_version, split_version
from hickoryloom.verdict import Applied

TIMES = LeaseTimes.from_duration(10.0)


@attrs.define
class EraStore(Store):
    """A store that can return to an earlier state and reuse the versions since then."""

    era: int = 1

    def write(self, step):
        """Compare the revision only, as the store does not know in which era it was read."""
        raw = attrs.evolve(step, if_version=split_version(step.if_version)[1])
        kind, version = super().write(raw)
        return kind, version

    def return_from_copy(self, writes_lost):
        del self.history[max(1, len(self.history) - writes_lost) :]
        self.version, self.record = self.history[-1]
        self.era += 1


class LeaseEraMachine(LeaseMachine):
    """Candidates learn of an era from the answers that they receive."""

    def build_store(self):
        return EraStore()

    @rule(writes_lost=st.integers(0, 6))
    def return_from_copy(self, writes_lost):
        self.store.return_from_copy(writes_lost)

    def write_to_store(self, step):
        return (*self.store.write(step), self.store.era)

    def deliver_write_response(self, candidate, step, response):
        kind, version, era = response
        sent_in_era = candidate.state.era
        self._learn_era(candidate, era)
        if era != sent_in_era:
            candidate.state.on_write(candidate.clock(self.now), step, Applied.UNKNOWN)
        else:
            joined = join_version(era, version)
            super().deliver_write_response(candidate, step, (kind, joined))

    def deliver_read_response(self, candidate, version, record):
        self._learn_era(candidate, self.store.era)
        joined = join_version(self.store.era, version) if version else 0
        super().deliver_read_response(candidate, joined, record)

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def learn_era(self, name):
        """Learn of the era from an answer to another call."""
        if not self.candidates[name].frozen:
            self._learn_era(self.candidates[name], self.store.era)

    def _learn_era(self, candidate, era):
        if era > candidate.state.era:
            candidate.state.on_era(candidate.clock(self.now), era, self.now)


LeaseEraMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=50)
TestLeaseEraMachine = LeaseEraMachine.TestCase


def acquire(state, store, now, era):
    """Run a candidate without faults until it holds the lease; return the time."""
    for _ in range(100):
        if era > state.era:
            state.on_era(now, era, now)
        step = state.next_step(now)
        if isinstance(step, ReadStep):
            joined = join_version(era, store.version) if store.version else 0
            state.on_read(now, joined, store.record)
        elif isinstance(step, WriteStep):
            kind, version = store.write(step)
            assert kind == "applied"
            state.on_write(now, step, Applied.APPLIED, join_version(era, version))
            return now
        else:
            assert isinstance(step, WaitStep)
            now = max(now + 0.01, step.until)
    raise AssertionError("the lease was not acquired")


def test_a_released_lease_of_a_copy_is_not_taken_at_once():
    """The copy predates the last holder, whose grant may still be valid."""
    store = EraStore()
    first, second = LeaseState("a", TIMES), LeaseState("b", TIMES)
    acquire(first, store, 0.0, era=1)
    store.write(WriteStep(first.release(), store.version))
    taken_at = acquire(second, store, 1.0, era=1)
    store.return_from_copy(writes_lost=1)
    third = LeaseState("c", TIMES)
    acquired_at = acquire(third, store, taken_at, era=2)
    assert acquired_at >= taken_at + TIMES.duration_s
    assert second.current_grant(acquired_at) is None


def test_an_absent_lease_of_a_copy_is_not_taken_at_once():
    """The copy predates the first holder, whose grant may still be valid."""
    store = EraStore()
    holder = LeaseState("a", TIMES)
    taken_at = acquire(holder, store, 0.0, era=1)
    store.return_from_copy(writes_lost=1)
    acquired_at = acquire(LeaseState("b", TIMES), store, taken_at, era=2)
    assert holder.current_grant(acquired_at) is None


def test_a_term_is_not_used_again_by_a_candidate_that_knows_only_the_copy():
    store = EraStore()
    holder = LeaseState("a", TIMES)
    acquire(holder, store, 0.0, era=1)
    lost_term = holder.current_grant(0.0).term
    store.return_from_copy(writes_lost=1)
    successor = LeaseState("b", TIMES)
    now = acquire(successor, store, 0.0, era=2)
    assert successor.current_grant(now).term > lost_term


def test_the_holder_stops_as_soon_as_it_knows_of_the_new_era():
    store = EraStore()
    holder = LeaseState("a", TIMES)
    acquire(holder, store, 0.0, era=1)
    holder.on_era(1.0, 2, 1.0)
    assert holder.current_grant(1.0) is None
    assert holder.held_into_era == 2

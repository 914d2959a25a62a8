"""Tests that no two candidates have a valid grant at the same true time.

Covers frozen processes, lost and delayed messages, stale reads and clocks of different rates.
"""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hickoryloom.leases import LeaseState, LeaseTimes, ReadStep, WaitStep, WriteStep
from hickoryloom.verdict import Applied

DURATION_S = 10.0
TIMES = LeaseTimes.from_duration(DURATION_S)
RATE_DIFFERENCE = 0.08
CANDIDATE_NAMES = ("a", "b", "c")


@attrs.define
class Candidate:
    """A candidate with its own clock; `call` is its pending call."""

    state: LeaseState
    rate: float
    offset: float
    frozen: bool = False
    call: object = None
    response: object = None
    stopped: bool = False

    def clock(self, true_time):
        return self.offset + self.rate * true_time


@attrs.define
class Store:
    """One versioned object and its history, from which stale reads are served."""

    version: int = 0
    record: object = None
    history: list = attrs.field(factory=lambda: [(0, None)])

    def write(self, step):
        if step.if_version != self.version:
            return ("conflict", 0)
        self.version += 1
        self.record = step.record
        self.history.append((self.version, self.record))
        return ("applied", self.version)


class LeaseMachine(RuleBasedStateMachine):
    """Candidates that share one lease; sending, applying and answering are separate rules."""

    @initialize(rates=st.permutations([1 - RATE_DIFFERENCE / 2, 1.0, 1 + RATE_DIFFERENCE / 2]))
    def start(self, rates):
        self.now = 0.0
        self.store = self.build_store()
        self.in_flight = []
        self.holder_by_term = {}
        self.candidates = {
            name: Candidate(LeaseState(name, TIMES), rate, 1000.0 * at)
            for at, (name, rate) in enumerate(zip(CANDIDATE_NAMES, rates, strict=True))
        }

    def build_store(self):
        return Store()

    def write_to_store(self, step):
        """Return the response to a write, as passed to `deliver_write_response`."""
        return self.store.write(step)

    def deliver_write_response(self, candidate, step, response):
        kind, version = response
        if kind == "conflict":
            candidate.state.on_conflict(candidate.clock(self.now))
        else:
            candidate.state.on_write(candidate.clock(self.now), step, Applied.APPLIED, version)

    def deliver_read_response(self, candidate, version, record):
        candidate.state.on_read(candidate.clock(self.now), version, record)

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.0, 4.5, 9.0, 12.0]))
    def advance_clock(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(CANDIDATE_NAMES), overshoot=st.sampled_from([0.001, 0.01, 0.3]))
    def advance_clock_to_deadline(self, name, overshoot):
        """Advance just past the time until which a candidate waits, where errors would show."""
        candidate = self.candidates[name]
        if candidate.call is not None or candidate.stopped:
            return
        step = candidate.state.next_step(candidate.clock(self.now))
        if isinstance(step, WaitStep):
            deadline = (step.until - candidate.offset) / candidate.rate
            self.now = max(self.now, deadline + overshoot)

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def freeze(self, name):
        self.candidates[name].frozen = True

    @rule()
    def unfreeze_all(self):
        for candidate in self.candidates.values():
            candidate.frozen = False

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def take_step(self, name):
        """Let a candidate take its next step; a write stays in flight until `apply_write`."""
        candidate = self.candidates[name]
        if candidate.frozen or candidate.call is not None or candidate.stopped:
            return
        step = candidate.state.next_step(candidate.clock(self.now))
        if isinstance(step, WaitStep):
            return
        candidate.call = step
        if isinstance(step, WriteStep):
            self.in_flight.append((name, step))

    @precondition(lambda self: self.in_flight)
    @rule(at=st.integers(0, 10), answered=st.booleans())
    def apply_write(self, at, answered):
        """Apply a write, possibly long after it was sent, with or without a response."""
        name, step = self.in_flight.pop(at % len(self.in_flight))
        result = self.write_to_store(step)
        candidate = self.candidates[name]
        if answered and candidate.call is step:
            candidate.response = result

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def receive_write_response(self, name):
        candidate = self.candidates[name]
        if (
            candidate.frozen
            or not isinstance(candidate.call, WriteStep)
            or candidate.response is None
        ):
            return
        step, response = candidate.call, candidate.response
        candidate.call = candidate.response = None
        self.deliver_write_response(candidate, step, response)

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def time_out_call(self, name):
        """Time out the pending call; a write may still be applied later."""
        candidate = self.candidates[name]
        if candidate.frozen or candidate.call is None:
            return
        step, candidate.call, candidate.response = candidate.call, None, None
        if isinstance(step, ReadStep):
            candidate.state.on_failed_read(candidate.clock(self.now))
        else:
            candidate.state.on_write(candidate.clock(self.now), step, Applied.UNKNOWN)

    @rule(
        name=st.sampled_from(CANDIDATE_NAMES), versions_behind=st.sampled_from([0, 0, 0, 1, 2, 5])
    )
    def receive_read_response(self, name, versions_behind):
        candidate = self.candidates[name]
        if candidate.frozen or not isinstance(candidate.call, ReadStep):
            return
        candidate.call = None
        history = self.store.history
        version, record = history[max(0, len(history) - 1 - versions_behind)]
        self.deliver_read_response(candidate, version, record)

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def run_without_faults(self, name):
        """Run a candidate without faults, so that leases are acquired and renewed often."""
        for _ in range(4):
            self.take_step(name)
            self.receive_read_response(name, 0)
            self._apply_own_write(name)
            self.receive_write_response(name)

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def run_through_waits(self, name):
        """Run a candidate without faults through its waits until it writes or holds the lease."""
        for _ in range(6):
            self.run_without_faults(name)
            self.advance_clock_to_deadline(name, 0.001)
        self.run_without_faults(name)

    @rule(
        name=st.sampled_from(CANDIDATE_NAMES),
        observer=st.sampled_from(CANDIDATE_NAMES),
        seconds=st.sampled_from([0.0, 3.0, 8.0]),
        answered=st.booleans(),
    )
    def delay_write_response(self, name, observer, seconds, answered):
        """Let another candidate observe a write before its sender gets the response, if any."""
        self._write(name, applied=True)
        self.take_step(observer)
        self.receive_read_response(observer, 0)
        self.now += seconds
        if answered:
            self.receive_write_response(name)
        self.time_out_call(name)

    @rule(name=st.sampled_from(CANDIDATE_NAMES), applied=st.booleans())
    def lose_write_response(self, name, applied):
        """Time out a write that has been applied, or has not been applied yet."""
        self._write(name, applied)
        self.time_out_call(name)

    def _write(self, name, applied):
        self.take_step(name)
        self.receive_read_response(name, 0)
        self.take_step(name)
        if applied:
            self._apply_own_write(name)

    @rule(name=st.sampled_from(CANDIDATE_NAMES), other=st.sampled_from(CANDIDATE_NAMES))
    def hand_over(self, name, other):
        """Stop one candidate, apply its release immediately, and run another."""
        self.release(name)
        self._apply_own_write(name)
        if other != name:
            self.advance_clock_to_deadline(other, 0.001)
            self.run_without_faults(other)

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def release(self, name):
        candidate = self.candidates[name]
        if candidate.frozen or candidate.call is not None or candidate.stopped:
            return
        candidate.stopped = True
        record = candidate.state.release()
        if record is not None:
            self.in_flight.append((name, WriteStep(record, candidate.state.version)))

    @rule(name=st.sampled_from(CANDIDATE_NAMES))
    def restart(self, name):
        """Restart a stopped candidate as a new incarnation."""
        candidate = self.candidates[name]
        if candidate.stopped:
            fresh = LeaseState(f"{candidate.state.incarnation}'", TIMES)
            self.candidates[name] = Candidate(fresh, candidate.rate, candidate.offset)

    def _apply_own_write(self, name):
        for at, (owner, _) in enumerate(self.in_flight):
            if owner == name:
                self.apply_write(at, True)
                return

    @invariant()
    def at_most_one_grant(self):
        grants = self._valid_grants()
        assert len(grants) <= 1, grants

    @invariant()
    def each_term_has_one_holder_and_terms_increase(self):
        for name, grant in self._valid_grants().items():
            incarnation = self.candidates[name].state.incarnation
            holder = self.holder_by_term.setdefault(grant.term, incarnation)
            assert holder == incarnation
            assert grant.term == max(self.holder_by_term)

    def _valid_grants(self):
        """Return the grants valid now by each candidate's own clock, including frozen ones."""
        found = {}
        for name, candidate in getattr(self, "candidates", {}).items():
            grant = candidate.state.current_grant(candidate.clock(self.now))
            if grant is not None:
                found[name] = grant
        return found


LeaseMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=50)
TestLeaseMachine = LeaseMachine.TestCase


def run_candidate(state, store, clock, steps=10):
    """Run a candidate without faults at time `clock`."""
    for _ in range(steps):
        step = state.next_step(clock)
        if isinstance(step, ReadStep):
            state.on_read(clock, store.version, store.record)
        elif isinstance(step, WriteStep):
            kind, version = store.write(step)
            if kind == "conflict":
                state.on_conflict(clock)
            else:
                state.on_write(clock, step, Applied.APPLIED, version)
        else:
            return


def test_right_is_measured_from_before_the_renewal_was_sent():
    state, store = LeaseState("a", TIMES), Store()
    state.on_read(0.0, 0, None)
    step = state.next_step(0.0)
    kind, version = store.write(step)
    state.on_write(8.0, step, Applied.APPLIED, version)
    assert state.current_grant(8.0).until == pytest.approx(DURATION_S - TIMES.margin_s)


def test_successor_acquires_after_duration_plus_margin_and_not_before():
    holder, other, store = LeaseState("a", TIMES), LeaseState("b", TIMES), Store()
    run_candidate(holder, store, 0.0)
    run_candidate(other, store, 0.0)
    wait_s = DURATION_S + TIMES.margin_s
    now = 0.0
    while now < wait_s:
        run_candidate(other, store, now)
        assert other.current_grant(now) is None
        now += 0.25
    run_candidate(other, store, wait_s)
    assert other.current_grant(wait_s).term == 2
    assert holder.current_grant(wait_s) is None


def test_applied_renewal_is_recognized_despite_stale_reads():
    state, store = LeaseState("a", TIMES), Store()
    run_candidate(state, store, 0.0)
    old = (store.version, store.record)
    step = state.next_step(TIMES.renew_s)
    store.write(step)
    state.on_write(3.0, step, Applied.UNKNOWN)
    state.on_read(4.0, *old)
    again = state.next_step(5.0)
    assert isinstance(again, WriteStep)
    assert store.write(again)[0] == "conflict"
    state.on_conflict(5.0)
    state.on_read(5.5, *old)
    state.on_read(6.5, store.version, store.record)
    assert state.current_grant(6.5).until == pytest.approx(
        TIMES.renew_s + DURATION_S - TIMES.margin_s
    )


def test_term_increases_after_the_lease_object_is_deleted():
    holder, other, store = LeaseState("a", TIMES), LeaseState("b", TIMES), Store()
    run_candidate(holder, store, 0.0)
    run_candidate(other, store, 0.0)
    store.version, store.record = 0, None
    now = 0.0
    while other.current_grant(now) is None and now < 60:
        now += 0.5
        run_candidate(other, store, now)
    assert other.current_grant(now).term == 2
    assert holder.current_grant(now) is None


@given(
    rates=st.permutations([1 - RATE_DIFFERENCE / 2, 1 + RATE_DIFFERENCE / 2]),
    request_delay_s=st.floats(0, 8),
    response_delay_s=st.floats(0, 8),
    observation_delay_s=st.floats(0, 3),
    renewed=st.booleans(),
)
def test_frozen_holder_and_successor_never_overlap(
    rates, request_delay_s, response_delay_s, observation_delay_s, renewed
):
    """The holder freezes after its write; the successor only reads and waits."""
    store = Store()
    holder = Candidate(LeaseState("a", TIMES), rates[0], 0.0)
    other = Candidate(LeaseState("b", TIMES), rates[1], 500.0)
    now = 0.0
    if renewed:
        run_candidate(holder.state, store, holder.clock(now))
        now = TIMES.renew_s / rates[0] + 0.001
    else:
        holder.state.on_read(holder.clock(now), 0, None)
    step = holder.state.next_step(holder.clock(now))
    now += request_delay_s
    _, version = store.write(step)
    observed_at, answered_at = now + observation_delay_s, now + response_delay_s
    holder.state.on_write(holder.clock(answered_at), step, Applied.APPLIED, version)
    now = observed_at
    while other.state.current_grant(other.clock(now)) is None:
        run_candidate(other.state, store, other.clock(now))
        now += 0.02
    assert holder.state.current_grant(holder.clock(now - 0.02)) is None

"""No two rights at the same true time, whatever is frozen, lost, delayed or drifting."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule

from hickoryloom.leases import LeaseState, LeaseTimes, ReadStep, WaitStep, WriteStep
from hickoryloom.verdict import Applied

DURATION_S = 10.0
TIMES = LeaseTimes.of(DURATION_S)
DRIFT = 0.08
NAMES = ("a", "b", "c")


@attrs.define
class Candidate:
    """A candidate with a clock of its own; `call` is its call that is under way."""

    state: LeaseState
    rate: float
    offset: float
    frozen: bool = False
    call: object = None
    answer: object = None
    stopped: bool = False

    def clock(self, true_time):
        return self.offset + self.rate * true_time


@attrs.define
class Store:
    """One object with versions, and older states that a stale read may show."""

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
    """Candidates that share one lease; every call is sent, takes effect and is answered apart."""

    @initialize(rates=st.permutations([1 - DRIFT / 2, 1.0, 1 + DRIFT / 2]))
    def begin(self, rates):
        self.now = 0.0
        self.store = Store()
        self.in_flight = []
        self.rights_seen = {}
        self.candidates = {
            name: Candidate(LeaseState(name, TIMES), rate, 1000.0 * at)
            for at, (name, rate) in enumerate(zip(NAMES, rates, strict=True))
        }

    @rule(seconds=st.sampled_from([0.1, 0.6, 2.0, 4.5, 9.0, 12.0]))
    def pass_time(self, seconds):
        self.now += seconds

    @rule(name=st.sampled_from(NAMES), beyond=st.sampled_from([0.001, 0.01, 0.3]))
    def pass_time_until_due(self, name, beyond):
        """Go to the time for which a candidate waits, where its mistakes would show."""
        one = self.candidates[name]
        if one.call is not None or one.stopped:
            return
        step = one.state.next_step(one.clock(self.now))
        if isinstance(step, WaitStep):
            due = (step.until - one.offset) / one.rate
            self.now = max(self.now, due + beyond)

    @rule(name=st.sampled_from(NAMES))
    def freeze(self, name):
        self.candidates[name].frozen = True

    @rule()
    def wake_all(self):
        for one in self.candidates.values():
            one.frozen = False

    @rule(name=st.sampled_from(NAMES))
    def decide(self, name):
        """Let a candidate take its next step; a write is under way until `deliver`."""
        one = self.candidates[name]
        if one.frozen or one.call is not None or one.stopped:
            return
        step = one.state.next_step(one.clock(self.now))
        if isinstance(step, WaitStep):
            return
        one.call = step
        if isinstance(step, WriteStep):
            self.in_flight.append((name, step))

    @precondition(lambda self: self.in_flight)
    @rule(at=st.integers(0, 10), answered=st.booleans())
    def deliver(self, at, answered):
        """Let a write take effect, maybe long after it was sent, and lose its answer or not."""
        name, step = self.in_flight.pop(at % len(self.in_flight))
        result = self.store.write(step)
        one = self.candidates[name]
        if answered and one.call is step:
            one.answer = result

    @rule(name=st.sampled_from(NAMES))
    def answer_write(self, name):
        one = self.candidates[name]
        if one.frozen or not isinstance(one.call, WriteStep) or one.answer is None:
            return
        step, (kind, version) = one.call, one.answer
        one.call = one.answer = None
        if kind == "conflict":
            one.state.on_conflict(one.clock(self.now))
        else:
            one.state.on_write(one.clock(self.now), step, Applied.APPLIED, version)

    @rule(name=st.sampled_from(NAMES))
    def time_out(self, name):
        """Give up waiting for an answer; the write may still take effect later."""
        one = self.candidates[name]
        if one.frozen or one.call is None:
            return
        step, one.call, one.answer = one.call, None, None
        if isinstance(step, ReadStep):
            one.state.on_failed_read(one.clock(self.now))
        else:
            one.state.on_write(one.clock(self.now), step, Applied.UNKNOWN)

    @rule(name=st.sampled_from(NAMES), back=st.sampled_from([0, 0, 0, 1, 2, 5]))
    def answer_read(self, name, back):
        one = self.candidates[name]
        if one.frozen or not isinstance(one.call, ReadStep):
            return
        one.call = None
        history = self.store.history
        version, record = history[max(0, len(history) - 1 - back)]
        one.state.on_read(one.clock(self.now), version, record)

    @rule(name=st.sampled_from(NAMES))
    def run_for_a_while(self, name):
        """Let a candidate run without faults, so that leases are taken and renewed often."""
        for _ in range(4):
            self.decide(name)
            self.answer_read(name, 0)
            self._deliver_own(name)
            self.answer_write(name)

    @rule(name=st.sampled_from(NAMES))
    def run_until_it_has_waited(self, name):
        """Let a candidate run and wait without faults until it writes or holds."""
        for _ in range(6):
            self.run_for_a_while(name)
            self.pass_time_until_due(name, 0.001)
        self.run_for_a_while(name)

    @rule(
        name=st.sampled_from(NAMES),
        watcher=st.sampled_from(NAMES),
        seconds=st.sampled_from([0.0, 3.0, 8.0]),
        answered=st.booleans(),
    )
    def write_slowly(self, name, watcher, seconds, answered):
        """Let a write be seen by another candidate before its sender hears of it, if ever."""
        self._write(name, applied=True)
        self.decide(watcher)
        self.answer_read(watcher, 0)
        self.now += seconds
        if answered:
            self.answer_write(name)
        self.time_out(name)

    @rule(name=st.sampled_from(NAMES), applied=st.booleans())
    def lose_write(self, name, applied):
        """Let a write that took effect, or did not yet, go without an answer."""
        self._write(name, applied)
        self.time_out(name)

    def _write(self, name, applied):
        self.decide(name)
        self.answer_read(name, 0)
        self.decide(name)
        if applied:
            self._deliver_own(name)

    @rule(name=st.sampled_from(NAMES), other=st.sampled_from(NAMES))
    def hand_over(self, name, other):
        """Stop one candidate, tell the platform at once, and let another run."""
        self.release(name)
        self._deliver_own(name)
        if other != name:
            self.pass_time_until_due(other, 0.001)
            self.run_for_a_while(other)

    @rule(name=st.sampled_from(NAMES))
    def release(self, name):
        one = self.candidates[name]
        if one.frozen or one.call is not None or one.stopped:
            return
        one.stopped = True
        record = one.state.release()
        if record is not None:
            self.in_flight.append((name, WriteStep(record, one.state.version)))

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        """Start a stopped candidate anew, as another incarnation."""
        one = self.candidates[name]
        if one.stopped:
            fresh = LeaseState(f"{one.state.incarnation}'", TIMES)
            self.candidates[name] = Candidate(fresh, one.rate, one.offset)

    def _deliver_own(self, name):
        for at, (owner, _) in enumerate(self.in_flight):
            if owner == name:
                self.deliver(at, True)
                return

    @invariant()
    def at_most_one_right(self):
        rights = self._rights()
        assert len(rights) <= 1, rights

    @invariant()
    def terms_belong_to_one_holder_and_count_up(self):
        for name, right in self._rights().items():
            incarnation = self.candidates[name].state.incarnation
            holder = self.rights_seen.setdefault(right.term, incarnation)
            assert holder == incarnation
            assert right.term == max(self.rights_seen)

    def _rights(self):
        """Return the rights valid now by each candidate's own clock, frozen ones included."""
        found = {}
        for name, one in getattr(self, "candidates", {}).items():
            right = one.state.right(one.clock(self.now))
            if right is not None:
                found[name] = right
        return found


LeaseMachine.TestCase.settings = settings(max_examples=300, stateful_step_count=50)
TestLeaseMachine = LeaseMachine.TestCase


def drive(state, store, clock, steps=10):
    """Run a candidate without faults at the time `clock`."""
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


def test_right_counts_from_before_the_renewal_was_sent():
    state, store = LeaseState("a", TIMES), Store()
    state.on_read(0.0, 0, None)
    step = state.next_step(0.0)
    kind, version = store.write(step)
    state.on_write(8.0, step, Applied.APPLIED, version)
    assert state.right(8.0).until == pytest.approx(DURATION_S - TIMES.margin_s)


def test_a_successor_takes_over_after_duration_and_margin_and_not_earlier():
    holder, other, store = LeaseState("a", TIMES), LeaseState("b", TIMES), Store()
    drive(holder, store, 0.0)
    drive(other, store, 0.0)
    wait_s = DURATION_S + TIMES.margin_s
    now = 0.0
    while now < wait_s:
        drive(other, store, now)
        assert other.right(now) is None
        now += 0.25
    drive(other, store, wait_s)
    assert other.right(wait_s).term == 2
    assert holder.right(wait_s) is None


def test_stale_reads_do_not_hide_that_a_renewal_took_effect():
    state, store = LeaseState("a", TIMES), Store()
    drive(state, store, 0.0)
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
    assert state.right(6.5).until == pytest.approx(TIMES.renew_s + DURATION_S - TIMES.margin_s)


def test_a_lease_whose_object_was_deleted_goes_on_with_a_higher_term():
    holder, other, store = LeaseState("a", TIMES), LeaseState("b", TIMES), Store()
    drive(holder, store, 0.0)
    drive(other, store, 0.0)
    store.version, store.record = 0, None
    now = 0.0
    while other.right(now) is None and now < 60:
        now += 0.5
        drive(other, store, now)
    assert other.right(now).term == 2
    assert holder.right(now) is None


@given(
    rates=st.permutations([1 - DRIFT / 2, 1 + DRIFT / 2]),
    to_platform_s=st.floats(0, 8),
    to_holder_s=st.floats(0, 8),
    observed_s=st.floats(0, 3),
    renewed=st.booleans(),
)
def test_frozen_holder_and_successor_never_overlap(
    rates, to_platform_s, to_holder_s, observed_s, renewed
):
    """The holder is frozen after its write; the successor only watches and waits."""
    store = Store()
    holder = Candidate(LeaseState("a", TIMES), rates[0], 0.0)
    other = Candidate(LeaseState("b", TIMES), rates[1], 500.0)
    now = 0.0
    if renewed:
        drive(holder.state, store, holder.clock(now))
        now = TIMES.renew_s / rates[0] + 0.001
    else:
        holder.state.on_read(holder.clock(now), 0, None)
    step = holder.state.next_step(holder.clock(now))
    now += to_platform_s
    _, version = store.write(step)
    observed_at, answered_at = now + observed_s, now + to_holder_s
    holder.state.on_write(holder.clock(answered_at), step, Applied.APPLIED, version)
    now = observed_at
    while other.state.right(other.clock(now)) is None:
        drive(other.state, store, other.clock(now))
        now += 0.02
    assert holder.state.right(holder.clock(now - 0.02)) is None

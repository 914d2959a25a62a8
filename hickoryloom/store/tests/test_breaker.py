"""The breaker bounds attempts while the platform is down, and lets calls pass once it is up."""

from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickoryloom.store import Backoff, BreakerState, CircuitBreaker
from hickoryloom.store.breaker import (
    FAILURES_TO_OPEN,
    FIRST_DELAY_S,
    MAX_DELAY_S,
    PROBE_TIMEOUT_S,
)

SEEDS = st.integers(0, 2**32)


@given(SEEDS, st.lists(st.booleans(), max_size=50))
def test_delays_are_jittered_and_bounded(seed, resets):
    backoff = Backoff(Random(seed))
    bound_s = FIRST_DELAY_S
    for reset in resets:
        if reset:
            backoff.reset()
            bound_s = FIRST_DELAY_S
        assert bound_s / 2 <= backoff.next_s() <= bound_s
        bound_s = min(MAX_DELAY_S, bound_s * 2)


class BreakerMachine(RuleBasedStateMachine):
    """Calls begin and end in any order; the platform is up or down."""

    def __init__(self):
        super().__init__()
        self.breaker = CircuitBreaker(Random(1))
        self.now = 0.0
        self.out = 0
        self.probe_since = None

    @rule(seconds=st.sampled_from([0.0, 0.1, 0.3, 1.0, 5.0, 40.0]))
    def time_passes(self, seconds):
        self.now += seconds

    @rule()
    def call_begins(self):
        closed = self.breaker.state is BreakerState.CLOSED
        wait_s = self.breaker.wait_s(self.now)
        began = self.breaker.begin(self.now)
        assert began == (wait_s == 0)
        if not began:
            return
        self.out += 1
        if not closed:
            last = self.probe_since
            assert last is None or self.now - last >= min(FIRST_DELAY_S / 2, PROBE_TIMEOUT_S)
            self.probe_since = self.now

    @precondition(lambda self: self.out)
    @rule()
    def call_fails(self):
        self.out -= 1
        self.breaker.failed(self.now)
        if self.breaker.state is BreakerState.OPEN:
            assert 0 < self.breaker.wait_s(self.now) <= MAX_DELAY_S

    @precondition(lambda self: self.out)
    @rule()
    def call_succeeds(self):
        self.out -= 1
        self.breaker.succeeded()
        self.probe_since = None
        assert self.breaker.wait_s(self.now) == 0

    @precondition(lambda self: self.out)
    @rule()
    def call_is_killed(self):
        self.out -= 1
        self.breaker.withdrew(self.now)
        self.probe_since = None

    @invariant()
    def nothing_is_held_back_for_longer_than_a_probe(self):
        assert self.breaker.wait_s(self.now) <= PROBE_TIMEOUT_S


BreakerMachine.TestCase.settings = settings(max_examples=200, stateful_step_count=40)
TestBreaker = BreakerMachine.TestCase


def test_opens_after_some_failures_in_a_row_only():
    breaker = CircuitBreaker(Random(1))
    for _ in range(FAILURES_TO_OPEN - 1):
        breaker.failed(0.0)
    breaker.succeeded()
    for _ in range(FAILURES_TO_OPEN - 1):
        breaker.failed(0.0)
    assert breaker.state is BreakerState.CLOSED
    breaker.failed(0.0)
    assert breaker.state is BreakerState.OPEN


def test_probe_holds_back_for_its_timeout_at_most_whatever_the_clock_reads():
    for step in range(200):
        now = step * 0.1
        breaker = CircuitBreaker(Random(1))
        for _ in range(FAILURES_TO_OPEN):
            breaker.failed(now)
        later = now + breaker.wait_s(now) + 0.4
        assert breaker.begin(later)
        assert breaker.wait_s(later) <= PROBE_TIMEOUT_S

"""Minutes of outage and flapping for a whole fleet of clients, on a handed-in clock."""

from collections import Counter
from random import Random

import pytest

from hickoryloom.store import CallBudget, CallKind, CallPriority, CircuitBreaker
from hickoryloom.store.breaker import FAILURES_TO_OPEN
from hickoryloom.store.budget import PLATFORM_READS_PER_S, PLATFORM_WRITES_PER_S

TICK_S = 0.1
WANTED_PER_TICK = 4
OUTAGE = range(20, 100)


class Process:
    """One process that always wants to make more calls than its budget allows."""

    def __init__(self, number, processes):
        self.budget = CallBudget(0.0, processes=processes)
        self.breaker = CircuitBreaker(Random(number))
        self.random = Random(number + 10_000)
        self.waiting = []

    def call(self, now, up):
        """Make the calls of one tick and return those that reach the platform, by kind."""
        for _ in range(WANTED_PER_TICK):
            kind = self.random.choice([CallKind.READ, CallKind.WRITE])
            priority = self.random.choice(list(CallPriority))
            if self.breaker.wait_s(now) > 0:
                continue
            wait_s = self.budget.take(kind, priority, now)
            if wait_s is not None:
                self.waiting.append((now + wait_s, kind))
        due = [kind for time, kind in self.waiting if time <= now]
        self.waiting = [(time, kind) for time, kind in self.waiting if time > now]
        return Counter(kind for kind in due if self.make(now, up))

    def make(self, now, up):
        if not self.breaker.begin(now):
            return False
        if not up:
            self.breaker.failed(now)
        elif self.breaker.succeeded():
            self.budget.drop_burst(now)
        return True


def run(processes, seconds, is_up):
    """Return the calls that reach the platform in each second, by kind."""
    fleet = [Process(number, processes) for number in range(processes)]
    seen = [Counter() for _ in range(seconds)]
    for tick in range(int(seconds / TICK_S)):
        now = tick * TICK_S
        for process in fleet:
            seen[int(now)] += process.call(now, is_up(now))
    return seen


@pytest.mark.parametrize("processes", [21, 150])
def test_long_outage_is_probed_rarely_and_its_end_makes_no_burst(processes):
    seen = run(processes, 130, lambda now: int(now) not in OUTAGE)
    attempts = [sum(second.values()) for second in seen]
    during = attempts[OUTAGE.start + 10 : OUTAGE.stop]
    assert max(during) <= processes, "more than a probe a second from each process"
    assert sum(during) / len(during) <= processes / 2
    for second in seen[OUTAGE.stop :]:
        assert second[CallKind.WRITE] <= PLATFORM_WRITES_PER_S
        assert second[CallKind.READ] <= PLATFORM_READS_PER_S
    steady = max(attempts[10 : OUTAGE.start])
    assert max(attempts[OUTAGE.stop :]) <= 1.1 * steady, "a burst after the outage"
    assert min(attempts[OUTAGE.stop + 10 :]) >= 0.9 * steady, "calls did not come back"


def test_flapping_stays_in_budget_and_bounds_attempts():
    processes = 21
    seen = run(processes, 120, lambda now: now % 10 < 5)
    for second in seen[3:]:
        assert second[CallKind.WRITE] <= PLATFORM_WRITES_PER_S
        assert second[CallKind.READ] <= PLATFORM_READS_PER_S
    for flap in range(2, 12):
        down = seen[flap * 10 + 5 : flap * 10 + 10]
        attempts = sum(sum(second.values()) for second in down)
        assert attempts <= processes * (FAILURES_TO_OPEN + 8)

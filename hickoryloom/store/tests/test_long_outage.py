"""Outages and flapping of several minutes for a fleet of clients, on a simulated clock."""

from collections import Counter
from random import Random

import pytest

from hickoryloom.store import CallBudget, CallKind, CallPriority, CircuitBreaker
from hickoryloom.store.breaker import FAILURES_TO_OPEN
from hickoryloom.store.budget import PLATFORM_READS_PER_S, PLATFORM_WRITES_PER_S

TICK_S = 0.1
CALLS_PER_TICK = 4
OUTAGE = range(20, 100)


class Process:
    """One process that always attempts more calls than its budget allows."""

    def __init__(self, number, processes):
        self.budget = CallBudget(0.0, processes=processes)
        self.breaker = CircuitBreaker(Random(number))
        self.random = Random(number + 10_000)
        self.scheduled = []

    def call(self, now, up):
        """Make the calls of one tick; return the number that reach the platform, by kind."""
        for _ in range(CALLS_PER_TICK):
            kind = self.random.choice([CallKind.READ, CallKind.WRITE])
            priority = self.random.choice(list(CallPriority))
            if self.breaker.wait_s(now) > 0:
                continue
            wait_s = self.budget.acquire(kind, priority, now)
            if wait_s is not None:
                self.scheduled.append((now + wait_s, kind))
        due = [kind for time, kind in self.scheduled if time <= now]
        self.scheduled = [(time, kind) for time, kind in self.scheduled if time > now]
        return Counter(kind for kind in due if self.send(now, up))

    def send(self, now, up):
        if not self.breaker.try_start(now):
            return False
        if not up:
            self.breaker.record_failure(now)
        elif self.breaker.record_success():
            self.budget.drop_burst(now)
        return True


def run(processes, seconds, is_up):
    """Return the number of calls that reach the platform in each second, by kind."""
    fleet = [Process(number, processes) for number in range(processes)]
    received = [Counter() for _ in range(seconds)]
    for tick in range(int(seconds / TICK_S)):
        now = tick * TICK_S
        for process in fleet:
            received[int(now)] += process.call(now, is_up(now))
    return received


@pytest.mark.parametrize("processes", [21, 150])
def test_long_outage_is_probed_rarely_and_ends_without_a_burst(processes):
    received = run(processes, 130, lambda now: int(now) not in OUTAGE)
    attempts = [sum(second.values()) for second in received]
    during = attempts[OUTAGE.start + 10 : OUTAGE.stop]
    assert max(during) <= processes, "more than one probe per second and process"
    assert sum(during) / len(during) <= processes / 2
    for second in received[OUTAGE.stop :]:
        assert second[CallKind.WRITE] <= PLATFORM_WRITES_PER_S
        assert second[CallKind.READ] <= PLATFORM_READS_PER_S
    steady = max(attempts[10 : OUTAGE.start])
    assert max(attempts[OUTAGE.stop :]) <= 1.1 * steady, "burst of calls after the outage"
    assert min(attempts[OUTAGE.stop + 10 :]) >= 0.9 * steady, "calls did not resume"


def test_flapping_stays_within_the_budget_and_limits_attempts():
    processes = 21
    received = run(processes, 120, lambda now: now % 10 < 5)
    for second in received[3:]:
        assert second[CallKind.WRITE] <= PLATFORM_WRITES_PER_S
        assert second[CallKind.READ] <= PLATFORM_READS_PER_S
    for flap in range(2, 12):
        down = received[flap * 10 + 5 : flap * 10 + 10]
        attempts = sum(sum(second.values()) for second in down)
        assert attempts <= processes * (FAILURES_TO_OPEN + 8)

"""The call budget holds in any time span, is shared by the fleet, and prefers urgent calls."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.store import CallBudget, CallKind, CallPriority
from hickoryloom.store.budget import (
    BURST_S,
    FLEET_SHARE,
    MAX_WAIT_S,
    MAX_WATCHES,
    MIN_BURST_CALLS,
    PLATFORM_READS_PER_S,
    PLATFORM_WRITES_PER_S,
)

DELAYS = st.sampled_from([0.0, 0.0, 0.001, 0.05, 0.5, 3.0, 600.0])
PRIORITIES = st.sampled_from(list(CallPriority))
KINDS = st.sampled_from([CallKind.READ, CallKind.WRITE])
CALLS = st.lists(st.tuples(DELAYS, KINDS, PRIORITIES), max_size=200)


@given(CALLS, st.sampled_from([1, 7, 24, 1110]))
def test_calls_in_any_time_span_stay_within_the_budget(calls, processes):
    budget = CallBudget(0.0, processes=processes)
    now = 0.0
    accepted = {CallKind.READ: [], CallKind.WRITE: []}
    for delay, kind, priority in calls:
        now += delay
        wait_s = budget.acquire(kind, priority, now)
        if wait_s is not None:
            assert 0 <= wait_s <= MAX_WAIT_S[priority]
            accepted[kind].append(now + wait_s)
    for kind, times in accepted.items():
        times.sort()
        capacity = max(MIN_BURST_CALLS, budget.rate(kind) * BURST_S)
        for first in range(len(times)):
            for last in range(first, len(times)):
                span = times[last] - times[first]
                assert last - first + 1 <= capacity + budget.rate(kind) * span + 1.001


@given(st.sampled_from([7, 24, 200]), KINDS, st.integers(1, 200))
def test_continuous_calls_pass_at_the_configured_rate(processes, kind, step_ms):
    budget = CallBudget(0.0, processes=processes)
    span_s, accepted = 60.0, 0
    for step in range(int(span_s * 1000 / step_ms)):
        wait_s = budget.acquire(kind, CallPriority.URGENT, step * step_ms / 1000)
        accepted += wait_s is not None
    capacity = max(MIN_BURST_CALLS, budget.rate(kind) * BURST_S)
    longest_wait_s = MAX_WAIT_S[CallPriority.URGENT]
    assert accepted <= capacity + budget.rate(kind) * (span_s + longest_wait_s) + 1
    requested = span_s * 1000 / step_ms
    assert accepted >= min(requested * 0.95, budget.rate(kind) * span_s * 0.95)


@given(st.integers(1, 2000))
def test_all_processes_together_stay_below_the_platform_limits(processes):
    budget = CallBudget(0.0)
    budget.set_processes(processes, 0.0)
    assert processes * budget.rate(CallKind.WRITE) <= PLATFORM_WRITES_PER_S * FLEET_SHARE + 1e-6
    assert processes * budget.rate(CallKind.READ) <= PLATFORM_READS_PER_S * FLEET_SHARE + 1e-6


@pytest.mark.parametrize("kind", [CallKind.READ, CallKind.WRITE])
def test_background_and_normal_calls_leave_capacity_for_urgent_ones(kind):
    budget = CallBudget(0.0, processes=24)
    for priority in (CallPriority.BACKGROUND, CallPriority.NORMAL):
        while budget.acquire(kind, priority, 0.0) == 0.0:
            pass
    assert budget.acquire(kind, CallPriority.BACKGROUND, 0.0) is None
    assert budget.acquire(kind, CallPriority.URGENT, 0.0) == 0.0


def test_budget_refills_up_to_its_capacity():
    budget = CallBudget(0.0, processes=24)
    while budget.acquire(CallKind.WRITE, CallPriority.URGENT, 0.0) == 0.0:
        pass
    acquired = 0
    while budget.acquire(CallKind.WRITE, CallPriority.URGENT, 3600.0) == 0.0:
        acquired += 1
    assert acquired == int(budget.rate(CallKind.WRITE) * BURST_S)


def test_retry_after_of_a_refused_call_is_sufficient():
    budget = CallBudget(0.0, processes=24)
    while budget.acquire(CallKind.WRITE, CallPriority.BACKGROUND, 0.0) is not None:
        pass
    wait_s = budget.retry_after_s(CallKind.WRITE, CallPriority.BACKGROUND, 0.0)
    assert wait_s > 0
    assert budget.acquire(CallKind.WRITE, CallPriority.BACKGROUND, wait_s + 1e-6) == 0.0


def test_an_incomplete_process_count_raises_the_share_gradually():
    budget = CallBudget(0.0, processes=1000)
    before = budget.rate(CallKind.WRITE)
    budget.set_processes(1, 0.0)
    assert budget.rate(CallKind.WRITE) <= 2 * before
    budget.set_processes(2000, 0.0)
    assert budget.rate(CallKind.WRITE) == before / 2


def test_open_watches_are_limited():
    budget = CallBudget(0.0, processes=1)
    acquired = [
        budget.acquire(CallKind.WATCH, CallPriority.NORMAL, 0.0) for _ in range(MAX_WATCHES)
    ]
    assert None not in acquired
    assert budget.acquire(CallKind.WATCH, CallPriority.NORMAL, 0.0) is None
    budget.release_watch()
    assert budget.acquire(CallKind.WATCH, CallPriority.NORMAL, 0.0) is not None

"""A holder that was fenced off by a higher term must never act under its own term again."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.leases import LeaseState, LeaseTimes, ReadStep, WriteStep
from hickoryloom.verdict import Applied

TIMES = LeaseTimes.from_duration(3.0)


def acquire(state, now, version):
    """Drive a candidate until it has acquired the lease; return the write step."""
    step = state.next_step(now)
    if isinstance(step, ReadStep):
        state.on_read(now, 0, None)
        step = state.next_step(now)
    assert isinstance(step, WriteStep)
    state.on_write(now, step, Applied.APPLIED, version)
    return step


def test_right_ends_immediately():
    state = LeaseState("me", TIMES)
    acquire(state, 0.0, 1)
    assert state.current_grant(0.5).term == 1
    state.resign(1)
    assert state.current_grant(0.5) is None


@given(st.lists(st.floats(0.05, 2.0), min_size=1, max_size=40))
def test_the_same_term_is_never_used_again(pauses):
    state = LeaseState("me", TIMES)
    step = acquire(state, 0.0, 1)
    record, version = step.record, 1
    state.resign(1)
    now = 0.0
    for pause in pauses:
        now += pause
        step = state.next_step(now)
        if isinstance(step, ReadStep):
            state.on_read(now, version, record)
        elif isinstance(step, WriteStep):
            version += 1
            record = step.record
            state.on_write(now, step, Applied.APPLIED, version)
        grant = state.current_grant(now)
        assert grant is None or grant.term > 1

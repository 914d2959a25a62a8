from random import Random

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.gateway.budget import SharedRetryBudget
from hickoryloom.gateway.refusals import refuse
from hickoryloom.verdict import Verdict

RATIO, SLACK, WINDOW_S, INSTANCES = 0.2, 54.0, 10.0, 7
STEPS = st.lists(
    st.tuples(st.floats(0, 3), st.integers(0, INSTANCES - 1), st.booleans()), max_size=200
)


@given(STEPS)
def test_all_instances_together_stay_within_the_budget_in_any_window(steps):
    budgets = [SharedRetryBudget(RATIO, SLACK, WINDOW_S, INSTANCES) for _ in range(INSTANCES)]
    now = 0.0
    first_sends, retries = [], []
    for seconds, instance, retry in steps:
        now += seconds
        if not retry:
            budgets[instance].record_first_send(now)
            first_sends.append(now)
        elif budgets[instance].try_acquire(now):
            retries.append(now)
        recent_retries = [at for at in retries if at > now - WINDOW_S]
        recent_first = [at for at in first_sends if at > now - WINDOW_S]
        assert len(recent_retries) <= RATIO * len(recent_first) + SLACK


def test_refusal_states_not_run_only_if_certain():
    for reason in ("timeout", "no-backend-server", "cut", "retry-budget"):
        assert refuse(0, reason, Verdict.NOT_RUN).status == 503
        for verdict in (Verdict.MAY_HAVE_RUN, Verdict.RAN):
            refusal = refuse(0, reason, verdict, 5.0, Random(1))
            assert refusal.status in (502, 504)
            assert refusal.retry_after_s is None


@given(st.floats(0, 12), st.integers())
def test_retry_after_is_at_most_a_third_of_the_remaining_time(left_s, seed):
    refusal = refuse(0, "no-backend-server", Verdict.NOT_RUN, left_s, Random(seed))
    assert 0 <= refusal.retry_after_s <= left_s / 3


def test_a_caller_of_a_stopping_instance_may_return_at_once():
    """Guards against callers that wait although any other instance can serve them."""
    assert refuse(0, "stopping", Verdict.NOT_RUN, 4.0, Random(1)).retry_after_s == 0

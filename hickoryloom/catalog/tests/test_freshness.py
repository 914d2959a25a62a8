from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.catalog import ViewAge

REVOKE_S = 5.0
TIMES = st.floats(min_value=0, max_value=100)


def test_no_key_is_trusted_before_the_first_read():
    view = ViewAge(REVOKE_S)
    assert not view.allows_keys(0.0)
    assert not view.ready_for_callers(0.0)


@given(st.lists(TIMES, min_size=1), TIMES)
def test_a_key_is_trusted_only_within_the_time_limit_of_a_read(sent_times, now):
    view = ViewAge(REVOKE_S)
    for at in sent_times:
        view.confirm(at)
    if view.allows_keys(now):
        assert now - max(sent_times) < REVOKE_S


@given(TIMES, TIMES)
def test_readiness_fails_before_keys_are_distrusted(sent_at, now):
    view = ViewAge(REVOKE_S)
    view.confirm(sent_at)
    if view.ready_for_callers(now):
        assert view.allows_keys(now)


def test_a_late_response_does_not_make_the_view_older():
    view = ViewAge(REVOKE_S)
    view.confirm(10.0)
    view.confirm(8.0)
    assert view.age(11.0) == 1.0

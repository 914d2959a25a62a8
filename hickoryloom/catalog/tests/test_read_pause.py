import pytest

from hickoryloom.catalog.follower import READ_MARGIN_S, read_pause_s
from hickoryloom.catalog.freshness import READY_AGE_FRACTION, ViewAge


@pytest.mark.parametrize("apply_s", [0.5, 1.0, 2.0, 3.0, 7.0])
def test_a_change_is_read_before_the_time_limit(apply_s):
    pause_s = read_pause_s(5.0, apply_s)
    assert 0 < pause_s < apply_s
    assert apply_s - pause_s >= min(READ_MARGIN_S, 0.75 * apply_s)


@pytest.mark.parametrize("revoke_s", [0.2, 1.0, 1.4, 5.0])
def test_a_short_time_limit_for_withdrawn_keys_leaves_a_pause(revoke_s):
    assert 0 < read_pause_s(revoke_s, 2.0) < READY_AGE_FRACTION * revoke_s


@pytest.mark.parametrize("apply_s", [2.0, 4.0, 7.0])
def test_the_view_stays_young_enough_for_readiness_between_two_reads(apply_s):
    view = ViewAge(5.0)
    view.confirm(0.0)
    assert view.ready_for_callers(read_pause_s(5.0, apply_s) + 0.5)

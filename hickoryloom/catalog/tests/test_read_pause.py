import pytest

from hickoryloom.catalog.follower import READ_MARGIN_S, read_pause_s


@pytest.mark.parametrize("apply_s", [0.5, 1.0, 2.0, 3.0, 7.0])
def test_a_change_is_read_before_the_time_limit(apply_s):
    pause_s = read_pause_s(apply_s)
    assert 0 < pause_s < apply_s
    assert apply_s - pause_s >= min(READ_MARGIN_S, 0.75 * apply_s)

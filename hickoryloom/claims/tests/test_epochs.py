"""Epochs last at least an hour, also with suspended or replaced processes and stale reads."""

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.claims.epochs import EPOCH_S, MAX_VIEW_AGE_S, EpochView

STEPS = st.lists(
    st.tuples(
        st.integers(0, 2),
        st.sampled_from(["read", "stale-read", "move", "replace"]),
        st.sampled_from([0.0, 1.0, 600.0, EPOCH_S / 2, EPOCH_S, 30 * EPOCH_S]),
    ),
    max_size=60,
)


@given(STEPS)
def test_no_epoch_is_shorter_than_an_hour(steps):
    now, epoch, version, began = 0.0, 1, 1, [0.0]
    views = [EpochView() for _ in range(3)]
    for process, action, seconds in steps:
        now += seconds
        view = views[process]
        if action == "read":
            view.observe(epoch, version, now, now)
        elif action == "stale-read" and version > 1:
            view.observe(epoch - 1, version - 1, now, now)
        elif action == "replace":
            views[process] = EpochView()
        elif action == "move" and view.is_due(now) and view.version == version:
            epoch, version = epoch + 1, version + 1
            assert now - began[-1] >= EPOCH_S
            began.append(now)


def test_epoch_is_due_after_an_hour_without_change():
    view = EpochView()
    view.observe(1, 1, 0.0, 0.0)
    view.observe(1, 1, EPOCH_S - 1, EPOCH_S - 1)
    assert not view.is_due(EPOCH_S - 1)
    assert view.is_due(EPOCH_S)
    assert not view.is_fresh(EPOCH_S * 2)


def test_epoch_of_a_lost_store_is_accepted_once_the_view_is_old():
    view = EpochView()
    view.observe(9, 9, 0.0, 0.0)
    view.observe(1, 1, 10.0, 10.0)
    assert view.epoch == 9
    later = MAX_VIEW_AGE_S + 11.0
    view.observe(1, 1, later, later)
    assert (view.epoch, view.is_fresh(later)) == (1, True)
    assert not view.is_due(later + EPOCH_S - 1)

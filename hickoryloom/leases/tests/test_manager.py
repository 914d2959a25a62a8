import gevent

from hickoryloom.clock import SystemClock
from hickoryloom.leases import LeaseKeeper
from hickoryloom.leases.tests.fakes import MemoryStore

DURATION_S = 0.4


class NoWallClock(SystemClock):
    """A clock that fails the test when wall time is read."""

    def wall(self):
        raise AssertionError("leases must not depend on the wall clock")


def make_keeper(store, name):
    return LeaseKeeper("fleet", store, NoWallClock(), name, DURATION_S)


def wait_for(condition, timeout_s=10.0):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.01)


def test_only_one_keeper_holds_and_stop_hands_over_with_a_higher_term():
    store = MemoryStore()
    first, second = make_keeper(store, "a"), make_keeper(store, "b")
    first.start()
    wait_for(first.right)
    second.start()
    gevent.sleep(DURATION_S)
    assert second.right() is None
    term = first.right().term
    first.stop()
    assert first.right() is None
    wait_for(second.right)
    assert second.right().term == term + 1
    second.stop()


def test_guard_of_an_old_term_fails_after_release():
    store = MemoryStore()
    first = make_keeper(store, "a")
    first.start()
    wait_for(first.right)
    guard = first.guard(first.right())
    assert guard()
    first.stop()
    assert not guard()


def test_acquisition_with_a_lost_response_is_confirmed_by_a_read():
    store = MemoryStore(lose_answers=1)
    keeper = make_keeper(store, "a")
    keeper.start()
    wait_for(keeper.right)
    assert keeper.right().term == 1
    keeper.stop()


def test_right_expires_during_an_outage_and_is_regained_afterwards():
    store = MemoryStore()
    keeper = make_keeper(store, "a")
    keeper.start()
    wait_for(keeper.right)
    store.down = True
    wait_for(lambda: keeper.right() is None)
    store.down = False
    wait_for(keeper.right)
    keeper.stop()


def test_malformed_lease_record_is_not_overwritten():
    store = MemoryStore(objects={"leases/fleet": (3, {"holder": "x"})})
    keeper = make_keeper(store, "a")
    keeper.start()
    gevent.sleep(2 * DURATION_S)
    assert keeper.right() is None
    assert store.objects["leases/fleet"] == (3, {"holder": "x"})
    keeper.stop()


def test_stop_of_a_candidate_does_not_change_the_lease():
    store = MemoryStore()
    holder, other = make_keeper(store, "a"), make_keeper(store, "b")
    holder.start()
    wait_for(holder.right)
    other.start()
    gevent.sleep(0.1)
    other.stop()
    assert store.objects["leases/fleet"][1]["holder"] == "a"
    holder.stop()

import gevent

from hickoryloom.clock import SystemClock
from hickoryloom.leases import LeaseKeeper
from hickoryloom.leases.tests.fakes import MemoryStore

DURATION_S = 0.4


class NoWallClock(SystemClock):
    """A clock whose wall time nobody may ask for."""

    def wall(self):
        raise AssertionError("no right depends on the wall clock")


def make(store, name):
    return LeaseKeeper("fleet", store, NoWallClock(), name, DURATION_S)


def wait_for(condition, timeout_s=10.0):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.01)


def test_one_of_two_holds_and_a_planned_stop_hands_over_with_a_higher_term():
    store = MemoryStore()
    first, second = make(store, "a"), make(store, "b")
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


def test_guard_of_an_old_term_says_no_after_the_lease_changed_hands():
    store = MemoryStore()
    first = make(store, "a")
    first.start()
    wait_for(first.right)
    guard = first.guard(first.right())
    assert guard()
    first.stop()
    assert not guard()


def test_a_lost_answer_to_taking_the_lease_is_settled_by_reading_back():
    store = MemoryStore(lose_answers=1)
    keeper = make(store, "a")
    keeper.start()
    wait_for(keeper.right)
    assert keeper.right().term == 1
    keeper.stop()


def test_right_ends_during_an_outage_and_comes_back_after_it():
    store = MemoryStore()
    keeper = make(store, "a")
    keeper.start()
    wait_for(keeper.right)
    store.down = True
    wait_for(lambda: keeper.right() is None)
    store.down = False
    wait_for(keeper.right)
    keeper.stop()


def test_an_unreadable_lease_is_not_taken():
    store = MemoryStore(objects={"leases/fleet": (3, {"holder": "x"})})
    keeper = make(store, "a")
    keeper.start()
    gevent.sleep(2 * DURATION_S)
    assert keeper.right() is None
    assert store.objects["leases/fleet"] == (3, {"holder": "x"})
    keeper.stop()


def test_stop_without_the_lease_writes_nothing():
    store = MemoryStore()
    holder, other = make(store, "a"), make(store, "b")
    holder.start()
    wait_for(holder.right)
    other.start()
    gevent.sleep(0.1)
    other.stop()
    assert store.objects["leases/fleet"][1]["holder"] == "a"
    holder.stop()

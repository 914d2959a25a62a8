import gevent

from hickoryloom.clock import SystemClock
from hickoryloom.leases import LeaseManager
from hickoryloom.leases.tests.fakes import MemoryStore

DURATION_S = 0.4


class NoWallClock(SystemClock):
    """A clock that fails the test when wall time is read."""

    def wall(self):
        raise AssertionError("leases must not depend on the wall clock")


def make_manager(store, name):
    return LeaseManager("fleet", store, NoWallClock(), name, DURATION_S)


def wait_for(condition, timeout_s=10.0):
    with gevent.Timeout(timeout_s):
        while not condition():
            gevent.sleep(0.01)


def test_only_one_manager_holds_and_stop_hands_over_with_a_higher_term():
    store = MemoryStore()
    first, second = make_manager(store, "a"), make_manager(store, "b")
    first.start()
    wait_for(first.current_grant)
    second.start()
    gevent.sleep(DURATION_S)
    assert second.current_grant() is None
    term = first.current_grant().term
    first.stop()
    assert first.current_grant() is None
    wait_for(second.current_grant)
    assert second.current_grant().term == term + 1
    second.stop()


def test_guard_of_an_old_term_fails_after_release():
    store = MemoryStore()
    first = make_manager(store, "a")
    first.start()
    wait_for(first.current_grant)
    guard = first.guard(first.current_grant())
    assert guard()
    first.stop()
    assert not guard()


def test_acquisition_with_a_lost_response_is_confirmed_by_a_read():
    store = MemoryStore(lose_answers=1)
    manager = make_manager(store, "a")
    manager.start()
    wait_for(manager.current_grant)
    assert manager.current_grant().term == 1
    manager.stop()


def test_right_expires_during_an_outage_and_is_regained_afterwards():
    store = MemoryStore()
    manager = make_manager(store, "a")
    manager.start()
    wait_for(manager.current_grant)
    store.down = True
    wait_for(lambda: manager.current_grant() is None)
    store.down = False
    wait_for(manager.current_grant)
    manager.stop()


def test_malformed_lease_record_is_not_overwritten():
    store = MemoryStore(objects={"leases/fleet": (3, {"holder": "x"})})
    manager = make_manager(store, "a")
    manager.start()
    gevent.sleep(2 * DURATION_S)
    assert manager.current_grant() is None
    assert store.objects["leases/fleet"] == (3, {"holder": "x"})
    manager.stop()


def test_stop_of_a_candidate_does_not_change_the_lease():
    store = MemoryStore()
    holder, other = make_manager(store, "a"), make_manager(store, "b")
    holder.start()
    wait_for(holder.current_grant)
    other.start()
    gevent.sleep(0.1)
    other.stop()
    assert store.objects["leases/fleet"][1]["holder"] == "a"
    holder.stop()

"""Withdrawing a key cancels its calls, and no handle leaks."""

import attrs
import gevent
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.clock import ManualClock
from hickoryloom.configuration import Customer, Freshness, KeyRecord, Snapshot
from hickoryloom.keys import OpenCalls, ViewGuard, WithdrawalTask, withdrawn_keys

CUSTOMERS = {name: Customer(name, ("c",)) for name in ("a", "b")}


def snapshot(generation, **customer_of):
    keys = {key: KeyRecord(key, customer, key) for key, customer in customer_of.items()}
    return Snapshot(generation, customers=CUSTOMERS, keys=keys)


class FakeFollower:
    """Provides generations and freshness as set by a test."""

    def __init__(self):
        self.freshness = Freshness(1, 1, seen=0.0)
        self.snapshot = snapshot(1, k1="a", k2="a", k3="b")
        self.subscribers = []

    def subscribe(self, callback):
        self.subscribers.append(callback)

    def put(self, new):
        old, self.snapshot = self.snapshot, new
        for subscriber in self.subscribers:
            subscriber(old, new)


class OpenCallsMachine(RuleBasedStateMachine):
    """Calls start, end and are cancelled; a cancelled or ended call is never cancelled again."""

    def __init__(self):
        super().__init__()
        self.in_force = {"k1", "k2", "k3"}
        self.calls = OpenCalls(lambda key: key in self.in_force)
        self.running = {}
        self.cancelled = []

    @rule(key=st.sampled_from(["", "k1", "k2", "k3"]))
    def register(self, key):
        token = object()
        before = len(self.cancelled)
        handle = self.calls.register(key, lambda: self.cancelled.append(token))
        if key and key not in self.in_force:
            assert len(self.cancelled) == before + 1
        else:
            self.running[handle] = (key, token)

    @rule(data=st.data())
    def release(self, data):
        if self.running:
            handle = data.draw(st.sampled_from(sorted(self.running)))
            self.calls.release(handle)
            self.calls.release(handle)
            del self.running[handle]

    @rule(keys=st.sets(st.sampled_from(["k1", "k2", "k3", "other"])))
    def withdraw(self, keys):
        self.in_force -= keys
        ended = {h: t for h, (key, t) in self.running.items() if key in keys}
        before = len(self.cancelled)
        assert self.calls.withdraw(keys) == len(ended)
        assert set(self.cancelled[before:]) == set(ended.values())
        for handle in ended:
            del self.running[handle]

    @rule(key=st.sampled_from(["k1", "k2", "k3"]))
    def issue(self, key):
        self.in_force.add(key)

    @rule()
    def withdraw_all(self):
        keyed = [handle for handle, (key, _) in self.running.items() if key]
        assert self.calls.withdraw_all() == len(keyed)
        for handle in keyed:
            del self.running[handle]

    @invariant()
    def nothing_leaks(self):
        assert len(self.calls) == len(self.running)
        assert len(set(self.cancelled)) == len(self.cancelled)


TestOpenCalls = OpenCallsMachine.TestCase
TestOpenCalls.settings = settings(max_examples=50, stateful_step_count=30)


def test_a_removed_or_reassigned_key_is_withdrawn():
    old = snapshot(1, k1="a", k2="a", k3="b")
    new = snapshot(2, k1="a", k3="a", k4="b")
    assert withdrawn_keys(old, new) == {"k2", "k3"}
    assert withdrawn_keys(old, old) == set()


def test_known_changes_give_the_same_withdrawals_as_a_comparison():
    old = snapshot(1, k1="a", k2="a", k3="b")
    new = snapshot(2, k1="a", k3="a", k4="b")
    changed = frozenset({"k2", "k3", "k4"})
    with_changes = attrs.evolve(new, changed_from=1, changed_keys=changed)
    assert withdrawn_keys(old, with_changes) == {"k2", "k3"}
    with_changes_from_another = attrs.evolve(new, changed_from=0, changed_keys=frozenset())
    assert withdrawn_keys(old, with_changes_from_another) == {"k2", "k3"}


def test_a_new_generation_cancels_only_calls_of_withdrawn_keys():
    follower, clock = FakeFollower(), ManualClock()
    calls = OpenCalls(lambda key: key in follower.snapshot.keys)
    WithdrawalTask(follower, ViewGuard(follower), calls, clock)
    ended = []
    for key in ("k1", "k2", ""):
        calls.register(key, lambda key=key: ended.append(key))
    follower.put(snapshot(2, k1="a"))
    assert ended == ["k2"]
    assert len(calls) == 2
    calls.register("k2", lambda: ended.append("late"))
    assert ended == ["k2", "late"]


def test_a_view_that_is_too_old_cancels_only_calls_with_a_key():
    follower, clock = FakeFollower(), ManualClock(3.9)
    calls = OpenCalls()
    task = WithdrawalTask(follower, ViewGuard(follower), calls, clock)
    ended = []
    calls.register("k1", lambda: ended.append("k1"))
    calls.register("", lambda: ended.append("open"))
    task.start()
    gevent.sleep(0.05)
    assert ended == []
    clock.advance(0.2)
    gevent.sleep(0.6)
    assert ended == ["k1"]
    task.stop()

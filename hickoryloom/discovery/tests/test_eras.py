"""Registrations of a store that has returned from an older copy."""

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hickoryloom.discovery import BackendServer, LiveList
from hickoryloom.discovery.state import COPY_GRACE_S, MISSING_GRACE_S

SERVER = BackendServer("a", "s", "10.0.0.1:80", "zone", 4, started_ms=5)


def live_list(*servers):
    live = LiveList()
    live.on_era(1, 0.0)
    live.on_available(-10.0)
    live.replace(servers, 0.0)
    return live


def begin_era(live, now):
    live.on_era(2, now)
    live.on_available(now)


def test_a_server_that_has_left_is_not_used_because_the_copy_lists_it():
    live = live_list(SERVER)
    live.replace([], 1.0)
    begin_era(live, 10.0)
    live.replace([SERVER], 10.0)
    live.expire(10.0 + COPY_GRACE_S - 0.1)
    assert live.servers == ()
    live.remove("a", 14.0)
    live.expire(10.0 + COPY_GRACE_S)
    assert live.servers == ()


def test_a_server_that_is_still_registered_after_the_grace_period_is_used():
    live = live_list(SERVER)
    live.replace([], 1.0)
    begin_era(live, 10.0)
    live.replace([SERVER], 10.0)
    live.expire(live.next_expiry)
    assert live.servers == (SERVER,)


def test_a_server_that_returned_within_its_era_is_not_withheld_later():
    live = live_list(SERVER)
    live.replace([], 1.0)
    live.put(SERVER)
    begin_era(live, 10.0)
    live.replace([SERVER], 10.0)
    assert live.servers == (SERVER,)


def test_a_server_that_the_copy_lacks_is_missing_and_then_dropped():
    live = live_list(SERVER)
    begin_era(live, 10.0)
    live.replace([], 10.1)
    assert live.servers == (SERVER,)
    live.expire(10.1 + MISSING_GRACE_S)
    assert live.servers == ()


def test_a_registration_of_an_earlier_start_does_not_replace_a_later_one():
    live = live_list(SERVER)
    begin_era(live, 10.0)
    live.replace([attrs.evolve(SERVER, started_ms=4, address="10.0.0.9:80")], 10.1)
    assert live.servers == (SERVER,)
    live.expire(10.1 + MISSING_GRACE_S)
    assert live.servers == ()


def test_a_server_that_announced_its_leaving_is_never_used_again():
    live = live_list(SERVER)
    live.mark_leaving("a", SERVER.started_ms)
    live.replace([], 1.0)
    begin_era(live, 10.0)
    live.replace([SERVER], 10.0)
    live.expire(10.0 + COPY_GRACE_S)
    assert live.get("a").leaving
    live.put(attrs.evolve(SERVER, started_ms=6))
    assert not live.get("a").leaving


class Eras(RuleBasedStateMachine):
    """Servers start and leave while the store returns from copies.

    A server that has left and was dropped from the list must never be on it again.
    """

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.era = 1
        self.starts = 0
        self.alive = {}
        self.registered = {}
        self.copies = [{}]
        self.returned_at = float("-inf")
        self.dropped = set()
        self.live = LiveList()
        self.live.on_available(-10.0)
        self.read()

    @rule(id=st.sampled_from("abc"))
    def start_server(self, id):
        self.starts += 1
        self.alive[id] = self.registered[id] = attrs.evolve(SERVER, id=id, started_ms=self.starts)
        self.copies.append(dict(self.registered))

    @rule(id=st.sampled_from("abc"))
    def stop_server(self, id):
        self.alive.pop(id, None)
        self.registered.pop(id, None)
        self.copies.append(dict(self.registered))

    @rule(writes_lost=st.integers(0, 5))
    def return_from_copy(self, writes_lost):
        self.registered = dict(self.copies[max(0, len(self.copies) - 1 - writes_lost)])
        self.era += 1
        self.returned_at = self.now

    @rule()
    def write_registrations_again(self):
        self.registered.update(self.alive)

    @rule()
    def read(self):
        before = set(self.live.servers)
        self.live.on_era(self.era, self.now)
        self.live.on_available(max(self.returned_at, -10.0))
        self.live.replace(self.registered.values(), self.now)
        self._record_changes(before)

    @rule(seconds=st.floats(min_value=0.1, max_value=3.0))
    def advance_clock(self, seconds):
        self.now += seconds
        if self.now >= self.returned_at + COPY_GRACE_S:
            living = self.alive.items()
            self.registered = {id: server for id, server in living if id in self.registered}
            self.read()
        before = set(self.live.servers)
        self.live.expire(self.now)
        self._record_changes(before)

    def _record_changes(self, before):
        after = set(self.live.servers)
        self.dropped |= before - after
        self.dropped -= {server for server in after if self.alive.get(server.id) == server}

    @invariant()
    def no_server_that_has_left_returns(self):
        assert not self.dropped & set(self.live.servers)

    @invariant()
    def the_next_expiry_is_in_the_future(self):
        expiry = self.live.next_expiry
        assert expiry is None or expiry > self.now


TestEras = Eras.TestCase
TestEras.settings = settings(max_examples=200, stateful_step_count=40, deadline=None)

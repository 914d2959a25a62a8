import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickoryloom.discovery import BackendServer, LiveList
from hickoryloom.discovery.state import REREGISTRATION_GRACE_S

SERVER = BackendServer("a", "s", "10.0.0.1:80", "zone", 4, started_ms=1)


def test_removal_while_the_store_is_available_is_immediate():
    live = LiveList()
    live.replace([SERVER], 0.0)
    live.replace([], 1.0)
    assert live.servers == ()


def test_registration_lost_in_an_outage_is_kept_for_the_grace_period():
    live = LiveList()
    live.replace([SERVER], 0.0)
    live.on_store_lost()
    live.remove("a", 1.0)
    live.on_store_response(5.0)
    live.replace([], 5.0)
    live.expire(5.0 + REREGISTRATION_GRACE_S - 0.1)
    assert live.servers == (SERVER,)
    live.expire(5.0 + REREGISTRATION_GRACE_S)
    assert live.servers == ()


def test_registration_renewed_within_the_grace_period_stays():
    live = LiveList()
    live.replace([SERVER], 0.0)
    live.on_store_lost()
    live.on_store_response(5.0)
    live.replace([], 5.0)
    live.put(SERVER)
    live.expire(8.0)
    assert live.servers == (SERVER,)


def test_leaving_is_permanent_until_a_restart():
    live = LiveList()
    live.put(attrs.evolve(SERVER, leaving=True))
    live.put(SERVER)
    assert live.get("a").leaving
    live.put(attrs.evolve(SERVER, started_ms=2))
    assert not live.get("a").leaving


class Lapses(RuleBasedStateMachine):
    """A missing server may be dropped only after the store was available for the grace period."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.store_lost = False
        self.recovered_at = -REREGISTRATION_GRACE_S
        self.registered = set()
        self.live = LiveList()

    @rule(id=st.sampled_from("abc"))
    @precondition(lambda self: not self.store_lost)
    def register(self, id):
        self.registered.add(id)
        self.live.put(attrs.evolve(SERVER, id=id))

    @rule(id=st.sampled_from("abc"))
    def remove(self, id):
        known = self.live.get(id) is not None
        self.live.remove(id, self.now)
        if known and (self.store_lost or self.now < self.recovered_at + REREGISTRATION_GRACE_S):
            assert self.live.get(id) is not None
        self.registered.discard(id)

    @rule()
    def lose_store(self):
        self.store_lost = True
        self.live.on_store_lost()

    @rule()
    def recover_store(self):
        if self.store_lost:
            self.recovered_at = self.now
        self.store_lost = False
        self.live.on_store_response(self.now)

    @rule(seconds=st.floats(min_value=0.1, max_value=3.0))
    def advance_clock(self, seconds):
        self.now += seconds
        self.live.expire(self.now)

    @invariant()
    def registered_servers_are_kept(self):
        assert self.registered <= {server.id for server in self.live.servers}

    @invariant()
    def missing_servers_are_dropped_after_the_grace_period(self):
        if not self.store_lost and self.now >= self.recovered_at + REREGISTRATION_GRACE_S:
            self.live.expire(self.now)
            assert {server.id for server in self.live.servers} == self.registered


TestLapses = Lapses.TestCase
TestLapses.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from hickoryloom.discovery import BackendServer, LiveList
from hickoryloom.discovery.state import MISSING_GRACE_S, REREGISTRATION_GRACE_S

SERVER = BackendServer("a", "s", "10.0.0.1:80", "zone", 4, started_ms=1)


def test_removal_while_the_store_is_available_is_immediate():
    live = LiveList()
    live.on_available(-10.0)
    live.replace([SERVER], 0.0)
    live.replace([], 1.0)
    assert live.servers == ()


def test_registration_lost_in_an_outage_is_kept_for_the_grace_period():
    live = LiveList()
    live.replace([SERVER], 0.0)
    live.on_available(5.0)
    live.replace([], 5.3)
    live.expire(5.0 + REREGISTRATION_GRACE_S - 0.1)
    assert live.servers == (SERVER,)
    live.expire(5.0 + REREGISTRATION_GRACE_S)
    assert live.servers == ()


def test_registration_renewed_within_the_grace_period_stays():
    live = LiveList()
    live.replace([SERVER], 0.0)
    live.on_available(5.0)
    live.replace([], 5.0)
    live.put(SERVER)
    live.expire(8.0)
    assert live.servers == (SERVER,)


def test_a_second_outage_does_not_extend_the_grace_period():
    live = LiveList()
    live.replace([SERVER], 0.0)
    live.on_available(5.0)
    live.replace([], 5.0)
    live.on_available(6.5)
    live.replace([], 6.5)
    live.expire(5.0 + REREGISTRATION_GRACE_S)
    assert live.servers == ()


def test_leaving_is_permanent_until_a_restart():
    live = LiveList()
    live.put(attrs.evolve(SERVER, leaving=True))
    live.put(SERVER)
    assert live.get("a").leaving
    live.put(attrs.evolve(SERVER, started_ms=2))
    assert not live.get("a").leaving


def test_a_registration_that_names_no_start_is_that_of_the_known_start():
    live = LiveList()
    live.put(SERVER)
    live.put(attrs.evolve(SERVER, started_ms=0, slots=5))
    assert live.get("a") == attrs.evolve(SERVER, slots=5)


def test_a_server_that_leaves_still_does_when_its_start_becomes_known():
    live = LiveList()
    live.put(attrs.evolve(SERVER, started_ms=0))
    assert live.mark_leaving("a", 0)
    live.put(SERVER)
    assert live.get("a").leaving


class Lapses(RuleBasedStateMachine):
    """A missing server is kept for the rest of the grace period, and never longer than that."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.available = False
        self.recovered_at = 0.0
        self.registered = set()
        self.removal_seen_at = {}
        self.live = LiveList()

    @rule(id=st.sampled_from("abc"))
    @precondition(lambda self: self.available)
    def register(self, id):
        self.registered.add(id)
        self.removal_seen_at.pop(id, None)
        self.live.put(attrs.evolve(SERVER, id=id))

    @rule(id=st.sampled_from("abc"))
    @precondition(lambda self: self.available)
    def remove(self, id):
        known = self.live.get(id) is not None
        self.live.remove(id, self.now)
        self.removal_seen_at.setdefault(id, self.now)
        if known and id in self.registered:
            grace_end = self.recovered_at + REREGISTRATION_GRACE_S
            assert (self.live.get(id) is not None) == (self.now < grace_end)
        self.registered.discard(id)

    @rule()
    def lose_store(self):
        self.available = False

    @rule()
    @precondition(lambda self: not self.available)
    def recover_store(self):
        self.available = True
        self.recovered_at = self.now
        self.live.on_available(self.now)

    @rule(seconds=st.floats(min_value=0.1, max_value=3.0))
    def advance_clock(self, seconds):
        self.now += seconds
        self.live.expire(self.now)

    @invariant()
    def registered_servers_are_kept(self):
        assert self.registered <= {server.id for server in self.live.servers}

    @invariant()
    def a_missing_server_is_dropped_in_time(self):
        for id, seen_at in self.removal_seen_at.items():
            if self.now >= seen_at + MISSING_GRACE_S:
                assert self.live.get(id) is None

    @invariant()
    def the_next_expiry_is_in_the_future(self):
        expiry = self.live.next_expiry
        assert expiry is None or expiry > self.now


TestLapses = Lapses.TestCase
TestLapses.settings = settings(max_examples=60, stateful_step_count=30, deadline=None)

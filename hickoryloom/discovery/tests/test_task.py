"""Plays outages, flapping and departures against the discovery task on a simulated clock."""

import attrs
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from result import Err, Ok

from hickoryloom.clock import ManualClock
from hickoryloom.discovery import BackendServer, Discovery
from hickoryloom.leases.tests.fakes import DOWN
from hickoryloom.store import Availability, Change, Listing, Versioned, WatchBatch

LEAVING_BOUND_S = 2.0
TICK_S = 0.05
SERVER = BackendServer("a", "s", "10.0.0.1:80", "zone", 4, started_ms=1)
IDS = "abcd"


@attrs.define
class Script:
    """What happens to the store and to registrations, and when."""

    outages: list
    events: list

    def is_down(self, now):
        return any(start <= now < end for start, end in self.outages)

    def registered(self, now):
        """Return the IDs registered at `now`."""
        present = set(IDS)
        for time, id, added in self.events:
            if time <= now:
                (present.add if added else present.discard)(id)
        return present

    def next_change(self, since, until):
        times = [time for time, _, _ in self.events if since < time <= until]
        return min(times, default=None)


class ScriptedClient:
    """Store client that advances the clock as calls take their time."""

    era = 0

    def __init__(self, clock, script, on_tick):
        self.clock = clock
        self.script = script
        self.on_tick = on_tick
        self.availability = Availability()
        self.watched_at = 0.0
        self.responses = []

    @property
    def objects_available_since(self):
        return self.availability.since

    def pass_time(self, seconds):
        end = self.clock.now + seconds
        while self.clock.now < end - 1e-9:
            self.clock.now = min(end, self.clock.now + TICK_S)
            self.on_tick()

    def list(self, prefix):
        started_at = self.clock.now
        self.pass_time(0.01)
        if self.script.is_down(self.clock.now):
            self.availability.record_failure(started_at)
            return Err(DOWN)
        self.record_response()
        self.watched_at = self.clock.now
        return Ok(Listing(1, tuple(self.item(id) for id in self.present())))

    def watch(self, prefix, since, timeout_s):
        started_at = self.clock.now
        end = started_at + timeout_s
        change = self.script.next_change(self.watched_at, end)
        outage = min(
            (s for s, e in self.script.outages if e > started_at and s <= end), default=None
        )
        if outage is not None and (change is None or outage <= change):
            self.pass_time(max(0.01, outage - started_at))
            self.availability.record_failure(started_at)
            return Err(DOWN)
        self.pass_time(max(0.01, (end if change is None else change) - started_at))
        self.record_response()
        before, present = self.script.registered(self.watched_at), self.present()
        self.watched_at = self.clock.now
        changes = [Change(f"servers/{id}", 1, "up") for id in sorted(present - before)]
        changes += [Change(f"servers/{id}", 1, None) for id in sorted(before - present)]
        return Ok(WatchBatch(1, tuple(changes)))

    def record_response(self):
        self.availability.record_response(self.clock.now)
        self.responses.append(self.clock.now)

    def present(self):
        return self.script.registered(self.clock.now)

    def item(self, id):
        return Versioned(f"servers/{id}", 1, "up")


class Play:
    """Runs a discovery task and records when each backend server was last usable."""

    def __init__(self, script):
        self.clock = ManualClock()
        self.script = script
        self.last_usable = {}
        self.client = ScriptedClient(self.clock, script, self.check)
        self.discovery = Discovery(
            self.client,
            "servers/",
            lambda id, value: attrs.evolve(SERVER, id=id),
            self.clock,
            catch_up_s=3.0,
            leave_s=LEAVING_BOUND_S,
        )

    def check(self):
        for id in IDS:
            if self.discovery.is_usable(attrs.evolve(SERVER, id=id)):
                self.last_usable[id] = self.clock.now

    def run(self, until):
        while self.clock.now < until:
            pause_s = self.discovery._step()
            self.client.pass_time(pause_s)

    def reachable_s(self, since, until):
        """Return the seconds between two times in which the store was up."""
        down = sum(max(0.0, min(e, until) - max(s, since)) for s, e in self.script.outages)
        return until - since - down


def test_a_server_that_leaves_after_an_outage_is_dropped_while_the_watch_is_silent():
    play = Play(Script([(4.0, 8.0)], [(8.8, "a", False)]))
    play.run(14.0)
    assert play.last_usable["a"] <= 8.8 + LEAVING_BOUND_S


@pytest.mark.parametrize("back_s", [0.4, 1.2, 1.7])
def test_a_registration_that_expired_in_an_outage_stays_usable_until_it_returns(back_s):
    play = Play(Script([(4.0, 9.0)], [(6.0, "a", False), (9.0 + back_s, "a", True)]))
    usable_after_return = []
    play.client.on_tick = lambda: usable_after_return.append(
        play.discovery.is_usable(SERVER) or play.clock.now < 0.1
    )
    play.run(16.0)
    assert all(usable_after_return)


def test_the_end_of_a_call_that_began_before_the_recovery_starts_no_outage():
    availability = Availability()
    availability.record_response(1.0)
    availability.record_failure(2.0)
    availability.record_response(3.0)
    availability.record_failure(2.5)
    assert availability.since == 3.0


times = st.floats(min_value=1.0, max_value=20.0)


@settings(max_examples=150, deadline=None)
@given(
    outages=st.lists(st.tuples(times, st.floats(min_value=0.2, max_value=4.0)), max_size=4),
    leaves=st.dictionaries(st.sampled_from(IDS), times, max_size=4),
)
def test_no_server_is_usable_two_seconds_after_it_left_while_the_store_was_reachable(
    outages, leaves
):
    spans = []
    for start, length in sorted(outages):
        start = max(start, spans[-1][1] + 0.3 if spans else 0.0)
        spans.append((start, start + length))
    script = Script(spans, sorted((time, id, False) for id, time in leaves.items()))
    play = Play(script)
    play.run(30.0)
    for id, left_at in leaves.items():
        last = play.last_usable.get(id, 0.0)
        if last > left_at:
            # The bound runs from the first response after an outage that hid the removal.
            responses = [at for at in play.client.responses if at >= left_at]
            assert play.reachable_s(min(responses, default=last), last) <= LEAVING_BOUND_S

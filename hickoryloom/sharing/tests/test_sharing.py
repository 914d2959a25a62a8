"""A reader and a follower before a store whose contents change, on a simulated clock.

Faults: each of them is cut off from the store, and the reader is suspended, killed or unreachable.
"""

import io
import json
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from hickoryloom.catalog import Catalog, CatalogFollower
from hickoryloom.clock import ManualClock
from hickoryloom.discovery import BackendServer, Discovery
from hickoryloom.evacuations import EvacuationFollower
from hickoryloom.http import CallError, JsonResponse
from hickoryloom.leases.tests.fakes import DOWN
from hickoryloom.placing import PlacementRequest, Placer, PromptSegment, ReportedLoad
from hickoryloom.placing.short_prompts import MAX_STREAM_FILL
from hickoryloom.sharing import Peer, ViewFollower, ViewServer
from hickoryloom.sharing.messages import read_poll
from hickoryloom.sharing.task import POLL_TIMEOUT_S
from hickoryloom.store import Availability, Change, Listing, Versioned, WatchBatch
from hickoryloom.verdict import Applied

TICK_S = 0.05
ROUNDING_S = 1e-6
REVOKE_S = 5.0
APPLY_S = 4.0
LEAVING_BOUND_S = 2.0
CATCH_UP_S = 4.0
EVACUATIONS = "evacuations/"
SERVER = BackendServer("a", "s", "10.0.0.1:80", "d", 4, started_ms=1)


class World:
    """The store's contents, and when they changed."""

    def __init__(self, clock):
        self.clock = clock
        self.revision = 1
        self.versions = [(-1.0, 1)]
        self.servers = {"a": (1, True), "b": (1, True), "c": (1, True)}
        self.evacuated = set()

    def publish(self):
        self.revision += 1
        self.versions.append((self.clock.now, self.revision))

    def set_server(self, id, registered):
        self.revision += 1
        self.servers[id] = (self.revision, registered)

    def set_evacuated(self, domain, evacuated):
        self.revision += 1
        (self.evacuated.add if evacuated else self.evacuated.discard)(domain)

    def version_at(self, time):
        """Return the version at `time`; one published at that time is concurrent with a read."""
        before = time - ROUNDING_S
        return [version for changed_at, version in self.versions if changed_at < before][-1]


class StoreClient:
    """One instance's connection to the store, which may be cut."""

    era = 0

    def __init__(self, world):
        self.world = world
        self.cut = False
        self.availability = Availability()
        self.calls = 0
        self.evacuation_lists = 0

    @property
    def objects_available_since(self):
        return self.availability.since

    def learn_era(self, era):
        self.era = max(self.era, era)

    def _call(self, value):
        self.calls += 1
        now = self.world.clock.now
        if self.cut:
            self.availability.record_failure(now)
            return Err(DOWN)
        self.availability.record_response(now)
        return value

    def get(self, key):
        version = self.world.versions[-1][1]
        return self._call(Ok(Versioned(key, version, version)))

    def list(self, prefix):
        if prefix == EVACUATIONS:
            self.evacuation_lists += 1
            found = tuple(Versioned(f"{prefix}{name}", 1, {}) for name in self.world.evacuated)
            return self._call(Ok(Listing(self.world.revision, found)))
        items = [id for id, (_, registered) in self.world.servers.items() if registered]
        listed = tuple(Versioned(f"servers/{id}", 1, "up") for id in items)
        return self._call(Ok(Listing(self.world.revision, listed)))

    def watch(self, prefix, since, timeout_s):
        changes = tuple(
            Change(f"servers/{id}", revision, "up" if registered else None)
            for id, (revision, registered) in self.world.servers.items()
            if revision > since
        )
        return self._call(Ok(WatchBatch(self.world.revision, changes)))


class Instance:
    """An instance's components, whose steps run when they are due."""

    def __init__(self, key, world, clock, connect, evacuation_s=0.0):
        self.client = StoreClient(world)
        self.clock = clock
        self.suspended = False
        self.watch_hangs = False
        self.catalog = CatalogFollower(
            self.client,
            "config/main",
            lambda value: Ok(Catalog(version=value)),
            clock,
            REVOKE_S,
            APPLY_S,
        )
        self.discovery = Discovery(
            self.client,
            "servers/",
            lambda id, value: server(id),
            clock,
            catch_up_s=5.0,
            leave_s=LEAVING_BOUND_S,
        )
        self.evacuations = EvacuationFollower(
            self.client, EVACUATIONS, lambda name, value: name, clock, evacuation_s, CATCH_UP_S
        )
        self.placer = Placer("d", Random(1))
        self.discovery.subscribe(self.placer.set_servers)
        self.view_server = ViewServer(
            key, clock, self.catalog, self.discovery, self.placer, self.evacuations
        )
        self.follower = ViewFollower(
            key,
            "d",
            clock,
            Random(1),
            self.catalog,
            self.discovery,
            self.placer,
            lambda: self.view_server.is_followed,
            connect,
            self.evacuations,
        )
        self._due = {"catalog": 0.0, "discovery": 0.0, "evacuations": 0.0, "follower": 0.0}

    def wake(self):
        """Run all steps at the next tick."""
        self._due = dict.fromkeys(self._due, 0.0)

    def run(self):
        if self.suspended:
            return
        for name, due_at in self._due.items():
            if name == "discovery" and self.watch_hangs:
                continue
            if due_at <= self.clock.now:
                pause_s = getattr(self, name)._step()
                # A watch without changes takes its time at a real store.
                self._due[name] = self.clock.now + max(pause_s, TICK_S)


class Link:
    """The follower's client of the reader."""

    def __init__(self, system):
        self.system = system

    def call(self, method, path, body=None, timeout_s=None, headers=None, guard=None):
        reader = self.system.reader
        if self.system.reader_killed or self.system.link_cut or reader.suspended:
            return Err(CallError(Applied.UNKNOWN, f"no response within {POLL_TIMEOUT_S} s"))
        statuses = []
        environ = {"wsgi.input": io.BytesIO(json.dumps(body).encode())}
        response = reader.view_server(environ, lambda status, headers: statuses.append(status))
        raw = b"".join(response)
        value = json.loads(raw) if raw else None
        return Ok(JsonResponse(int(statuses[0][:3]), value))

    def close(self):
        pass


def server(id):
    return BackendServer(id, "s", f"10.0.0.{ord(id)}:80", "d", 4, started_ms=1)


class System:
    """A reader, a follower and the store."""

    def __init__(self):
        self.clock = ManualClock()
        self.world = World(self.clock)
        self.reader_killed = self.link_cut = False
        self.reader = Instance("r", self.world, self.clock, lambda address: Link(self))
        self.follower = Instance("f", self.world, self.clock, lambda address: Link(self))
        # With a single other instance nobody would follow.
        self.follower.follower._readers = (Peer("r", "10.0.0.9:1", "d"),)
        self.run(5.0)

    def run(self, seconds):
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.advance(TICK_S)
            if not self.reader_killed:
                self.reader.run()
            self.follower.run()

    def usable_at_follower(self, id):
        return self.follower.discovery.is_usable(server(id))


def test_a_follower_makes_no_store_calls_while_nothing_changes():
    system = System()
    calls = system.follower.client.calls
    system.run(20.0)
    assert system.follower.client.calls == calls
    assert system.follower.follower.reader == "r"
    assert system.follower.catalog.view.age(system.clock.now) <= 2.0


def test_a_follower_lists_nothing_after_an_outage_when_its_reader_has():
    """Guards against full listings by all instances at the moment of the store's return."""
    system = System()
    for instance in (system.reader, system.follower):
        instance.client.cut = True
    system.run(6.0)
    listings = []
    system.follower.client.list = lambda prefix: listings.append(prefix) or Err(DOWN)
    for instance in (system.reader, system.follower):
        instance.client.cut = False
    system.follower.discovery.hold_listing(system.clock.now + 0.8)
    system.follower.follower.retry_readers()
    system.follower.wake()
    system.run(3.0)
    assert listings == []
    assert system.follower.follower.reader == "r"
    assert system.follower.catalog.view.age(system.clock.now) <= 2.0


def test_a_follower_applies_a_new_version_within_the_bound():
    system = System()
    system.world.publish()
    system.run(APPLY_S - 1.0)
    assert system.follower.catalog.catalog.version == system.world.versions[-1][1]


def test_a_follower_stops_using_a_server_that_leaves_within_the_bound():
    system = System()
    system.world.set_server("a", False)
    system.run(LEAVING_BOUND_S)
    assert not system.usable_at_follower("a")
    assert system.usable_at_follower("b")


def test_a_follower_reads_the_store_itself_soon_after_its_reader_fails():
    for fault in ("reader_killed", "link_cut"):
        system = System()
        setattr(system, fault, True)
        system.world.publish()
        system.world.set_server("a", False)
        system.run(APPLY_S - 1.0)
        assert system.follower.catalog.catalog.version == system.world.versions[-1][1]
        assert not system.usable_at_follower("a")
        assert system.follower.follower.reader == ""


@pytest.mark.parametrize("lapse", ["link_cut", "watch_hangs"])
def test_a_follower_that_the_store_rejects_asks_a_reader_again_that_failed_once(lapse):
    """Guards against requests to servers that left, since nothing is read for seconds."""
    system = System()
    system.follower.client.cut = True
    at_fault = system.reader if lapse == "watch_hangs" else system
    setattr(at_fault, lapse, True)
    system.run(LEAVING_BOUND_S)
    setattr(at_fault, lapse, False)
    system.world.set_server("a", False)
    system.run(LEAVING_BOUND_S)
    assert not system.usable_at_follower("a")
    assert system.usable_at_follower("b")


def test_a_follower_knows_as_of_when_its_registrations_are_complete():
    """Guards against followers that tell instances which the store rejects no registrations."""
    system = System()
    assert system.clock.now - system.follower.discovery.confirmed_at <= LEAVING_BOUND_S


def test_a_reader_whose_watch_hangs_is_left_while_its_other_calls_succeed():
    system = System()
    system.reader.watch_hangs = True
    system.world.set_server("a", False)
    system.run(LEAVING_BOUND_S)
    assert not system.usable_at_follower("a")
    assert system.follower.follower.reader == ""


def test_a_reader_that_does_not_know_the_era_of_the_store_is_left():
    system = System()
    system.follower.client.era = 2
    system.run(2.0)
    assert system.follower.follower.reader == ""


def test_a_follower_learns_the_era_of_the_store_from_its_reader():
    system = System()
    system.reader.client.era = 2
    system.run(2.0)
    assert system.follower.client.era == 2


def test_a_reader_that_is_cut_off_from_the_store_is_left():
    system = System()
    system.reader.client.cut = True
    system.world.publish()
    system.run(APPLY_S - 1.0)
    assert system.follower.catalog.catalog.version == system.world.versions[-1][1]
    assert system.follower.catalog.view.allows_keys(system.clock.now)


def test_a_server_missing_after_an_outage_is_dropped_in_time_at_the_follower():
    system = System()
    for instance in (system.reader, system.follower):
        instance.client.cut = True
    system.run(3.0)
    system.world.set_server("a", False)
    for instance in (system.reader, system.follower):
        instance.client.cut = False
    system.run(1.0)
    assert system.usable_at_follower("a")
    system.run(LEAVING_BOUND_S - 1.0 + 0.2)
    assert not system.usable_at_follower("a")


def test_instances_that_exchange_views_estimate_the_same_load():
    """One of them has two short streams in flight at engines of 4 slots, the other none."""
    system = System()
    request = PlacementRequest("s", prompt_tokens=100)
    for _ in range(2):
        placement = system.reader.placer.choose(request, frozenset(), system.clock.now)
        system.reader.placer.start_attempt(placement, request, system.clock.now)
    system.run(20.0)
    for instance in (system.reader, system.follower):
        engines = instance.placer._short_prompt_engines("s")
        assert abs(engines._shared_load * MAX_STREAM_FILL * 4 - 1.0) < 0.1


def test_instances_that_exchange_views_know_the_same_rates_of_sessions():
    system = System()
    part = PromptSegment("doc", 5_000)
    request = PlacementRequest("s", prompt_tokens=6_000, shared=(part,))
    placer = system.reader.placer
    server = placer.choose(request, frozenset(), system.clock.now).server
    for instance in (system.reader, system.follower):
        instance.placer.apply_load_report(server.id, ReportedLoad(0, 0, 4, "100"), 0.0)
    for _ in range(4):
        placement = placer.choose(request, frozenset(), system.clock.now)
        placer.start_attempt(placement, request, system.clock.now)
    system.run(3.0)
    for instance in (system.reader, system.follower):
        rates = instance.placer._engines.homes("s")._mean_rates
        assert rates["doc"] == rates[""] > 0


def test_an_update_of_the_previous_version_has_no_rates_of_sessions():
    value = {"key": "k", "epoch": "", "sequence": 0, "loads": {}}
    assert "sessions" not in read_poll(value).ok_value.samples
    assert read_poll({**value, "later": 1}).is_ok()


class SharedViews(RuleBasedStateMachine):
    """A view never counts as more recent than it is, and no change is missed for long."""

    def __init__(self):
        super().__init__()
        self.system = System()
        self.left = {}

    @rule()
    def publish(self):
        self.system.world.publish()

    @rule(id=st.sampled_from("abc"), registered=st.booleans())
    def change_server(self, id, registered):
        self.system.world.set_server(id, registered)
        if registered:
            self.left.pop(id, None)
        else:
            self.left.setdefault(id, self.system.clock.now)

    @rule(reader=st.booleans(), cut=st.booleans())
    def cut_off_from_store(self, reader, cut):
        instance = self.system.reader if reader else self.system.follower
        instance.client.cut = cut

    @rule(suspended=st.booleans())
    def suspend_reader(self, suspended):
        self.system.reader.suspended = suspended

    @rule(hangs=st.booleans())
    def hang_watch_of_reader(self, hangs):
        self.system.reader.watch_hangs = hangs

    @rule(cut=st.booleans())
    def cut_link(self, cut):
        self.system.link_cut = cut

    @rule(killed=st.booleans())
    def kill_reader(self, killed):
        if self.system.reader_killed and not killed:
            system = self.system
            system.reader = Instance("r", system.world, system.clock, lambda address: Link(system))
        self.system.reader_killed = killed

    @rule(seconds=st.sampled_from([0.05, 0.3, 1.0, 4.0]))
    def advance_clock(self, seconds):
        self.system.run(seconds)

    @invariant()
    def the_view_is_as_recent_as_it_claims(self):
        system = self.system
        for instance in (system.reader, system.follower):
            age = instance.catalog.view.age(system.clock.now)
            if age < float("inf"):
                version = instance.catalog._stored_version
                assert version >= system.world.version_at(system.clock.now - age)

    @invariant()
    def a_leaving_server_is_not_used_while_the_follower_reaches_the_store(self):
        system = self.system
        if system.follower.client.cut:
            self.left = dict.fromkeys(self.left, system.clock.now)
        for id, left_at in self.left.items():
            if system.clock.now > left_at + LEAVING_BOUND_S:
                assert not system.usable_at_follower(id)


class TestSharedViews(SharedViews.TestCase):
    settings = settings(max_examples=80, stateful_step_count=30, deadline=None)

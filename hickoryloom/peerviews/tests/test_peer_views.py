"""Instances that restart and lose the store, on a simulated clock without a network."""

import io
import json
from random import Random

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from result import Err, Ok

from hickoryloom.catalog import (
    Catalog,
    CatalogFollower,
    Confirmation,
    Customer,
    RequestKind,
    Route,
    Service,
    Target,
)
from hickoryloom.clock import ManualClock
from hickoryloom.discovery import Discovery
from hickoryloom.http import CallError, JsonResponse
from hickoryloom.peerviews import (
    OverdueViews,
    PeerChoice,
    PeerView,
    PeerViewServer,
    PeerViewTask,
    read_peer_view,
)
from hickoryloom.sharing.tests.test_sharing import (
    APPLY_S,
    LEAVING_BOUND_S,
    REVOKE_S,
    TICK_S,
    StoreClient,
    World,
    server,
)
from hickoryloom.store import join_version
from hickoryloom.verdict import Applied

NAMES = ("a", "b", "c")


def catalog(version):
    """Return a configuration that uses each kind of field."""
    route = Route("r", "h", "/r/", RequestKind.STREAM, 4.0, 0.3, (Target("s"),), resumable=True)
    return Catalog(version, (route,), {"s": Service("s")}, {"hash": Customer("one", 1)})


class Node:
    """One process of an instance."""

    def __init__(self, system, name, seed):
        self.clock = system.clock
        self.client = StoreClient(system.world)
        self.client.cut = system.cut[name]
        self.catalog = CatalogFollower(
            self.client,
            "config/main",
            lambda value: Ok(catalog(value)),
            self.clock,
            REVOKE_S,
            APPLY_S,
        )
        self.discovery = Discovery(
            self.client,
            "servers/",
            lambda id, value: server(id),
            self.clock,
            catch_up_s=5.0,
            leave_s=LEAVING_BOUND_S,
        )
        others = [other for other in NAMES if other != name]
        self.server = PeerViewServer(
            self.clock, self.catalog, self.discovery, lambda: others, lambda _: None, lambda: 3
        )
        self.instances = 0
        self.peer_views = PeerViewTask(
            name,
            self.clock,
            Random(seed),
            self.catalog,
            self.discovery,
            lambda: others,
            lambda _: None,
            lambda count: setattr(self, "instances", count),
            lambda address: Link(system, address),
        )
        self._due = {"catalog": 0.0, "discovery": 0.0, "peer_views": 0.0}

    def run(self):
        for name, due_at in self._due.items():
            if due_at <= self.clock.now:
                pause_s = getattr(self, name)._step()
                self._due[name] = self.clock.now + max(pause_s, TICK_S)

    @property
    def allows_keys(self):
        return self.catalog.view.allows_keys(self.clock.now)


class Link:
    """Client of one instance."""

    def __init__(self, system, address):
        self.system, self.address = system, address

    def call(self, method, path, body=None, timeout_s=None):
        if self.address in self.system.down:
            return Err(CallError(Applied.NOT_APPLIED, "refused"))
        if self.address in self.system.older:
            return Ok(JsonResponse(404, None))
        statuses = []
        environ = {"wsgi.input": io.BytesIO(json.dumps(body).encode())}
        respond = self.system.nodes[self.address].server
        raw = b"".join(respond(environ, lambda status, _: statuses.append(status)))
        self.system.bytes += len(raw)
        return Ok(JsonResponse(int(statuses[0][:3]), json.loads(raw)))

    def close(self):
        pass


class System:
    """Three instances and the store."""

    def __init__(self):
        self.clock = ManualClock()
        self.world = World(self.clock)
        self.cut = dict.fromkeys(NAMES, False)
        self.down, self.older = set(), set()
        self.bytes = self.starts = 0
        self.nodes = {}
        for name in NAMES:
            self.restart(name)
        self.run(3.0)

    def restart(self, name):
        self.starts += 1
        self.nodes[name] = Node(self, name, self.starts)

    def set_cut(self, names, cut):
        for name in names:
            self.cut[name] = self.nodes[name].client.cut = cut

    def run(self, seconds):
        end = self.clock.now + seconds
        while self.clock.now < end:
            self.clock.advance(TICK_S)
            for name, node in self.nodes.items():
                if name not in self.down:
                    node.run()


@pytest.fixture
def system():
    return System()


def test_nobody_is_asked_while_the_store_responds(system):
    system.run(30.0)
    system.restart("a")
    system.run(5.0)
    assert system.bytes == 0


def test_an_instance_that_starts_in_an_outage_serves_as_long_as_the_others(system):
    """Guards against a restart in an outage that ends service before the view must end it."""
    system.set_cut(NAMES, True)
    system.restart("a")
    system.run(1.0)
    node = system.nodes["a"]
    assert node.allows_keys
    assert node.catalog.catalog == system.nodes["b"].catalog.catalog
    assert {found.id for found in node.discovery.servers} == {"a", "b", "c"}
    assert node.instances == 3
    while any(other.allows_keys for other in system.nodes.values()):
        system.run(TICK_S)
    newest = max(other.catalog.view.confirmed_at for other in system.nodes.values())
    assert system.clock.now - newest <= REVOKE_S


def test_a_view_passes_through_a_chain_of_restarts_with_its_age(system):
    """Guards against a view that becomes younger each time that an instance takes it."""
    system.set_cut(NAMES, True)
    confirmed_at = max(node.catalog.view.confirmed_at for node in system.nodes.values())
    for name in (*NAMES, *NAMES):
        system.restart(name)
        system.run(0.8)
    for node in system.nodes.values():
        assert node.catalog.catalog.version == 1
        assert node.catalog.view.confirmed_at <= confirmed_at
        assert {found.id for found in node.discovery.servers} == {"a", "b", "c"}


def test_an_instance_that_the_store_rejects_serves_by_the_others(system):
    """Guards against service that ends though other instances read the store."""
    system.set_cut("a", True)
    system.restart("a")
    system.run(1.0)
    for _ in range(20):
        system.world.publish()
        system.run(APPLY_S)
        assert system.nodes["a"].allows_keys
        assert system.nodes["a"].catalog.catalog.version == system.world.versions[-1][1]


def test_an_instance_that_the_store_rejects_stops_using_servers_that_leave(monkeypatch):
    """Guards against registrations that are read only once the configuration is overdue."""
    monkeypatch.setitem(globals(), "REVOKE_S", 60.0)
    monkeypatch.setitem(globals(), "APPLY_S", 60.0)
    system = System()
    system.run(5.0)
    system.set_cut("a", True)
    system.run(5.0)
    for _ in range(20):
        for registered in (False, True):
            system.world.set_server("b", registered)
            system.run(LEAVING_BOUND_S)
            assert system.nodes["a"].discovery.is_usable(server("b")) is registered


def test_a_lapsed_registration_is_kept_after_the_return_for_its_grace(system):
    """Guards against a new process without servers while these register again after an outage."""
    system.set_cut(NAMES, True)
    system.restart("a")
    system.run(4.0)
    system.world.set_server("b", False)
    system.set_cut(NAMES, False)
    system.run(1.0)
    assert system.nodes["a"].discovery.is_usable(server("b"))
    system.run(2.0)
    assert not system.nodes["a"].discovery.is_usable(server("b"))


def test_a_held_listing_is_made_later_and_never_by_an_instance_without_registrations(system):
    """Guards against listings of all instances at the moment of the store's return."""
    known, unknown = system.nodes["a"], Node(system, "b", 9)
    system.set_cut(NAMES, True)
    unknown.client.cut = True
    system.run(1.0)
    for node in (known, unknown):
        node.client.cut = False
        node.discovery.hold_listing(system.clock.now + 0.8)
        calls = node.client.calls
        node.discovery._step()
        assert node.client.calls == calls + (node is unknown)
        assert node.discovery.is_usable(server("b"))
    system.clock.advance(0.8)
    known.discovery._step()
    assert known.discovery.follows_store


def test_an_older_version_is_asked_once_and_others_instead(system):
    system.set_cut(NAMES, True)
    system.older = {"b"}
    system.restart("a")
    system.run(3.0)
    assert system.nodes["a"].catalog.catalog.version == 1


def test_nothing_older_than_what_was_seen_is_put_in_force(system):
    node = system.nodes["a"]
    system.set_cut("a", True)
    node.client.learn_era(2)
    newest = node.catalog.in_force
    older_era = PeerView(1, join_version(1, 99), 0.0, catalog(99), 0.0, ())
    unsound = [
        PeerView(2, join_version(3, 99), 0.0, catalog(99)),
        PeerView(2, join_version(2, 99), float("nan"), catalog(99)),
        PeerView(2, join_version(2, 99), -1.0, catalog(99)),
        PeerView(2, join_version(2, 99), 0.0, catalog(99), float("nan")),
    ]
    system.run(0.1)
    for view in (older_era, *unsound):
        assert not node.peer_views._apply("b", view, system.clock.now)
    assert not node.catalog.adopt(Confirmation(0, system.clock.now), catalog(99))
    newer_object = Confirmation(join_version(2, 5), system.clock.now)
    assert not node.catalog.adopt(newer_object, catalog(0))
    assert not node.catalog.adopt(newer_object, None)
    assert node.catalog.in_force == newest


def test_messages_of_the_next_version_are_read(system):
    """Guards against a rolling upgrade during which instances can't read each other's views."""
    view = {"store_era": 1, "config_version": 7, "unknown": {"x": 1}}
    assert read_peer_view(view).ok_value == PeerView(store_era=1, config_version=7)
    assert isinstance(read_peer_view({"catalog": {"routes": [{}]}}), Err)
    assert isinstance(read_peer_view([]), Err)


def test_an_instance_that_fails_is_passed_over():
    choice = PeerChoice(Random(1))
    choice.record_useful("x")
    assert choice.choose(["x", "y"], 0.0) == "x"
    choice.record_failed("x", 0.0)
    assert {choice.choose(["x", "y"], 0.5) for _ in range(20)} == {"y"}
    assert choice.choose(["x"], 0.5) == ""
    assert choice.choose(["x"], 1.5) == "x"


def test_all_instances_know_that_none_is_better_off_in_an_outage(system):
    """Guards against a load balancer without instances, to which it adds them late."""
    system.set_cut(NAMES, True)
    system.run(REVOKE_S)
    assert all(node.peer_views.others_are_overdue for node in system.nodes.values())
    system.set_cut(NAMES, False)
    system.run(1.0)
    assert not any(node.peer_views.others_are_overdue for node in system.nodes.values())


def test_an_instance_that_is_cut_off_alone_is_not_better_off_than_others(system):
    """Guards against an instance that stays ready though others serve callers better."""
    system.set_cut("a", True)
    system.down = {"b", "c"}
    for _ in range(100):
        system.run(TICK_S)
        assert not system.nodes["a"].peer_views.others_are_overdue
    system.down = {"c"}
    for _ in range(100):
        system.run(TICK_S)
        assert not system.nodes["a"].peer_views.others_are_overdue


def test_one_instance_with_a_current_view_counts_more_than_several_without():
    overdue = OverdueViews()
    assert not overdue.are_all_overdue(88, 0.0)
    for number in range(2):
        overdue.record(f"x{number}", True, 0.0)
    assert not overdue.are_all_overdue(88, 0.5)
    assert overdue.are_all_overdue(2, 0.5)
    overdue.record("x2", True, 1.0)
    assert overdue.are_all_overdue(88, 1.0)
    overdue.record("x3", False, 1.0)
    assert not overdue.are_all_overdue(88, 1.0)
    assert not overdue.are_all_overdue(88, 6.0)


class ViewsMachine(RuleBasedStateMachine):
    """Instances restart, end and lose the store in any order, while the store's contents change."""

    def __init__(self):
        super().__init__()
        self.system = System()
        self.versions = {}

    @rule(name=st.sampled_from(NAMES), cut=st.booleans())
    def set_cut(self, name, cut):
        self.system.set_cut(name, cut)

    @rule(name=st.sampled_from(NAMES))
    def restart(self, name):
        self.system.restart(name)

    @rule(name=st.sampled_from(NAMES), down=st.booleans())
    def set_down(self, name, down):
        (self.system.down.add if down else self.system.down.discard)(name)

    @rule()
    def publish(self):
        self.system.world.publish()

    @rule(ticks=st.integers(1, 60))
    def run(self, ticks):
        self.system.run(ticks * TICK_S)

    @invariant()
    def views_are_as_recent_as_they_claim(self):
        for name, node in self.system.nodes.items():
            in_force = node.catalog.in_force
            if in_force is None:
                continue
            assert in_force.version >= self.system.world.version_at(in_force.confirmed_at)
            assert in_force.version == node.catalog.catalog.version
            key = (name, id(node))
            assert self.versions.get(key, 0) <= in_force.version
            self.versions[key] = in_force.version


TestViews = ViewsMachine.TestCase
TestViews.settings = settings(max_examples=60, stateful_step_count=40, deadline=None)

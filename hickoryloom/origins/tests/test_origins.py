"""Which version a stream may go on at, as several instances that exchange datagrams know it."""

import random

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.discovery import BackendServer
from hickoryloom.evidence import SharedRecords
from hickoryloom.origins import (
    ORIGIN_TOPICS,
    Origin,
    OriginKeepers,
    OriginMemory,
    SoftwareVersions,
    StreamOrigins,
    origin_key,
)
from hickoryloom.origins.messages import Ask, Keep, Told, decode, encode
from hickoryloom.origins.state import MAX_ORIGINS, ORIGIN_LIFETIME_S

OLD = BackendServer("a", "llm", "10.0.0.1:80", "zone", 4, started_ms=1, software="v1")
NEW = BackendServer("b", "llm", "10.0.0.2:80", "zone", 4, started_ms=1, software="v2")
KEY = origin_key("one", "s1")


class Network:
    """Instances that receive each other's datagrams at once, unless they are down.

    Attributes:
        now: Monotonic time in seconds.
        sent: Number of datagrams by kind.
    """

    def __init__(self, number):
        self.now = 100.0
        self.sent = {}
        self.down = set()
        self.addresses = [f"10.0.0.{index}:1" for index in range(number)]
        self.members = [Member(self, address) for address in self.addresses]

    def monotonic(self):
        return self.now

    def list_servers(self, *servers):
        for member in self.members:
            member.list_servers(*servers)
        self.gossip()

    def gossip(self):
        for source in self.members:
            changes = source.records.take_changes()
            for member in self.members:
                if member is not source and member.address not in self.down:
                    member.records.merge(changes, self.now)

    def live(self):
        return [member for member in self.members if member.address not in self.down]


class Member:
    """One instance, which is also its own port for datagrams."""

    is_open = True

    def __init__(self, network, address):
        self.address = address
        self.view_age_s = 0.0
        self.servers = {}
        self.records = SharedRecords(address, ORIGIN_TOPICS)
        self._network = network
        keepers = OriginKeepers(address)
        keepers.set_others(network.addresses)
        self.origins = StreamOrigins(
            network,
            self,
            keepers,
            SoftwareVersions(self.records),
            lambda id: self.servers.get(id),
            lambda now: self.view_age_s,
        )

    def subscribe(self, first, handler):
        self.handler = handler

    def send(self, data, address):
        kind = type(decode(data).unwrap()).__name__
        self._network.sent[kind] = self._network.sent.get(kind, 0) + 1
        if address in self._network.down:
            return
        (member,) = [m for m in self._network.members if m.address == address]
        member.handler(data)

    def list_servers(self, *servers):
        self.servers = {server.id: server for server in servers}
        self.origins.set_servers(servers)


@pytest.fixture
def network():
    return Network(7)


def versions(network, key=KEY):
    """Return the version that each live instance finds; None for an unknown origin."""
    found = [member.origins.find(key, "llm") for member in network.live()]
    return {origin.software if origin is not None else None for origin in found}


@pytest.mark.parametrize("number", [2, 7, 50])
def test_all_instances_find_the_version_that_began_a_stream(number):
    network = Network(number)
    network.list_servers(OLD, NEW)
    assert network.members[0].origins.record(KEY, NEW) == "v2"
    assert network.sent["Keep"] == min(3, number - 1)
    assert versions(network) == {"v2"}


def test_a_stream_of_another_customer_is_not_found(network):
    network.list_servers(OLD, NEW)
    network.members[0].origins.record(KEY, NEW)
    assert versions(network, origin_key("two", "s1")) == {None}


def test_the_version_is_found_after_the_loss_of_the_instance_and_of_two_keepers(network):
    network.list_servers(OLD, NEW)
    for number in range(30):
        first = network.members[number % 7]
        key = origin_key("one", f"s{number}")
        first.origins.record(key, NEW)
        keepers = first.origins._keepers.first(key, 2)
        network.down = {first.address, *keepers}
        assert versions(network, key) == {"v2"}
        network.down = set()


def test_instances_that_know_different_others_agree_on_most_streams():
    network = Network(40)
    network.list_servers(OLD, NEW)
    rng, found = random.Random(1), 0
    for number in range(100):
        for member in network.members:
            member.origins._keepers.set_others(rng.sample(network.addresses, 36))
        key = origin_key("one", str(number))
        network.members[number % 40].origins.record(key, OLD)
        found += network.members[(number + 7) % 40].origins.find(key, "llm") is not None
    assert found >= 99


def test_nothing_is_sent_for_new_streams_while_one_version_serves(network):
    network.list_servers(OLD)
    for number in range(100):
        network.members[0].origins.record(origin_key("one", str(number)), OLD)
    assert network.sent == {}
    assert versions(network, origin_key("one", "5")) == {"v1"}


def test_open_streams_are_passed_on_when_a_second_version_comes(network):
    network.list_servers(OLD)
    first = network.members[0]
    for number in range(20):
        first.origins.record(origin_key("one", str(number)), OLD)
    for number in range(10):
        first.origins.record_delivered(origin_key("one", str(number)))
    network.list_servers(OLD, NEW)
    assert network.sent["Keep"] == 30
    network.down = {first.address}
    assert versions(network, origin_key("one", "15")) == {"v1"}
    assert versions(network, origin_key("one", "5")) == {None}


def test_an_instance_that_has_not_seen_the_second_version_learns_of_the_origin(network):
    network.list_servers(OLD)
    network.members[0].list_servers(OLD, NEW)
    network.members[0].origins.record(KEY, NEW)
    assert versions(network) == {"v2"}


def test_an_instance_that_starts_after_a_rollout_refuses_what_it_does_not_know(network):
    network.list_servers(OLD, NEW)
    network.list_servers(NEW)
    late = network.members[6] = Member(network, network.addresses[6])
    late.list_servers(NEW)
    late.records.merge(network.members[0].records.all(network.now), network.now)
    assert late.origins.find(KEY, "llm") is None
    network.now += ORIGIN_LIFETIME_S + 1.0
    assert late.origins.find(KEY, "llm") == Origin("llm", "", "")


def test_a_service_stays_mixed_while_two_versions_serve_and_for_a_stream_longer(network):
    network.list_servers(OLD, NEW)
    member = network.members[0]
    for _ in range(20):
        network.now += 0.3 * ORIGIN_LIFETIME_S
        member.origins.refresh()
        assert member.origins.is_mixed("llm")
    member.list_servers(NEW)
    network.now += 0.9 * ORIGIN_LIFETIME_S
    assert member.origins.is_mixed("llm")
    network.now += 0.2 * ORIGIN_LIFETIME_S
    assert not member.origins.is_mixed("llm")


def test_an_instance_that_is_cut_off_refuses_unknown_origins(network):
    network.list_servers(OLD)
    network.down = set(network.addresses[1:])
    alone = network.members[0]
    assert alone.origins.find(KEY, "llm") is not None
    alone.view_age_s = 5.0
    assert alone.origins.find(KEY, "llm") is None
    network.down = set()
    assert alone.origins.find(KEY, "llm") is not None


@pytest.mark.parametrize(
    "registered",
    [
        attrs.evolve(OLD, software="v2"),
        attrs.evolve(OLD, started_ms=2),
        attrs.evolve(OLD, software=""),
    ],
)
def test_a_registration_that_changes_before_the_first_event_makes_the_version_unknown(
    network, registered
):
    network.list_servers(registered, NEW)
    assert network.members[0].origins.record(KEY, OLD) == ""
    assert versions(network) == {None}


def test_a_server_that_restarts_with_another_version_makes_its_streams_unknown(network):
    network.list_servers(OLD, NEW)
    network.members[0].origins.record(KEY, OLD)
    network.list_servers(attrs.evolve(OLD, started_ms=2, software="v2"), NEW)
    assert versions(network) == {None}


def test_a_server_whose_registration_is_missing_began_its_streams_at_its_version(network):
    network.list_servers(OLD, NEW)
    network.list_servers(NEW)
    network.members[0].origins.record(KEY, OLD)
    assert versions(network) == {"v1"}


def test_memory_is_bounded_with_a_million_streams():
    memory = OriginMemory()
    for number in range(3 * MAX_ORIGINS):
        memory.put(str(number), Origin("llm", "a", "v1"), number / 1000)
    assert len(memory) == MAX_ORIGINS
    memory.expire(1000.0)
    assert len(memory) == 0


@given(st.binary(max_size=300))
def test_no_datagram_raises(data):
    network = Network(1)
    network.members[0].handler(data)
    network.members[0].handler(b"[" + data)


def test_datagrams_with_long_texts_are_refused():
    origin = Origin("llm", "a", "v" * 1000)
    assert decode(encode(Keep("k", origin, 0.0))).is_err()
    assert decode(encode(Ask("k" * 1000, "a:1", 1))).is_err()
    assert decode(encode(Told(1, None))).unwrap() == Told(1, None)
    assert len(encode(Keep(KEY, Origin("llm", "i-12345678", "v1.2"), 0.0))) < 150

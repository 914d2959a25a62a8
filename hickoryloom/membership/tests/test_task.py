"""Entry processes discover each other, exchange heartbeats and detect failures."""

import pytest

from hickoryloom.http import JsonClient
from hickoryloom.membership import PoolSummary
from hickoryloom.membership.tests.fakes import MemoryStore, Node
from tests.harness import wait_until


@pytest.fixture
def nodes():
    started = []
    yield started
    for node in started:
        node.close()


def start(nodes, *args, **kwargs):
    node = Node(*args, **kwargs)
    nodes.append(node)
    node.membership.start()
    return node


def test_three_entries_discover_each_other_through_presence(nodes):
    store = MemoryStore()
    entries = [start(nodes, name, store) for name in ("a", "b", "c")]
    for entry in entries:
        others = {"a", "b", "c"} - {entry.name}
        wait_until(lambda entry=entry, others=others: entry.names() == others, 5)
    assert all(entry.membership.missing == () for entry in entries)


def test_entries_discover_each_other_through_seeds_while_the_platform_is_down(nodes):
    store = MemoryStore(down=True)
    first = start(nodes, "a", store)
    second = start(nodes, "b", store, seeds=(first.address,))
    third = start(nodes, "c", store, seeds=(first.address,))
    wait_until(lambda: second.names() == {"a", "c"} and third.names() == {"a", "b"}, 10)


def test_an_urgent_heartbeat_is_received_and_echoed_immediately(nodes):
    store = MemoryStore()
    first = start(nodes, "a", store)
    second = start(nodes, "b", store)
    wait_until(lambda: first.names() and second.names(), 5)
    second.pools["p"] = PoolSummary(pressure=1, epoch=1)
    pressure_set_at = second.membership._clock.monotonic()
    second.membership.request_exchange()

    def pressure_was_echoed():
        peer = first.membership.peers()[0]
        echo = second.membership.peers()[0].acknowledged_at
        return peer.heartbeat.pools.get("p") and echo is not None and echo >= pressure_set_at

    wait_until(pressure_was_echoed, 5)


def test_a_disconnected_peer_becomes_missing_and_returns(nodes):
    store = MemoryStore()
    first = start(nodes, "a", store)
    second = start(nodes, "b", store)
    wait_until(lambda: first.names() == {"b"} and second.names() == {"a"}, 5)
    first.link.disconnect()
    second.link.disconnect()
    wait_until(lambda: first.names() == second.names() == set(), 10)
    assert first.membership.missing == ("b",)
    assert second.membership.missing == ("a",)
    first.link.restore()
    second.link.restore()
    wait_until(lambda: first.names() == {"b"} and second.names() == {"a"}, 10)


def test_an_unresponsive_connection_is_replaced(nodes):
    store = MemoryStore()
    first = start(nodes, "a", store)
    second = start(nodes, "b", store)
    wait_until(lambda: first.names() == {"b"} and second.names() == {"a"}, 5)
    before = first.membership.peers()[0].heartbeat.sequence
    first.link.stall_open_connections()
    second.link.stall_open_connections()
    wait_until(lambda: first.membership.peers()[0].heartbeat.sequence > before + 2, 10)


def test_a_planned_stop_removes_the_entry_without_a_wait(nodes):
    store = MemoryStore()
    first = start(nodes, "a", store)
    second = start(nodes, "b", store)
    wait_until(lambda: first.names() == {"b"}, 5)
    second.close()
    nodes.remove(second)
    wait_until(lambda: not first.names(), 10)
    assert first.membership.missing == ()
    assert not [key for key in store.items if key.endswith("/b")]


def test_a_wrong_secret_and_a_malformed_heartbeat_are_rejected(nodes):
    node = start(nodes, "a", MemoryStore())
    client = JsonClient(node.address)
    good = {"Authorization": "Bearer s"}
    assert client.call("POST", "/peer/heartbeat", {}).unwrap().status == 403
    assert client.call("POST", "/peer/heartbeat", {}, headers=good).unwrap().status == 400
    assert client.call("POST", "/peer/heartbeat", [1], headers=good).unwrap().status == 400
    assert node.names() == set()

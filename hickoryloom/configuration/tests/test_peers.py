"""Queries to peers over real connections."""

import random

import pytest
from gevent import socket

from hickoryloom.clock import SystemClock
from hickoryloom.configuration import ConfigurationFollower, ConfigurationPeers
from hickoryloom.configuration.tests.fakes import FakePlatform
from hickoryloom.membership import Heartbeat, Peer

PENDING_CONNECTIONS = 4


@pytest.fixture
def silent_address():
    """An address that neither accepts nor refuses connections: its backlog is full."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    connections = [socket.socket() for _ in range(PENDING_CONNECTIONS)]
    for connection in connections:
        connection.setblocking(False)
        connection.connect_ex(listener.getsockname())
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    for connection in (*connections, listener):
        connection.close()


@pytest.fixture
def refusing_address():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()


def build_peers(*addresses):
    follower = ConfigurationFollower(FakePlatform(), SystemClock(), "huta-a")
    follower.freshness_tracker.record_applied(1)
    peers = ConfigurationPeers(follower, SystemClock(), rng=random.Random(1))
    heartbeats = [Heartbeat(f"of-{a}", a, "huta-a", 1, 1, 0.0) for a in addresses]
    peers.set_peers([Peer(heartbeat, SystemClock().monotonic()) for heartbeat in heartbeats])
    return follower, peers


def test_unreachable_peer_still_counts(silent_address):
    follower, peers = build_peers(silent_address)
    assert not peers.query_round()
    assert not peers.query_round()
    assert follower.freshness.confirmed == float("-inf")


def test_peer_whose_host_refuses_connections_does_not_count(refusing_address):
    follower, peers = build_peers(refusing_address)
    assert peers.query_round()
    assert follower.freshness.confirmed > 0


def test_connections_to_removed_peers_are_closed(refusing_address):
    follower, peers = build_peers(refusing_address)
    peers.query_round()
    assert set(peers._clients) == {refusing_address}
    follower.freshness_tracker.record_platform_response(SystemClock().monotonic(), 1)
    peers._last_cleanup = 0.0
    peers.set_peers([])
    assert peers._clients == {}

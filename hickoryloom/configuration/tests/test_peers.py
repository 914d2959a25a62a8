"""Asking peers, over real connections."""

import random

import pytest
from gevent import socket

from hickoryloom.clock import SystemClock
from hickoryloom.configuration import ConfigurationFollower, ConfigurationPeers
from hickoryloom.configuration.tests.fakes import FakePlatform
from hickoryloom.membership import Heartbeat, Peer

WAITING_CONNECTIONS = 4


@pytest.fixture
def silent_address():
    """An address to which no connection comes about and none is refused."""
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen(0)
    waiting = [socket.socket() for _ in range(WAITING_CONNECTIONS)]
    for one in waiting:
        one.setblocking(False)
        one.connect_ex(listener.getsockname())
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    for one in (*waiting, listener):
        one.close()


@pytest.fixture
def refusing_address():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    yield f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()


def peers_that_know(*addresses):
    follower = ConfigurationFollower(FakePlatform(), SystemClock(), "huta-a")
    follower.evidence.applied(1)
    peers = ConfigurationPeers(follower, SystemClock(), rng=random.Random(1))
    beats = [Heartbeat(f"of-{a}", a, "huta-a", 1, 1, 0.0) for a in addresses]
    peers.set_peers([Peer(beat, SystemClock().monotonic()) for beat in beats])
    return follower, peers


def test_a_peer_that_can_not_be_reached_still_counts(silent_address):
    follower, peers = peers_that_know(silent_address)
    assert not peers.ask_round()
    assert not peers.ask_round()
    assert follower.freshness.vouched == float("-inf")


def test_a_peer_whose_host_refuses_connections_counts_no_more(refusing_address):
    follower, peers = peers_that_know(refusing_address)
    assert peers.ask_round()
    assert follower.freshness.vouched > 0


def test_connections_to_peers_that_are_gone_are_closed(refusing_address):
    follower, peers = peers_that_know(refusing_address)
    peers.ask_round()
    assert set(peers._clients) == {refusing_address}
    follower.evidence.platform_answered(SystemClock().monotonic(), 1)
    peers._forgot = 0.0
    peers.set_peers([])
    assert peers._clients == {}

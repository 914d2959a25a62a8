"""Instances that exchange records over loopback, which loses datagrams."""

import random
import socket

import gevent
import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.datagrams import DatagramPort
from hickoryloom.evidence import EvidenceExchange, SharedRecords, Topic
from tests.harness import wait_until

TOPIC = Topic("t", 60.0)
SPREAD_S = 3.0


class Instance:
    """The records of one instance and their exchange."""

    def __init__(self, port, number):
        self.address = f"127.0.0.1:{port}"
        self.records = SharedRecords(f"i{number}", [TOPIC])
        self.port = DatagramPort(self.address)
        self.exchange = EvidenceExchange(
            self.port, SystemClock(), random.Random(number), self.records
        )
        self.port.start()
        self.exchange.start()

    def stop(self):
        self.exchange.stop()
        self.port.stop()

    def put(self, key):
        self.records.put(TOPIC, key, "v", SystemClock().monotonic())

    def holds(self, key):
        return self.records.get(TOPIC, key, SystemClock().monotonic()) is not None


def free_ports(number):
    sockets = [socket.socket(socket.AF_INET, socket.SOCK_DGRAM) for _ in range(number)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@pytest.fixture
def instances():
    started = [Instance(port, number) for number, port in enumerate(free_ports(30))]
    yield started
    for instance in started:
        instance.stop()


def test_records_reach_all_instances(instances):
    addresses = [instance.address for instance in instances]
    for instance in instances:
        instance.exchange.set_peers(addresses)
    instances[3].put("a")
    instances[7].put("b")
    wait_until(lambda: all(i.holds("a") and i.holds("b") for i in instances), SPREAD_S)


def test_an_instance_that_starts_later_gets_all_records(instances):
    *old, new = instances
    for instance in old:
        instance.exchange.set_peers([other.address for other in old])
    for number in range(40):
        old[number % 5].put(f"k{number}")
    wait_until(lambda: old[-1].holds("k39"), SPREAD_S)
    new.exchange.set_peers([other.address for other in old])
    wait_until(lambda: all(new.holds(f"k{number}") for number in range(40)), SPREAD_S)
    old[0].put("later")
    wait_until(lambda: new.holds("later"), SPREAD_S)


def test_lost_datagrams_are_repaired(instances):
    addresses = [instance.address for instance in instances]
    for instance in instances:
        instance.exchange.set_peers(addresses)
        instance.port._socket = LossySocket(instance.port._socket)
    instances[0].put("a")
    wait_until(lambda: all(instance.holds("a") for instance in instances), 3 * SPREAD_S)


def test_an_instance_starts_although_its_port_is_taken(instances):
    taken = instances[0]
    port = DatagramPort(taken.address)
    port.start()
    second = EvidenceExchange(port, SystemClock(), random.Random(1), taken.records)
    second.start()
    second.stop()
    port.stop()


def test_unreadable_datagrams_are_ignored(instances):
    first = instances[0]
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        host, port = first.address.split(":")
        for data in (b"", b"x", b"[]", b'{"kind":"summary"}', b"\xff" * 500):
            sock.sendto(data, (host, int(port)))
    gevent.sleep(0.1)
    first.put("a")
    assert first.holds("a")
    assert first.port._reader


class LossySocket:
    """Drops one of three datagrams that are sent."""

    def __init__(self, sock):
        self._sock = sock
        self._rng = random.Random(5)

    def sendto(self, data, address):
        if self._rng.random() > 1 / 3:
            self._sock.sendto(data, address)

    def __getattr__(self, name):
        return getattr(self._sock, name)

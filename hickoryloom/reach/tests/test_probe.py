"""Health checks that find out whether a service can be reached, with real sockets."""

import random

import gevent
import pytest
from gevent.server import StreamServer

from hickoryloom.clock import SystemClock
from hickoryloom.evidence import SharedRecords
from hickoryloom.reach import REACH_TOPICS, Reach, ReachProbe
from hickoryloom.upstream import ConnectionPool

ANSWER = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
DOUBT_S = 1.0


def answer(sock, _):
    while sock.recv(65536):
        sock.sendall(ANSWER)


def close(sock, _):
    """Close the connection, with a reset if the health check has arrived."""
    sock.close()


def stay_silent(sock, _):
    while sock.recv(65536):
        pass


class Service:
    """Servers of one service, of which each behaves in its own way, and what is known of them."""

    def __init__(self, *behaviours, health_path="/healthz"):
        self.servers = []
        for behaviour in behaviours:
            self.servers.append(StreamServer(("127.0.0.1", 0), behaviour))
            self.servers[-1].start()
        addresses = {f"b{i}": f"127.0.0.1:{s.server_port}" for i, s in enumerate(self.servers)}
        clock = SystemClock()
        self.reach = Reach("", SharedRecords("", REACH_TOPICS))
        self.probe = ReachProbe(
            self.reach,
            ConnectionPool(clock),
            lambda service: addresses,
            clock,
            random.Random(4),
            lambda service: health_path,
        )
        self.clock = clock

    def lose(self):
        """Lose a connection; wait until the service is no longer in doubt."""
        self.reach.record_lost("s")
        with gevent.Timeout(DOUBT_S):
            while self.reach.is_in_doubt("s"):
                gevent.sleep(0.001)


@pytest.fixture
def start():
    services = []

    def build(*behaviours, **options):
        services.append(Service(*behaviours, **options))
        return services[-1]

    yield build
    for service in services:
        for server in service.servers:
            server.stop(timeout=0)


def test_servers_that_accept_connections_without_an_answer_are_out_of_reach(start):
    """Guards against losing each request in turn on a path that opens and resets."""
    service = start(close, close, close)
    service.lose()
    assert service.reach.is_cut_off("s")
    for _ in range(10):
        service.probe._step()
        assert service.reach.is_cut_off("s")


@pytest.mark.parametrize("others", [(answer,), (answer, close), (stay_silent, answer)])
def test_a_server_that_ends_does_not_put_its_service_out_of_reach(start, others):
    service = start(close, *others)
    for _ in range(5):
        service.lose()
        assert not service.reach.is_cut_off("s")


def answer_with_status_0(sock, _):
    while sock.recv(65536):
        sock.sendall(ANSWER.replace(b"404", b"000"))


@pytest.mark.parametrize("respond", [answer, answer_with_status_0])
def test_an_answer_of_any_status_puts_the_service_back_into_reach(start, respond):
    """Guards against servers in trouble that seem to be out of reach."""
    service = start(respond, respond)
    for server in ("b0", "b1"):
        service.reach.record_unreachable("s", server, 2, service.clock.monotonic())
    assert service.reach.is_cut_off("s")
    service.probe._step()
    assert not service.reach.is_cut_off("s")


def test_silent_health_checks_let_single_requests_try_a_service_that_is_out_of_reach(start):
    """Guards against a service that stays out of reach since its health checks don't work."""
    service = start(stay_silent, stay_silent)
    service.lose()
    assert not service.reach.is_cut_off("s")
    now = service.clock.monotonic()
    for server in ("b0", "b1"):
        service.reach.record_unreachable("s", server, 2, now)
    assert not service.reach.take_trial("s", now)
    service.probe._step()
    assert service.reach.is_cut_off("s")
    now = service.clock.monotonic()
    assert [service.reach.take_trial("s", now + at) for at in (0.0, 0.1, 1.9, 2.0)] == [
        True,
        False,
        False,
        True,
    ]
    service.reach.record_contact("s", now, now)
    assert not service.reach.is_cut_off("s")


def test_services_without_health_checks_are_treated_as_before(start):
    service = start(close, close, health_path="")
    service.lose()
    assert not service.reach.is_in_doubt("s")
    for server in ("b0", "b1"):
        service.reach.record_unreachable("s", server, 2, service.clock.monotonic())
    service.probe._step()
    assert not service.reach.is_cut_off("s")

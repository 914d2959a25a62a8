import socket

from hickoryloom.platform.tests.site import FIRST_PORT, PORTS_EACH, free_port

EPHEMERAL_PORTS = 32_768
"""First port that the system gives to outgoing connections."""


def test_ports_of_one_process_stay_among_its_own_and_below_those_of_connections():
    ports = [free_port() for _ in range(PORTS_EACH)]
    assert len(set(ports)) == PORTS_EACH
    assert min(ports) >= FIRST_PORT and max(ports) < EPHEMERAL_PORTS
    assert max(ports) - min(ports) < PORTS_EACH


def test_a_port_in_use_is_passed_over():
    taken = free_port()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", taken))
        sock.listen()
        assert taken not in [free_port() for _ in range(PORTS_EACH - 1)]

import socket

from hickoryloom.platform.tests.site import FIRST_PORT, PORTS_PER_PROCESS, free_port

EPHEMERAL_PORTS = 32_768
"""First of the ephemeral ports, which the system uses for outgoing connections."""


def test_ports_of_a_process_are_in_its_range_and_below_the_ephemeral_ports():
    ports = [free_port() for _ in range(PORTS_PER_PROCESS)]
    assert len(set(ports)) == PORTS_PER_PROCESS
    assert min(ports) >= FIRST_PORT and max(ports) < EPHEMERAL_PORTS
    assert max(ports) - min(ports) < PORTS_PER_PROCESS


def test_a_port_in_use_is_skipped():
    used_port = free_port()
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", used_port))
        sock.listen()
        assert used_port not in [free_port() for _ in range(PORTS_PER_PROCESS - 1)]

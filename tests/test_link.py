"""The fault-injecting link stalls the connections that are open, but none that are opened later.

A link that identified stalled connections by `id()` would also stall a later one with the same id.
"""

import gevent
from gevent import socket
from gevent.server import StreamServer

from tests.harness import Link


def echo(sock, _address):
    while data := sock.recv(100):
        sock.sendall(data)


def test_connection_opened_after_muting_works():
    server = StreamServer(("127.0.0.1", 0), echo)
    server.start()
    link = Link(f"127.0.0.1:{server.server_port}")
    host, _, port = link.address.rpartition(":")
    for _ in range(40):
        first = socket.create_connection((host, int(port)))
        first.sendall(b"a")
        assert first.recv(1) == b"a"
        link.stall_open_connections()
        first.close()
        gevent.sleep(0.01)
        second = socket.create_connection((host, int(port)), timeout=1.0)
        second.sendall(b"b")
        assert second.recv(1) == b"b"
        second.close()
        gevent.sleep(0.01)
    link.close()
    server.stop()

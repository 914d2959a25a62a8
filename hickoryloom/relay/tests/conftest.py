"""Fixtures of the relay's tests."""

import pytest
from gevent.server import StreamServer


@pytest.fixture
def start_server():
    """Start servers that handle each connection with a function; return their addresses."""
    servers = []

    def start(handle):
        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0)

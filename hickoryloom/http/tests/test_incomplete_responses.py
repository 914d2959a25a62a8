"""A response that ends early does not look complete, whatever marks its end."""

import gevent
import pytest
from gevent import socket

from hickoryloom.http import Server


def receive(version, headers, app):
    """Return the bytes of the response and whether its connection was reset."""
    server = Server(app, "127.0.0.1:0")
    server.start()
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5.0) as sock:
        sock.sendall(f"GET / HTTP/{version}\r\nHost: h\r\n{headers}\r\n".encode())
        received, reset = b"", False
        try:
            while data := sock.recv(65536):
                received += data
        except ConnectionResetError:
            reset = True
    server.close()
    return received, reset


ERRORS = [
    ConnectionAbortedError("the response is incomplete"),
    ConnectionResetError(104, "Connection reset by peer"),
    ValueError("unexpected"),
    gevent.Timeout(1.0),
]


@pytest.fixture(params=ERRORS, ids=lambda error: type(error).__name__)
def incomplete(request):
    def app(environ, start_response):
        start_response("200 OK", [])
        yield b"part"
        raise request.param

    return app


def complete(environ, start_response):
    start_response("200 OK", [])
    yield b"all"


@pytest.mark.parametrize("headers", ["", "Connection: keep-alive\r\n"])
def test_a_response_that_ends_with_its_connection_is_reset(headers, incomplete):
    received, reset = receive("1.0", headers, incomplete)
    assert reset
    assert not received or received.endswith(b"part")


def test_a_chunked_response_has_no_last_chunk(incomplete):
    received, _ = receive("1.1", "", incomplete)
    assert received.endswith(b"4\r\npart\r\n")


def test_a_complete_response_that_ends_with_its_connection_is_not_reset():
    received, reset = receive("1.0", "", complete)
    assert received.endswith(b"all") and not reset

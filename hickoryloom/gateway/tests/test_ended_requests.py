"""Requests that were read and must get a complete answer, or the true reason why they get none."""

import attrs
import pytest
from gevent.server import StreamServer

from hickoryloom.gateway.tests.test_hand_over_refusals import CALL, hand_over
from hickoryloom.handover import RESULT_HEADER, HandOverPeer, HandOverResult, encode_result
from hickoryloom.http import Server


@pytest.fixture
def start_server():
    """Function that starts a server and returns it as a peer; all are stopped at the end."""
    stops = []

    def start(build):
        server = build()
        server.start()
        stops.append(getattr(server, "close", None) or server.stop)
        address = getattr(server, "address", None)
        if not isinstance(address, str):
            address = f"127.0.0.1:{server.server_port}"
        return HandOverPeer(address, "d", "token")

    yield start
    for stop in stops:
        stop()


def end_after_head(sock, _address):
    """Read the head of a request and end the connection, as a process that is stopped does."""
    received = b""
    while b"\r\n\r\n" not in received:
        received += sock.recv(65536)
    sock.close()


class Recorder:
    """A peer that answers each request and keeps its body."""

    def __init__(self):
        self.bodies = []

    def __call__(self, environ, start_response):
        self.bodies.append(environ["wsgi.input"].read())
        result = encode_result(HandOverResult("id"))
        start_response("200 OK", [(RESULT_HEADER, result), ("Content-Length", "2")])
        return [b"ok"]


@pytest.mark.parametrize("body", [b"body", b""])
def test_a_request_that_a_peer_has_not_read_goes_to_the_next_one(start_server, body):
    """Guards against a 502 for a request whose peer ended before it had read the request."""
    recorder = Recorder()
    peers = [
        start_server(lambda: StreamServer(("127.0.0.1", 0), end_after_head)),
        start_server(lambda: StreamServer(("127.0.0.1", 0), end_after_head)),
        start_server(lambda: Server(recorder, "127.0.0.1:0")),
    ]
    response, received, complete = hand_over(peers, attrs.evolve(CALL, body=body))
    assert (response.status, received, complete) == (200, b"ok", True)
    assert recorder.bodies == [body]

"""Requests that are handed over to a process which refuses them before it reads what they ask."""

import random

import attrs
import pytest

from hickoryloom.catalog import CallerLimits, RequestKind
from hickoryloom.gateway.app import ProxyApp
from hickoryloom.gateway.peer_attempts import UNABLE_REASONS
from hickoryloom.gateway.tests.test_forwarding import GatewayFake, serve
from hickoryloom.handover import (
    RESULT_HEADER,
    HandOverClient,
    HandOverPeer,
    HandOverPeers,
    HandOverReceiver,
    HandOverResult,
    ReceivedCall,
    encode_result,
    new_token,
)
from hickoryloom.http import Server
from hickoryloom.upstream import ConnectionPool

CALL = ReceivedCall("POST", "/x", "h", (("x-api-key", "k"),), b"body")


def respond(environ, start_response):
    """Serve a request that is handed over."""
    environ["wsgi.input"].read()
    result = encode_result(HandOverResult("id"))
    start_response("200 OK", [(RESULT_HEADER, result), ("Content-Length", "2")])
    return [b"ok"]


@pytest.fixture
def start_peer():
    """Function that starts a peer, which serves requests or has another token than is known."""
    servers = []

    def start(app):
        server = Server(app, "127.0.0.1:0")
        server.start()
        servers.append(server)
        return HandOverPeer(server.address, "d", new_token())

    yield start
    for server in servers:
        server.close()


def build_restarted(limits):
    """Return the application of a process that has another token than the other instances know."""
    fake = GatewayFake([])
    fake.limits = limits
    return ProxyApp(fake.context, None, HandOverReceiver("", new_token())).serve_handed_over


def hand_over(peers, call=CALL):
    """Serve a request that must not be repeated at an instance that reaches no server."""
    fake = GatewayFake(["unreachable"] * 20)
    known = HandOverPeers("", lambda address, service, now: False, random.Random(3))
    known.set_peers(peers)
    client = HandOverClient(known, ConnectionPool(fake.clock, id_header=""), UNABLE_REASONS)
    fake.context = attrs.evolve(fake.context, hand_overs=client)
    fake.response_headers = lambda headers: headers
    return serve(fake, RequestKind.ONCE, 1, False, call=call)


@pytest.mark.parametrize("limits", [CallerLimits(), CallerLimits(body_bytes=2)])
def test_a_request_that_a_restarted_process_refuses_goes_to_the_next_peer(start_peer, limits):
    """Guards against a 502 for a request that no server has received."""
    restarted = build_restarted(limits)
    peers = [start_peer(restarted), start_peer(restarted), start_peer(respond)]
    response, body, complete = hand_over(peers)
    assert (response.status, body, complete) == (200, b"ok", True)


def test_a_request_that_all_peers_refuse_has_not_run(start_peer):
    restarted = build_restarted(CallerLimits())
    response, _, _ = hand_over([start_peer(restarted), start_peer(restarted)])
    assert (response.status, response.verdict.value) == (503, "not-run")

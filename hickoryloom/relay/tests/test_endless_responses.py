"""Servers that send bytes without end to a relay."""

import itertools
import time

import gevent
import pytest

from hickoryloom.relay.tests.support import (
    admitted,
    backend_view,
    build_relay,
    chat_call,
    service_call,
)
from hickoryloom.upstream import BufferBudget

IN_TIME_S = 2.5
BUFFER_BYTES = 4 * 1024 * 1024
CALLERS = 4
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: "
FILL = b"x" * 16 * 1024
ENDLESS = {
    "head": (b"\r\n", b"X-Fill: y\r\n" * 1000),
    "field": (b"\r\nX-Fill: ", FILL),
    "chunk-extension": (b"\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", FILL),
    "trailer": (b"\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Fill: y\r\n" * 1000),
    "unframed-body": (b"\r\n\r\n", FILL),
}


@pytest.fixture
def serve(start_server):
    def start(kind, content_type, pause_s=0.0):
        first, block = ENDLESS[kind]

        def handle(sock, _address):
            try:
                sock.recv(65536)
                sock.sendall(HEAD + content_type + first)
                while True:
                    sock.sendall(block)
                    gevent.sleep(pause_s)
            except OSError:
                pass
            finally:
                sock.close()

        return start_server(handle)

    return start


def consume(relay, number, engine):
    """Make one call and read its response; return whether it was complete."""
    permission = admitted(id=f"r{number}", stream=engine, idempotent=engine)
    call = chat_call() if engine else service_call()
    opened = relay.open(permission, call)
    if opened.is_err():
        return False
    response = opened.unwrap()
    # The caller of a service's large response leaves after a while.
    for _ in itertools.islice(response, 200):
        gevent.sleep(0)
    response.close()
    return response.outcome.complete


@pytest.mark.parametrize("engine", [True, False])
@pytest.mark.parametrize("content_type", [b"text/event-stream", b"application/json"])
@pytest.mark.parametrize("kind", ENDLESS)
def test_an_endless_response_ends_in_time_with_bounded_buffers(serve, kind, content_type, engine):
    relay = build_relay(
        backend_view("s1", serve(kind, content_type), slots=32),
        buffers=BufferBudget(BUFFER_BYTES),
    )
    most = 0
    started_at = time.monotonic()
    calls = [gevent.spawn(consume, relay, number, engine) for number in range(CALLERS)]
    while not all(call.ready() for call in calls):
        most = max(most, relay.buffers.used_bytes)
        gevent.sleep(0.01)
    assert time.monotonic() - started_at < IN_TIME_S
    assert not any(call.get() for call in calls)
    assert most <= BUFFER_BYTES
    assert relay.buffers.used_bytes == 0
    assert relay.connections.in_use == 0
    assert relay.open_requests == 0

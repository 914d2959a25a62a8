"""Malformed engine responses and slow callers end with an error, bounded memory and no leaks."""

import json

import gevent
import pytest
from gevent.server import StreamServer

from hickoryloom.admission import RefusalReason
from hickoryloom.relay.tests.support import (
    admitted,
    backend_view,
    build_relay,
    chat_body,
    chat_call,
    service_call,
)
from hickoryloom.standins import build_engine
from hickoryloom.standins.text import answer_tokens
from hickoryloom.verdict import Verdict

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
FIRST_TOKEN = answer_tokens(chat_body())[0]
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


def event(position, **more):
    choice = {"delta": {"content": FIRST_TOKEN}}
    fields = {"id": "req-1", "position": position, "choices": [choice], **more}
    return b"data: " + json.dumps(fields).encode() + b"\n\n"


BAD_RESPONSES = {
    "no-length": HEAD + b"\r\n" + event(0),
    "short-length": HEAD + b"Content-Length: 9999\r\n\r\n" + event(0),
    "bad-chunk": CHUNKED + b"zz\r\n" + event(0),
    "not-json": CHUNKED + chunk(b"data: {nope\n\n"),
    "no-position": CHUNKED + chunk(b'data: {"id": "req-1"}\n\n'),
    "negative-position": CHUNKED + chunk(event(-1)),
    "huge-position": CHUNKED + chunk(event(10**30)),
    "position-is-text": CHUNKED + chunk(event("0")),
    "endless-event": CHUNKED + chunk(b"data: " + b"x" * 3_000_000),
    "huge-headers": HEAD + b"X-Fill: " + b"y" * 200_000,
    "deep-json": CHUNKED + chunk(b'data: {"id":' + b"[" * 100_000 + b"\n\n"),
    "done-at-once": CHUNKED + chunk(b"data: [DONE]\n\n"),
    "empty": CHUNKED + b"0\r\n\r\n",
    "not-http": b"\x00\xff\x17 what",
    "error-event": CHUNKED + chunk(b'data: {"error": {"message": "x"}}\n\n'),
    "invalid-utf8": CHUNKED + chunk(b'data: {"id": "req-1", "position": 0, "x": "\xff"}\n\n'),
}


@pytest.fixture
def serve(start_server):
    def start(response):
        def handle(sock, _address):
            sock.recv(65536)
            try:
                sock.sendall(response)
            except OSError:
                pass
            sock.close()

        return start_server(handle)

    return start


def assert_nothing_leaked(relay):
    assert relay.open_requests == 0
    assert relay.connections.in_use == 0
    assert relay._router.in_flight() == 0


@pytest.mark.parametrize("name", BAD_RESPONSES)
def test_a_bad_response_is_refused_with_a_verdict(serve, name):
    relay = build_relay(backend_view("e1", serve(BAD_RESPONSES[name])))
    with gevent.Timeout(10.0):
        opened = relay.open(admitted(), chat_call())
        if opened.is_ok():
            list(opened.unwrap())
    failure = opened.unwrap_err() if opened.is_err() else opened.unwrap().failure
    assert failure is not None
    assert failure.reason in (RefusalReason.BACKEND_FAILED, RefusalReason.RETRY_BUDGET)
    assert failure.verdict is Verdict.MAY_HAVE_RUN
    assert failure.retry_after_s > 0
    assert_nothing_leaked(relay)


@pytest.mark.parametrize("name", BAD_RESPONSES)
def test_a_request_succeeds_on_another_engine_after_a_bad_response(serve, name):
    engine = build_engine(token_ms=1.0)
    engine.start()
    relay = build_relay(backend_view("bad", serve(BAD_RESPONSES[name])))
    relay._router.set_views(
        [backend_view("bad", serve(BAD_RESPONSES[name])), backend_view("good", engine.address)]
    )
    for number in range(6):
        response = relay.open(admitted(f"req-{number}"), chat_call()).unwrap()
        raw = b"".join(response)
        assert response.failure is None
        assert raw.endswith(b"data: [DONE]\n\n")
    assert_nothing_leaked(relay)
    engine.stop()


def test_back_pressure_of_a_slow_caller_stops_the_engine():
    engine = build_engine(token_ms=0.0)
    engine.start()
    relay = build_relay(backend_view("e1", engine.address))
    count = 200_000
    response = relay.open(admitted(), chat_call(answer_tokens=count, max_tokens=count)).unwrap()
    next(iter(response))
    produced = -1
    while produced != engine.counters["tokens"]:
        produced = engine.counters["tokens"]
        gevent.sleep(0.5)
    assert produced < count
    response.close()
    gevent.sleep(0.5)
    assert engine.batch.running == 0
    assert_nothing_leaked(relay)
    engine.stop()


def test_a_client_error_of_an_engine_is_forwarded(serve):
    body = b'{"error": {"message": "bad"}}'
    head = (
        b"HTTP/1.1 400 Bad Request\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
    )
    relay = build_relay(backend_view("e1", serve(head % len(body) + body)))
    response = relay.open(admitted(), chat_call()).unwrap()
    assert (response.status, b"".join(response)) == (400, body)
    assert_nothing_leaked(relay)


def stalled_response(engine, **options):
    """Return a relay and a response of which one block was read."""
    relay = build_relay(backend_view("e1", engine.address), **options)
    call = chat_call(answer_tokens=5000, max_tokens=5000)
    response = relay.open(admitted(), call).unwrap()
    next(iter(response))
    return relay, response


def test_a_caller_that_does_not_read_is_cancelled_after_the_timeout():
    engine = build_engine(token_ms=20.0)
    engine.start()
    relay, response = stalled_response(engine, caller_timeout_s=0.5)
    gevent.sleep(1.5)
    assert engine.counters["cancel_calls"] == 1
    assert engine.batch.running == 0
    list(response)
    assert response.failure.reason is RefusalReason.CALLER_DISCONNECTED
    assert_nothing_leaked(relay)
    engine.stop()


def test_a_cancel_reaches_the_engine_while_the_caller_does_not_read():
    engine = build_engine(token_ms=20.0)
    engine.start()
    relay, response = stalled_response(engine)
    response.cancel(RefusalReason.KEY_WITHDRAWN)
    gevent.sleep(0.3)
    assert engine.counters["cancel_calls"] == 1
    assert engine.batch.running == 0
    list(response)
    assert response.failure.reason is RefusalReason.KEY_WITHDRAWN
    assert engine.counters["cancel_calls"] == 1
    assert_nothing_leaked(relay)
    engine.stop()


def test_a_large_response_without_a_length_is_incomplete_after_its_cancellation():
    def handle(sock, _address):
        sock.recv(65536)
        sock.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 3_000_000)
        gevent.sleep(5.0)

    server = StreamServer(("127.0.0.1", 0), handle)
    server.start()
    relay = build_relay(backend_view("s1", f"127.0.0.1:{server.server_port}", pool="booking"))
    request = admitted(pool="booking", service="booking", stream=False)
    response = relay.open(request, service_call("GET")).unwrap()
    next(iter(response))
    response.cancel(RefusalReason.KEY_WITHDRAWN)
    list(response)
    assert response.failure is not None
    assert response.failure.reason is RefusalReason.KEY_WITHDRAWN
    assert not response.outcome.complete
    assert_nothing_leaked(relay)
    server.stop(timeout=0)


@pytest.mark.parametrize("rest", [0, 2_000_000])
def test_an_event_stream_of_a_service_that_ends_inside_an_event_is_incomplete(serve, rest):
    stream = b"data: " + b"x" * rest + b"\n\ndata: y"
    relay = build_relay(backend_view("s1", serve(HEAD + b"\r\n" + stream), pool="booking"))
    request = admitted(idempotent=False, pool="booking", service="booking", stream=False)
    opened = relay.open(request, service_call())
    if opened.is_ok():
        list(opened.unwrap())
    failure = opened.unwrap_err() if opened.is_err() else opened.unwrap().failure
    assert failure is not None
    assert (failure.reason, failure.verdict) == (
        RefusalReason.BACKEND_FAILED,
        Verdict.MAY_HAVE_RUN,
    )
    assert_nothing_leaked(relay)


def test_an_event_stream_of_a_service_that_ends_after_an_event_is_complete(serve):
    stream = b"data: x\n\ndata: y\n\n"
    relay = build_relay(backend_view("s1", serve(HEAD + b"\r\n" + stream), pool="booking"))
    request = admitted(idempotent=False, pool="booking", service="booking", stream=False)
    response = relay.open(request, service_call()).unwrap()
    assert b"".join(response) == stream
    assert response.outcome.complete

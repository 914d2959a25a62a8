"""The relay against stand-ins of engines and services."""

import json

import gevent
import pytest

from hickoryloom.admission import RefusalReason
from hickoryloom.relay.tests.support import (
    admitted,
    backend_view,
    build_relay,
    chat_body,
    chat_call,
    parse_text,
    service_call,
)
from hickoryloom.standins import build_engine, build_service
from hickoryloom.standins.text import answer_tokens
from hickoryloom.verdict import Verdict


@pytest.fixture
def engine():
    engine = build_engine(token_ms=1.0, credential="backend-secret")
    engine.start()
    yield engine
    engine.stop()


@pytest.fixture
def service():
    service = build_service(credential="backend-secret")
    service.start()
    yield service
    service.stop()


def expected_text(prompt="hello", **more):
    return "".join(answer_tokens(chat_body(prompt, **more)))


def assert_nothing_leaked(relay):
    assert relay.open_requests == 0
    assert relay.connections.in_use == 0
    assert relay._router.in_flight() == 0


def test_streams_a_complete_response(engine):
    relay = build_relay(backend_view("e1", engine.address))
    response = relay.open(admitted(), chat_call()).unwrap()
    raw = b"".join(response)
    assert parse_text(raw) == expected_text()
    assert response.outcome.complete
    assert response.outcome.verdict is Verdict.RAN
    assert response.outcome.output_tokens == len(answer_tokens(chat_body()))
    assert response.outcome.wasted_tokens == 0
    assert_nothing_leaked(relay)


def test_a_connection_is_kept_after_a_complete_response(engine):
    relay = build_relay(backend_view("e1", engine.address))
    for number in range(3):
        response = relay.open(admitted(f"req-{number}"), chat_call()).unwrap()
        assert parse_text(b"".join(response)) == expected_text()
    assert relay.connections.idle == 1


def test_returns_a_completion_without_streaming(engine):
    relay = build_relay(backend_view("e1", engine.address))
    response = relay.open(admitted(stream=False), chat_call(stream=False)).unwrap()
    body = json.loads(b"".join(response))
    assert body["choices"][0]["message"]["content"] == expected_text()
    assert response.outcome.output_tokens == body["usage"]["completion_tokens"]
    assert_nothing_leaked(relay)


def test_forwards_a_service_call(service):
    relay = build_relay(backend_view("s1", service.address, pool="booking"))
    request = admitted(idempotent=False, pool="booking", service="booking")
    call = service_call(body='{"name": "Růžena"}'.encode(), headers=(("authorization", "x"),))
    response = relay.open(request, call).unwrap()
    body = json.loads(b"".join(response))
    assert response.status == 200
    assert body["call"] == "POST /deposits"
    assert json.loads(body["body"]) == {"name": "Růžena"}
    seen = service.received_requests[0]["headers"]
    assert seen["AUTHORIZATION"] == "Bearer backend-secret"
    assert seen["IDEMPOTENCY-KEY"] == "key-req-1"
    assert response.outcome.verdict is Verdict.RAN
    assert_nothing_leaked(relay)


def test_refuses_without_a_backend_server():
    refused = build_relay().open(admitted(), chat_call()).unwrap_err()
    assert refused.reason is RefusalReason.NO_BACKEND
    assert refused.verdict is Verdict.NOT_RUN


def test_a_caller_disconnect_cancels_the_engine_request(engine):
    relay = build_relay(backend_view("e1", engine.address))
    engine.switches = engine.switches.__class__(token_ms=20.0)
    response = relay.open(admitted(), chat_call(answer_tokens=60, max_tokens=60)).unwrap()
    next(iter(response))
    response.close()
    gevent.sleep(0.2)
    assert engine.counters["cancelled"] == 1
    assert engine.batch.running == 0
    assert not response.outcome.complete
    assert response.outcome.verdict is Verdict.MAY_HAVE_RUN
    assert_nothing_leaked(relay)


def test_a_cancelled_response_ends_immediately(engine):
    relay = build_relay(backend_view("e1", engine.address))
    engine.switches = engine.switches.__class__(token_ms=200.0)
    response = relay.open(admitted(), chat_call(answer_tokens=60, max_tokens=60)).unwrap()
    gevent.spawn_later(0.05, response.cancel, RefusalReason.KEY_WITHDRAWN)
    with gevent.Timeout(1.0):
        list(response)
    assert response.failure.reason is RefusalReason.KEY_WITHDRAWN
    gevent.sleep(0.1)
    assert engine.counters["cancelled"] == 1
    assert_nothing_leaked(relay)


def test_a_greenlet_killed_while_waiting_for_the_first_bytes_leaks_nothing(engine):
    relay = build_relay(backend_view("e1", engine.address))
    engine.switches = engine.switches.__class__(late_next=1, late_s=20.0)
    task = gevent.spawn(relay.open, admitted(), chat_call())
    gevent.sleep(0.2)
    assert relay.open_requests == 1
    task.kill()
    assert_nothing_leaked(relay)

"""The engine stand-in keeps the engine's HTTP contract, and each injected fault is observable."""

import json

import gevent
import pytest
from geventhttpclient import HTTPClient

from hickoryloom.http import JsonClient
from hickoryloom.standins import answer_tokens, build_engine
from tests.harness import wait_until

BODY = {"model": "assistant", "messages": [{"role": "user", "content": "hi"}], "answer_tokens": 12}


@pytest.fixture
def engine():
    engine = build_engine(slots=2, token_ms=2, load_lag_s=0.2)
    engine.start()
    yield engine
    engine.stop()


def call(engine, path, body, **headers):
    headers = {name.replace("_", "-"): value for name, value in headers.items()}
    return JsonClient(engine.address, timeout_s=5).call("POST", path, body, headers=headers)


def read_stream(engine, body, request_id="r1"):
    """Return the raw events of a streamed response; a read error is appended to them."""
    host, port = engine.address.split(":")
    client = HTTPClient(host, int(port), network_timeout=5)
    headers = {"Content-Type": "application/json", "X-Request-Id": request_id}
    response = client.post("/v1/chat/completions", json.dumps({**body, "stream": True}), headers)
    events = []
    try:
        while line := response.readline(b"\n\n"):
            events.append(bytes(line))
    except Exception as error:
        events.append(error)
    client.close()
    return events


def parse(events):
    return [json.loads(event[6:]) for event in events if event.startswith(b"data: {")]


def test_response_depends_only_on_the_request(engine):
    response = call(engine, "/v1/chat/completions", BODY, X_Request_Id="r1").unwrap().body
    assert response["id"] == "r1"
    assert response["choices"][0]["message"]["content"] == "".join(answer_tokens(BODY))
    assert response["usage"]["completion_tokens"] == 12


def test_events_carry_id_and_position_and_end_with_usage(engine):
    events = read_stream(engine, BODY)
    assert events[-1] == b"data: [DONE]\n\n"
    chunks = parse(events)
    assert [event["position"] for event in chunks] == list(range(13))
    assert {event["id"] for event in chunks} == {"r1"}
    assert chunks[-1]["usage"] == {"prompt_tokens": 1, "completion_tokens": 12}


def test_resume_continues_at_the_position(engine):
    tokens = answer_tokens(BODY)
    resume = {"position": 5, "text": "".join(tokens[:5])}
    chunks = parse(read_stream(engine, {**BODY, "resume": resume}))
    assert chunks[0]["position"] == 5
    assert "".join(e["choices"][0]["delta"]["content"] for e in chunks) == "".join(tokens[5:])
    mismatched = {**BODY, "resume": {"position": 5, "text": "other"}}
    assert call(engine, "/v1/chat/completions", mismatched).unwrap().status == 400


def test_fault_switches_apply_to_the_next_request(engine):
    faults = {"cut_next": 1, "at_position": 3}
    call(engine, "/standin/faults", faults)
    events = read_stream(engine, BODY)
    assert not any(isinstance(e, bytes) and b"[DONE]" in e for e in events)
    call(engine, "/standin/faults", {"cross_next": 1})
    assert parse(read_stream(engine, {**BODY, "max_tokens": 30}, "r2"))[0]["id"] == "r1"
    call(engine, "/standin/faults", {"duplicate_next": 1})
    assert [event["position"] for event in parse(read_stream(engine, BODY))][:4] == [0, 0, 1, 1]
    call(engine, "/standin/faults", {"not_run_next": 1})
    before = engine.counters["started"]
    assert call(engine, "/v1/chat/completions", BODY).unwrap().status == 503
    assert engine.counters["started"] == before


def test_cancel_stops_running_and_waiting_requests(engine):
    call(engine, "/standin/faults", {"token_ms": 20})
    long_body = {**BODY, "answer_tokens": 500, "max_tokens": 500}
    streams = [gevent.spawn(read_stream, engine, long_body, f"r{n}") for n in range(3)]
    wait_until(lambda: engine.batch.waiting == 1 and engine.counters["tokens"] > 2)
    for n in range(3):
        call(engine, "/v1/cancel", {"request_id": f"r{n}"})
    gevent.joinall(streams, timeout=5)
    produced = engine.counters["tokens"]
    assert engine.batch.running == engine.batch.waiting == 0
    gevent.sleep(0.1)
    assert engine.counters["tokens"] == produced < 100


def test_stalled_stream_does_not_block_other_connections(engine):
    call(engine, "/standin/faults", {"silent_next": 1, "at_position": 2})
    task = gevent.spawn(read_stream, engine, BODY, "quiet")
    wait_until(lambda: "quiet" in engine.requests and engine.requests["quiet"].position >= 2)
    state = JsonClient(engine.address).call("GET", "/requests/quiet").unwrap().body
    assert state["state"] == "running"
    assert call(engine, "/v1/chat/completions", BODY).unwrap().status == 200
    call(engine, "/v1/cancel", {"request_id": "quiet"})
    assert not any(b"[DONE]" in event for event in task.get(timeout=5) if isinstance(event, bytes))


def test_prefix_cache_hit_is_counted_and_one_event_reported(engine):
    prompt = {"model": "assistant", "prompt": "x" * 4000, "answer_tokens": 1}
    call(engine, "/v1/completions", prompt)
    call(engine, "/v1/completions", prompt)
    assert engine.counters["cache_hits"] == 1
    events = JsonClient(engine.address).call("GET", "/cache-events?since=0").unwrap().body
    assert len(events["events"]) == 1 and events["events"][0]["cached"]


def test_load_report_lags_behind(engine):
    client = JsonClient(engine.address)
    client.call("GET", "/load")
    gevent.sleep(0.25)
    call(engine, "/standin/faults", {"token_ms": 100})
    task = gevent.spawn(read_stream, engine, BODY)
    wait_until(lambda: engine.batch.running == 1)
    assert client.call("GET", "/load").unwrap().body["running"] == 0
    gevent.sleep(0.25)
    assert client.call("GET", "/load").unwrap().body["running"] == 1
    call(engine, "/v1/cancel", {"request_id": "r1"})
    task.join(5)


def test_order_with_a_stale_fencing_token_is_rejected_unless_fencing_is_off(engine):
    order = {"model": "b", "version": "1", "sender": "s", "order_id": "1"}
    assert call(engine, "/orders/load", {**order, "fencing": 2}).unwrap().status == 200
    assert call(engine, "/orders/load", {**order, "fencing": 1}).unwrap().status == 409
    call(engine, "/standin/faults", {"fencing": False})
    assert call(engine, "/orders/load", {**order, "fencing": 1}).unwrap().status == 200


def test_unknown_switch_is_rejected_with_the_allowed_names(engine):
    response = call(engine, "/standin/faults", {"tokn_ms": 1}).unwrap()
    assert response.status == 400
    assert "tokn_ms" in response.body["title"] and "token_ms" in response.body["title"]

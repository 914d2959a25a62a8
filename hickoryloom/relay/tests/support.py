"""Builds requests, HTTP calls and a relay for tests."""

import json
import random

from hickoryloom.admission import Admitted, Request
from hickoryloom.clock import SystemClock
from hickoryloom.http import Call
from hickoryloom.relay import Relay
from hickoryloom.routing import BackendView, Router

CHAT = "/v1/chat/completions"


def backend_view(id, address, pool="assistants", **more):
    return BackendView(id=id, address=address, failure_domain="huta-a", pool=pool, **more)


def build_relay(*views, credential="backend-secret", **options):
    clock = SystemClock()
    router = Router(clock, random.Random(1), "huta-a")
    router.set_views(views)
    return Relay(router, clock, credential, **options)


def admitted(id="req-1", idempotent=True, stream=True, pool="assistants", service="assistant"):
    now = SystemClock().monotonic()
    request = Request(
        id=id,
        customer="horak",
        service=service,
        pool=pool,
        request_class="guest",
        tier=1,
        idempotent=idempotent,
        arrived=now,
        deadline=now + 10,
        stream=stream,
        idempotency_key="" if idempotent else f"key-{id}",
    )
    return Admitted(request, now, 100)


def chat_body(prompt="hello", stream=True, **more):
    messages = [{"role": "user", "content": prompt}]
    return {"model": "assistant", "messages": messages, "stream": stream, **more}


def chat_call(prompt="hello", stream=True, **more):
    body = json.dumps(chat_body(prompt, stream, **more)).encode()
    return Call("POST", CHAT, "", (("content-type", "application/json"),), body)


def service_call(method="POST", path="/services/booking/deposits", body=b"{}", headers=()):
    return Call(method, path, "", (("content-type", "application/json"), *headers), body)


def parse_events(raw):
    blocks = raw.split(b"\n\n")
    assert blocks[-1] == b"", "the response ends within an event"
    return [block.removeprefix(b"data: ") for block in blocks[:-1]]


def parse_text(raw):
    """Check the framing of a complete stream and return its text."""
    events = parse_events(raw)
    assert events[-1] == b"[DONE]"
    parsed = [json.loads(event) for event in events[:-1]]
    assert [event["position"] for event in parsed] == list(range(len(parsed)))
    assert "usage" in parsed[-1]
    return "".join(event["choices"][0]["delta"]["content"] for event in parsed)

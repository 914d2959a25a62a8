"""Parsing of callers' requests: every input gives a request or a 4xx that names the fault."""

import json

from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.configuration import (
    Customer,
    Pool,
    PoolKind,
    RequestClass,
    Route,
    Service,
    Snapshot,
)
from hickoryloom.entry.requests import parse_model_request, parse_service_request
from hickoryloom.http import Call
from hickoryloom.keys import Identity, anonymous

SNAPSHOT = Snapshot(
    generation=1,
    pools={
        "assistant": Pool("assistant", PoolKind.ENGINE, model="glass-1"),
        "desk": Pool("desk", PoolKind.SERVICE),
    },
    services={
        "guide": Service("guide", "assistant"),
        "desk": Service(
            "desk", "desk", (Route("POST", "/deposits"), Route("GET", "/benches/*", True))
        ),
    },
    classes={
        "guest": RequestClass("guest", 1, 800, 50),
        "draft": RequestClass("draft", 3, 5000, 100, answer_ms=60_000),
    },
    customers={
        "studio": Customer("studio", ("guest", "draft")),
        "limited": Customer("limited", ("draft",), services=("desk",)),
    },
)
STUDIO = Identity("00", SNAPSHOT.customers["studio"], "guest")
LIMITED = Identity("01", SNAPSHOT.customers["limited"], "draft")
NOBODY = anonymous()


def model_call(body, headers=()):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Call("POST", "/v1/chat/completions", "", tuple(headers), raw)


def parse(body, caller=STUDIO, headers=()):
    return parse_model_request(model_call(body, headers), caller, SNAPSHOT, "r1", 100.0)


GOOD = {"model": "glass-1", "messages": [{"role": "user", "content": "when?"}]}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def test_good_request_takes_class_deadline_and_customer():
    request = parse({**GOOD, "stream": True, "max_tokens": 7}).unwrap()
    assert (request.customer, request.pool, request.tier) == ("studio", "assistant", 1)
    assert request.deadline == 100.8
    assert request.stream and request.max_tokens == 7


def test_class_header_must_be_one_of_the_customers():
    assert parse(GOOD, headers=[("x-request-class", "draft")]).unwrap().tier == 3
    refused = parse(GOOD, LIMITED, [("x-request-class", "guest")])
    assert refused.unwrap_err().status in (403, 404)


def test_model_of_another_customers_service_is_unknown():
    assert parse(GOOD, LIMITED).unwrap_err().code == "unknown-model"
    assert parse(GOOD, NOBODY).unwrap_err().code == "unknown-model"


@given(
    st.dictionaries(
        st.sampled_from(["model", "messages", "prompt", "stream", "max_tokens", "resume"]),
        json_values,
    )
)
def test_any_object_gives_a_request_or_a_4xx(fields):
    found = parse({**GOOD, **fields})
    if found.is_err():
        assert 400 <= found.unwrap_err().status < 500
    else:
        assert type(found.unwrap().max_tokens) is int
        assert "resume" not in fields


@given(st.binary(max_size=200))
def test_any_bytes_give_a_4xx_or_a_request(raw):
    found = parse(raw)
    assert found.is_err() and found.unwrap_err().status == 400


def test_deep_nesting_is_a_4xx():
    assert parse(b"[" * 200_000).unwrap_err().status == 400


def test_prompts_with_one_head_share_a_prefix_hash():
    handbook = "chapter one " * 400
    first = parse({**GOOD, "messages": [{"role": "user", "content": handbook + "a"}]}).unwrap()
    second = parse({**GOOD, "messages": [{"role": "user", "content": handbook + "b"}]}).unwrap()
    other = parse(GOOD).unwrap()
    assert first.prefix_hash == second.prefix_hash != other.prefix_hash


def service_call(method, path, headers=()):
    call = Call(method, f"/services/desk{path}", "", tuple(headers), b"{}")
    return parse_service_request(call, STUDIO, SNAPSHOT, "r1", 100.0)


def test_non_idempotent_call_needs_a_key():
    assert service_call("POST", "/deposits").unwrap_err().code == "no-idempotency-key"
    request = service_call("POST", "/deposits", [("idempotency-key", "k1")]).unwrap()
    assert not request.idempotent and request.idempotency_key == "k1"
    too_long = service_call("POST", "/deposits", [("idempotency-key", "k" * 201)])
    assert too_long.unwrap_err().code == "bad-idempotency-key"


def test_idempotent_call_needs_none():
    assert service_call("GET", "/benches/3").unwrap().idempotent
    assert service_call("GET", "/elsewhere").unwrap_err().status == 404

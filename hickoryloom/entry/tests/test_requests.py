"""Request parsing: every input gives a request or a 4xx with an error code."""

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
ANONYMOUS = anonymous()


def model_call(body, headers=()):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    return Call("POST", "/v1/chat/completions", "", tuple(headers), raw)


def parse(body, identity=STUDIO, headers=()):
    return parse_model_request(model_call(body, headers), identity, SNAPSHOT, "r1", 100.0)


VALID_BODY = {"model": "glass-1", "messages": [{"role": "user", "content": "when?"}]}

json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
    max_leaves=5,
)


def test_a_valid_request_gets_class_deadline_and_customer():
    request = parse({**VALID_BODY, "stream": True, "max_tokens": 7}).unwrap()
    assert (request.customer, request.pool, request.tier) == ("studio", "assistant", 1)
    assert request.deadline == 100.8
    assert request.stream and request.max_tokens == 7


def test_class_header_must_be_one_of_the_customers():
    assert parse(VALID_BODY, headers=[("x-request-class", "draft")]).unwrap().tier == 3
    refused = parse(VALID_BODY, LIMITED, [("x-request-class", "guest")])
    assert refused.unwrap_err().status in (403, 404)


def test_model_of_another_customers_service_is_unknown():
    assert parse(VALID_BODY, LIMITED).unwrap_err().code == "unknown-model"
    assert parse(VALID_BODY, ANONYMOUS).unwrap_err().code == "unknown-model"


@given(
    st.dictionaries(
        st.sampled_from(["model", "messages", "prompt", "stream", "max_tokens", "resume"]),
        json_values,
    )
)
def test_any_object_gives_a_request_or_a_4xx(fields):
    result = parse({**VALID_BODY, **fields})
    if result.is_err():
        assert 400 <= result.unwrap_err().status < 500
    else:
        assert type(result.unwrap().max_tokens) is int
        assert "resume" not in fields


@given(st.binary(max_size=200))
def test_any_bytes_give_a_4xx_or_a_request(raw):
    result = parse(raw)
    assert result.is_err() and result.unwrap_err().status == 400


def test_deep_nesting_is_a_4xx():
    assert parse(b"[" * 200_000).unwrap_err().status == 400


def test_prompts_with_the_same_start_share_a_prefix_hash():
    handbook = "chapter one " * 400
    first = parse(
        {**VALID_BODY, "messages": [{"role": "user", "content": handbook + "a"}]}
    ).unwrap()
    second = parse(
        {**VALID_BODY, "messages": [{"role": "user", "content": handbook + "b"}]}
    ).unwrap()
    other = parse(VALID_BODY).unwrap()
    assert first.prefix_hash == second.prefix_hash != other.prefix_hash


def service_call(method, path, headers=()):
    call = Call(method, f"/services/desk{path}", "", tuple(headers), b"{}")
    return parse_service_request(call, STUDIO, SNAPSHOT, "r1", 100.0)


def test_non_idempotent_call_requires_an_idempotency_key():
    assert service_call("POST", "/deposits").unwrap_err().code == "no-idempotency-key"
    request = service_call("POST", "/deposits", [("idempotency-key", "k1")]).unwrap()
    assert not request.idempotent and request.idempotency_key == "k1"
    too_long = service_call("POST", "/deposits", [("idempotency-key", "k" * 201)])
    assert too_long.unwrap_err().code == "bad-idempotency-key"


def test_idempotent_call_requires_no_idempotency_key():
    assert service_call("GET", "/benches/3").unwrap().idempotent
    assert service_call("GET", "/elsewhere").unwrap_err().status == 404

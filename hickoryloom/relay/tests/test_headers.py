"""Headers and targets forwarded between callers and backend servers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from hickoryloom.http import Call
from hickoryloom.relay.headers import (
    backend_request_headers,
    backend_request_target,
    caller_response_headers,
)
from hickoryloom.relay.tests.support import admitted
from hickoryloom.upstream import request_head

NAMES = st.sampled_from(
    ["authorization", "cookie", "x-api-key", "connection", "te", "x-own", "accept", "host", "x y"]
)
VALUES = st.text(st.characters(max_codepoint=255), max_size=12)
REQUEST = admitted(service="booking").request


@given(headers=st.lists(st.tuples(NAMES, VALUES), max_size=8), secret=st.just("k-5e3r3t"))
def test_caller_credentials_and_malformed_headers_are_not_forwarded(headers, secret):
    secrets = [(name, secret) for name in ("authorization", "cookie", "x-api-key", "api-key")]
    call = Call("POST", "/services/booking/x", "", (*headers, *secrets), b"")
    sent = backend_request_headers(REQUEST, call, "req-1", "own")
    head = request_head("POST", backend_request_target(REQUEST, call), "h:1", sent, 0)
    assert secret.encode() not in head
    lines = head.split(b"\r\n")
    assert lines[-2:] == [b"", b""]
    assert all(b": " in line for line in lines[1:-2])
    assert len(lines) == len(sent) + 5
    assert head.lower().count(b"authorization: bearer own") == 1
    names = [name for name, _ in sent]
    assert "connection" not in names
    assert names.count("x-request-id") == 1


@given(headers=st.lists(st.tuples(NAMES, VALUES), max_size=8))
def test_hop_by_hop_headers_of_responses_are_dropped(headers):
    passed = caller_response_headers(
        [*headers, ("Connection", "x-own"), ("Transfer-Encoding", "chunked")]
    )
    assert not {"connection", "te", "transfer-encoding", "x-own"} & {name for name, _ in passed}


@given(path=st.text(max_size=30), query=st.text(st.sampled_from("ab=&%20+ \r\n"), max_size=10))
def test_a_target_is_a_single_token_or_rejected(path, query):
    call = Call("GET", f"/services/booking/{path}", query, (), b"")
    try:
        target = backend_request_target(REQUEST, call)
        head = request_head("GET", target, "h:1", (), 0)
    except (ValueError, UnicodeEncodeError):
        return
    assert head.split(b"\r\n")[0].count(b" ") == 2
    assert target.startswith("/")


@pytest.mark.parametrize(
    "path, target", [("/services/booking/a b", "/a%20b"), ("/services/booking/ř/x", "/%C5%99/x")]
)
def test_the_service_prefix_is_removed_from_the_path(path, target):
    assert backend_request_target(REQUEST, Call("GET", path, "q=1", (), b"")) == target + "?q=1"

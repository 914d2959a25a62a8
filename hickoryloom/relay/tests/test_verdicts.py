"""At every point of failure, "not run" is reported only if the server ran nothing."""

import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from hickoryloom.admission import RefusalReason
from hickoryloom.relay.tests.faulty_server import NO_LIMIT, FaultyServer
from hickoryloom.relay.tests.support import admitted, backend_view, build_relay, service_call
from hickoryloom.verdict import Verdict

KINDS = ("ok", "not-run", "error", "crossed", "malformed", "huge", "long", "two-lengths")
PLANS = st.lists(
    st.tuples(
        st.one_of(st.integers(0, 400), st.just(NO_LIMIT)),
        st.one_of(st.integers(0, 160), st.just(NO_LIMIT)),
        st.sampled_from(KINDS),
    ),
    max_size=6,
)
METHODS = st.sampled_from(["POST", "PUT", "DELETE", "GET", "PATCH"])


def call_faulty_server(plans, method, idempotent, body=b'{"bench": 7}'):
    """Make one call; return its verdict, whether the response was complete, and the server."""
    server = FaultyServer(plans)
    try:
        relay = build_relay(
            backend_view("s1", server.address, pool="booking"),
            backend_view("s2", server.address, pool="booking"),
        )
        request = admitted(idempotent=idempotent, pool="booking", service="booking")
        opened = relay.open(request, service_call(method, body=body))
        if opened.is_err():
            verdict, complete = opened.unwrap_err().verdict, False
        else:
            response = opened.unwrap()
            list(response)
            verdict, complete = response.outcome.verdict, response.outcome.complete
        assert relay.connections.in_use == 0
        assert relay.open_requests == 0
        assert relay._router.in_flight() == 0
        return verdict, complete, server
    finally:
        server.close()


@settings(max_examples=250)
@given(plans=PLANS, method=METHODS, idempotent=st.booleans(), size=st.sampled_from([0, 12, 5000]))
def test_the_verdict_is_correct_for_any_failure(plans, method, idempotent, size):
    verdict, complete, server = call_faulty_server(plans, method, idempotent, b"b" * size)
    if verdict is Verdict.NOT_RUN:
        assert server.runs == 0
    if verdict is Verdict.RAN or complete:
        assert server.runs > 0
    if not idempotent:
        assert server.runs <= 1
    for request in server.requests:
        assert b"uthorization: Bearer backend-secret" in request


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET", "PATCH"])
@pytest.mark.parametrize("read", [0, 1, 60, 150])
def test_a_non_idempotent_call_is_sent_once(method, read):
    verdict, _, server = call_faulty_server([(read, 0, "ok")] * 9, method, idempotent=False)
    assert server.connections == 1
    assert verdict is Verdict.MAY_HAVE_RUN


def test_a_not_run_response_is_retried_even_if_the_call_is_not_idempotent():
    plans = [(NO_LIMIT, NO_LIMIT, "not-run"), (NO_LIMIT, NO_LIMIT, "ok")]
    verdict, complete, server = call_faulty_server(plans, "POST", idempotent=False)
    assert (verdict, complete, server.runs) == (Verdict.RAN, True, 1)


def test_not_run_responses_of_all_servers_give_a_not_run_refusal():
    verdict, complete, server = call_faulty_server(
        [(NO_LIMIT, NO_LIMIT, "not-run")] * 9, "POST", idempotent=False
    )
    assert (verdict, complete, server.runs) == (Verdict.NOT_RUN, False, 0)


def test_a_refused_connection_gives_a_not_run_refusal():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    relay = build_relay(backend_view("s1", address, pool="booking"))
    request = admitted(idempotent=False, pool="booking", service="booking")
    refused = relay.open(request, service_call()).unwrap_err()
    assert refused.verdict is Verdict.NOT_RUN
    assert refused.reason is RefusalReason.UNREACHABLE
    assert refused.retry_after_s > 0


def test_an_idempotent_call_is_retried_after_a_connection_reset():
    verdict, complete, _ = call_faulty_server([(60, 0, "ok")], "GET", idempotent=True)
    assert (verdict, complete) == (Verdict.RAN, True)


@pytest.mark.parametrize("kind", ["crossed", "malformed", "huge", "long", "two-lengths"])
def test_a_bad_response_to_a_non_idempotent_call_is_not_delivered(kind):
    verdict, complete, server = call_faulty_server(
        [(NO_LIMIT, NO_LIMIT, kind)], "POST", idempotent=False
    )
    assert (verdict, complete) == (Verdict.MAY_HAVE_RUN, False)
    assert server.runs == 1


def test_a_server_error_of_a_non_idempotent_call_is_forwarded():
    verdict, complete, _ = call_faulty_server(
        [(NO_LIMIT, NO_LIMIT, "error")], "POST", idempotent=False
    )
    assert complete
    assert verdict is Verdict.MAY_HAVE_RUN


def test_retries_of_an_overloaded_pool_stay_within_the_budget():
    requests = 100
    server = FaultyServer([(NO_LIMIT, NO_LIMIT, "not-run")] * 1000)
    relay = build_relay(
        backend_view("s1", server.address, pool="booking"),
        backend_view("s2", server.address, pool="booking"),
    )
    reasons = set()
    for number in range(requests):
        request = admitted(f"req-{number}", idempotent=True, pool="booking", service="booking")
        refused = relay.open(request, service_call("GET")).unwrap_err()
        assert refused.verdict is Verdict.NOT_RUN
        reasons.add(refused.reason)
    assert RefusalReason.RETRY_BUDGET in reasons
    assert requests < server.connections <= requests * 1.1 + 20
    server.close()

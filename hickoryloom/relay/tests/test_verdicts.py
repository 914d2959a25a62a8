"""For every point of failure, "not run" is told only when the server ran nothing."""

import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from hickoryloom.admission import RefusalReason
from hickoryloom.relay.tests.faulty_server import WHOLE, FaultyServer
from hickoryloom.relay.tests.support import admitted, build_relay, service_call, view
from hickoryloom.verdict import Verdict

KINDS = ("ok", "not-run", "error", "crossed", "malformed", "huge", "long", "two-lengths")
PLANS = st.lists(
    st.tuples(
        st.one_of(st.integers(0, 400), st.just(WHOLE)),
        st.one_of(st.integers(0, 160), st.just(WHOLE)),
        st.sampled_from(KINDS),
    ),
    max_size=6,
)
METHODS = st.sampled_from(["POST", "PUT", "DELETE", "GET", "PATCH"])


def run_call(plans, method, idempotent, body=b'{"bench": 7}'):
    """Make one call and return its verdict, whether it was whole, and the server."""
    server = FaultyServer(plans)
    try:
        relay = build_relay(
            view("s1", server.address, pool="booking"), view("s2", server.address, pool="booking")
        )
        request = admitted(idempotent=idempotent, pool="booking", service="booking")
        opened = relay.open(request, service_call(method, body=body))
        if opened.is_err():
            verdict, whole = opened.unwrap_err().verdict, False
        else:
            answer = opened.unwrap()
            list(answer)
            verdict, whole = answer.outcome.verdict, answer.outcome.whole
        assert relay.connections.in_use == 0
        assert relay.open_requests == 0
        assert relay._router.in_flight() == 0
        return verdict, whole, server
    finally:
        server.close()


@settings(max_examples=250)
@given(plans=PLANS, method=METHODS, idempotent=st.booleans(), size=st.sampled_from([0, 12, 5000]))
def test_the_verdict_is_true_whatever_fails(plans, method, idempotent, size):
    verdict, whole, server = run_call(plans, method, idempotent, b"b" * size)
    if verdict is Verdict.NOT_RUN:
        assert server.runs == 0
    if verdict is Verdict.RAN or whole:
        assert server.runs > 0
    if not idempotent:
        assert server.runs <= 1
    for request in server.requests:
        assert b"uthorization: Bearer backend-secret" in request


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE", "GET", "PATCH"])
@pytest.mark.parametrize("read", [0, 1, 60, 150])
def test_a_call_that_may_not_be_repeated_is_sent_once(method, read):
    verdict, _, server = run_call([(read, 0, "ok")] * 9, method, idempotent=False)
    assert server.connections == 1
    assert verdict is Verdict.MAY_HAVE_RUN


def test_an_explicit_not_run_answer_is_tried_elsewhere_even_if_it_may_not_be_repeated():
    plans = [(WHOLE, WHOLE, "not-run"), (WHOLE, WHOLE, "ok")]
    verdict, whole, server = run_call(plans, "POST", idempotent=False)
    assert (verdict, whole, server.runs) == (Verdict.RAN, True, 1)


def test_not_run_answers_from_everywhere_are_a_true_refusal():
    verdict, whole, server = run_call([(WHOLE, WHOLE, "not-run")] * 9, "POST", idempotent=False)
    assert (verdict, whole, server.runs) == (Verdict.NOT_RUN, False, 0)


def test_a_refused_connection_is_a_true_refusal():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    address = f"127.0.0.1:{listener.getsockname()[1]}"
    listener.close()
    relay = build_relay(view("s1", address, pool="booking"))
    request = admitted(idempotent=False, pool="booking", service="booking")
    refused = relay.open(request, service_call()).unwrap_err()
    assert refused.verdict is Verdict.NOT_RUN
    assert refused.reason is RefusalReason.BACKEND_FAILED
    assert refused.retry_after_s > 0


def test_an_idempotent_call_is_repeated_after_a_cut():
    verdict, whole, _ = run_call([(60, 0, "ok")], "GET", idempotent=True)
    assert (verdict, whole) == (Verdict.RAN, True)


@pytest.mark.parametrize("kind", ["crossed", "malformed", "huge", "long", "two-lengths"])
def test_a_bad_response_of_a_call_that_may_not_be_repeated_is_not_delivered(kind):
    verdict, whole, server = run_call([(WHOLE, WHOLE, kind)], "POST", idempotent=False)
    assert (verdict, whole) == (Verdict.MAY_HAVE_RUN, False)
    assert server.runs == 1


def test_a_server_error_of_a_call_that_may_not_be_repeated_is_passed_on():
    verdict, whole, _ = run_call([(WHOLE, WHOLE, "error")], "POST", idempotent=False)
    assert whole
    assert verdict is Verdict.MAY_HAVE_RUN


def test_retries_of_an_overloaded_pool_stay_a_small_part():
    requests = 100
    server = FaultyServer([(WHOLE, WHOLE, "not-run")] * 1000)
    relay = build_relay(
        view("s1", server.address, pool="booking"), view("s2", server.address, pool="booking")
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

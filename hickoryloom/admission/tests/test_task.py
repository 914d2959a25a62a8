"""The blocking interface: callers wait for the decision and leave no state behind."""

import random

import gevent
from gevent.event import Event

from hickoryloom.admission import Admission, RefusalReason, Request
from hickoryloom.clock import SystemClock
from hickoryloom.configuration import Customer, Pool, PoolKind, RequestClass, Snapshot
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing.messages import BackendView
from hickoryloom.verdict import Verdict

SNAPSHOT = Snapshot(
    generation=1,
    pools={"p": Pool("p", PoolKind.ENGINE, slots=2)},
    classes={
        "high": RequestClass("high", 1, 1000, 50),
        "low": RequestClass("low", 2, 1000, 50),
    },
    customers={"a": Customer("a", ("high",)), "b": Customer("b", ("low",), max_in_flight=1)},
)


def build(slots=2):
    admission = Admission("e1", SystemClock(), random.Random(1))
    admission.set_snapshot(SNAPSHOT)
    admission.set_backends([BackendView("b1", "127.0.0.1:1", "d", "p", slots=slots)])
    return admission


def request(number, request_class="high", customer="a", slack_s=5.0):
    now = SystemClock().monotonic()
    tier = SNAPSHOT.classes[request_class].tier
    return Request(f"r{number}", customer, "m", "p", request_class, tier, True, now, now + slack_s)


def outcome(tokens=10):
    return Outcome(Verdict.RAN, True, "b1", output_tokens=tokens)


def test_starts_while_slots_are_free_and_blocks_until_one_is():
    admission = build()
    first = admission.admit(request(1)).unwrap()
    admission.admit(request(2)).unwrap()
    third = gevent.spawn(admission.admit, request(3, slack_s=30.0))
    gevent.sleep(0.05)
    assert not third.ready()
    admission.finish(first, outcome())
    assert third.get(timeout=2).unwrap().request.id == "r3"
    admission.finish(first, outcome())
    assert admission.in_flight == 2


def test_refuses_at_the_deadline_with_a_retry_time():
    admission = build(slots=1)
    admission.finish(admission.admit(request(1)).unwrap(), outcome())
    admission.admit(request(2)).unwrap()
    refused = admission.admit(request(3, slack_s=0.2)).unwrap_err()
    assert refused.reason is RefusalReason.EXPECTED_LATE
    assert refused.verdict is Verdict.NOT_RUN
    assert refused.retry_after_s > 0
    assert admission.waiting == 0


def test_a_cancelled_request_is_removed_from_the_queue():
    admission = build(slots=1)
    admission.admit(request(1)).unwrap()
    cancelled = Event()
    waiting = gevent.spawn(admission.admit, request(2, slack_s=30.0), cancelled)
    gevent.sleep(0.05)
    cancelled.set()
    assert waiting.get(timeout=2).unwrap_err().reason is RefusalReason.CALLER_DISCONNECTED
    assert admission.waiting == 0


def test_the_request_of_a_killed_greenlet_is_removed_from_the_queue():
    admission = build(slots=1)
    admission.admit(request(1)).unwrap()
    waiting = gevent.spawn(admission.admit, request(2, slack_s=30.0))
    gevent.sleep(0.05)
    waiting.kill()
    assert admission.waiting == 0


def test_a_customer_at_its_in_flight_limit_does_not_block_others():
    admission = build()
    first = admission.admit(request(1, "low", "b")).unwrap()
    held = gevent.spawn(admission.admit, request(2, "low", "b", 30.0))
    gevent.sleep(0.05)
    assert not held.ready()
    admission.admit(request(3, "low", "a")).unwrap()
    admission.finish(first, outcome())
    held.get(timeout=2).unwrap()


def test_no_backend_server_is_refused_at_once():
    admission = build()
    admission.set_backends([])
    refused = admission.admit(request(1)).unwrap_err()
    assert refused.reason is RefusalReason.NO_BACKEND


def test_preempts_a_lower_tier_when_a_higher_one_would_miss():
    admission = build(slots=1)
    low = admission.admit(request(1, "low", "b")).unwrap()
    preempted = []
    admission.on_preempt(low, lambda: preempted.append(low))
    high = gevent.spawn(admission.admit, request(2, "high", "a", 0.5))
    gevent.sleep(0.05)
    assert preempted == [low]
    admission.finish(low, Outcome(Verdict.RAN, False, "b1"))
    high.get(timeout=2).unwrap()

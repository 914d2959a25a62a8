"""A relay whose servers end while they respond to some prompts."""

import attrs
import gevent
import pytest

from hickoryloom.admission import RefusalReason
from hickoryloom.evidence import InstanceRanking, SharedRecords, record_with_age, record_with_time
from hickoryloom.quarantine import QUARANTINE_TOPICS, Quarantine
from hickoryloom.relay.tests.faulty_server import NO_LIMIT, FaultyServer
from hickoryloom.relay.tests.support import (
    CHAT,
    admitted,
    backend_view,
    build_relay,
    chat_call,
    service_call,
)
from hickoryloom.verdict import Verdict

SERVERS = 20
MAX_CRASHES = 5
CRASH_AFTER_HEAD = (NO_LIMIT, 45, "crash")

EXAMINED_S = 0.1
"""Time after which a relay knows whether a server has ended; three seconds are allowed."""


@pytest.fixture
def servers():
    started = [FaultyServer([CRASH_AFTER_HEAD] * 50) for _ in range(SERVERS)]
    yield started
    for server in started:
        server.close()


def build(servers, records):
    views = [backend_view(f"s{i}", server.address) for i, server in enumerate(servers)]
    quarantine = Quarantine("a", records, InstanceRanking("127.0.0.1:1"))
    return build_relay(*views, quarantine=quarantine)


def send(relay, id):
    permission = admitted(id=id, stream=False)
    request = attrs.evolve(permission.request, prefix_hash="aa", prompt_hash="bb")
    outcome = relay.open(attrs.evolve(permission, request=request), chat_call(stream=False))
    gevent.sleep(EXAMINED_S)
    return outcome


def count_prompts(servers):
    """Return how many prompts reached a server, without cancels and status calls."""
    requests = [request for server in servers for request in server.requests]
    return sum(request.startswith(f"POST {CHAT} ".encode()) for request in requests)


def test_a_prompt_that_crashes_servers_is_not_sent_to_further_ones(servers):
    relay = build(servers, SharedRecords("a", QUARANTINE_TOPICS))
    outcomes = [send(relay, f"r{number}") for number in range(6)]
    assert count_prompts(servers) <= MAX_CRASHES
    last = outcomes[-1].unwrap_err()
    assert (last.reason, last.verdict) == (RefusalReason.QUARANTINED, Verdict.NOT_RUN)
    assert last.retry_after_s > 0
    assert len({round(outcome.unwrap_err().retry_after_s, 3) for outcome in outcomes[-3:]}) > 1


def test_a_relay_that_got_the_evidence_of_another_sends_no_such_prompt(servers):
    own, others = (SharedRecords(name, QUARANTINE_TOPICS) for name in "ab")
    relay, other_relay = build(servers, own), build(servers, others)
    send(relay, "r1")
    sent = count_prompts(servers)
    now = relay._clock.monotonic()
    others.merge([record_with_time(record_with_age(r, now), now) for r in own.all(now)], now)
    assert send(other_relay, "r2").unwrap_err().reason is RefusalReason.QUARANTINED
    assert count_prompts(servers) == sent


CALLS = {
    "plain": service_call(path="/services/assistant/x", body=b"crashes"),
    "plain-without-body": service_call("GET", "/services/assistant/y", b""),
    "completion": chat_call(stream=False),
    "stream": chat_call(),
}


@pytest.mark.parametrize("name", CALLS)
def test_a_call_that_crashes_servers_is_sent_to_three_of_them(servers, name):
    relay = build(servers, SharedRecords("a", QUARANTINE_TOPICS))
    permission = admitted(stream=name == "stream")
    outcomes = []
    for _ in range(4):
        outcomes.append(relay.open(permission, CALLS[name]))
        gevent.sleep(EXAMINED_S)
    requests = [request for server in servers for request in server.requests]
    target = b"/x" if name == "plain" else b"/y" if name.startswith("plain") else CHAT.encode()
    assert sum(request.split(b" ")[1] == target for request in requests) == 3
    refused = [outcome.unwrap_err() for outcome in outcomes[1:]]
    assert {refusal.reason for refusal in refused} == {RefusalReason.QUARANTINED}
    assert {refusal.verdict for refusal in refused} == {Verdict.NOT_RUN}


def test_other_calls_of_the_same_customer_are_sent(servers):
    relay = build(servers, SharedRecords("a", QUARANTINE_TOPICS))
    relay.open(admitted(stream=False), CALLS["plain"])
    sent = sum(len(server.requests) for server in servers)
    relay.open(admitted(stream=False), service_call(path="/services/assistant/x", body=b"sound"))
    assert sum(len(server.requests) for server in servers) > sent

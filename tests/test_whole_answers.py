"""Each caller receives its own complete response despite failures of engines and links."""

import json

import gevent
import pytest

from hickoryloom.admission import RefusalReason
from hickoryloom.verdict import Verdict
from tests.backends import (
    Backends,
    admitted_request,
    assert_no_resources_held,
    build_relay,
    chat_call,
    engine_text,
    read_journal,
    relay_stream,
    set_faults,
)
from tests.harness import Link, wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(48)]

TOKENS = 60
STREAMS = 12
TIMEOUT_S = 30.0


@pytest.fixture
def backends(tmp_path):
    backends = Backends(tmp_path)
    yield backends
    backends.close()


@pytest.fixture
def engines(backends):
    return backends.start_many(2, "engine", "--token-ms", "20", "--slots", "32")


def spawn_streams(relay, count=STREAMS, tokens=TOKENS):
    return [gevent.spawn(relay_stream, relay, f"r{number}", tokens) for number in range(count)]


def check_all_complete(tasks, tokens=TOKENS):
    outcomes = []
    for number, task in enumerate(tasks):
        text, outcome = task.get(timeout=TIMEOUT_S)
        assert text == engine_text(f"r{number}", tokens)
        assert outcome.complete
        assert outcome.output_tokens == tokens
        outcomes.append(outcome)
    return outcomes


def running_count(address):
    return read_journal(address)["running"]


def delivering_count(relay, address):
    """Return the number of streams from `address` of which the relay has received tokens."""
    attempts = [attempts.current for attempts in relay._context.open.values()]
    return sum(
        attempt is not None and attempt.tokens > 0 and attempt.choice.backend.address == address
        for attempt in attempts
    )


def test_engine_killed_during_responses(engines):
    relay = build_relay(*[engine.address for engine in engines])
    tasks = spawn_streams(relay)
    wait_until(lambda: running_count(engines[0].address) >= 3)
    gevent.sleep(0.2)
    engines[0].kill()
    outcomes = check_all_complete(tasks)
    assert sum(outcome.resumed for outcome in outcomes) >= 3
    assert_no_resources_held(relay)


def test_engine_suspended_during_responses(engines):
    relay = build_relay(*[engine.address for engine in engines])
    tasks = spawn_streams(relay)
    wait_until(lambda: running_count(engines[0].address) >= 3)
    gevent.sleep(0.2)
    engines[0].suspend()
    outcomes = check_all_complete(tasks)
    assert sum(outcome.resumed for outcome in outcomes) >= 3
    engines[0].resume()
    wait_until(lambda: running_count(engines[0].address) == 0, 10.0)
    assert_no_resources_held(relay)


def test_open_connections_stall_while_new_ones_work(engines):
    links = [Link(engine.address) for engine in engines]
    relay = build_relay(*[link.address for link in links])
    tasks = spawn_streams(relay, tokens=200)
    wait_until(lambda: running_count(engines[0].address) >= 3)
    gevent.sleep(0.3)
    links[0].stall_open_connections()
    outcomes = check_all_complete(tasks, tokens=200)
    assert sum(outcome.resumed for outcome in outcomes) >= 3
    wait_until(lambda: running_count(engines[0].address) == 0, 10.0)
    counters = read_journal(engines[0].address)["counters"]
    assert counters["cancelled"] >= 3
    assert sum(outcome.wasted_tokens for outcome in outcomes) > 0
    assert_no_resources_held(relay)
    for link in links:
        link.close()


def test_link_cut_during_responses(engines):
    links = [Link(engine.address) for engine in engines]
    relay = build_relay(*[link.address for link in links])
    tasks = spawn_streams(relay)
    # A stream that is cut before its first token is sent again from its start, not resumed.
    wait_until(lambda: delivering_count(relay, links[0].address) >= 3)
    links[0].disconnect()
    outcomes = check_all_complete(tasks)
    assert sum(outcome.resumed for outcome in outcomes) >= 3
    assert_no_resources_held(relay)
    for link in links:
        link.close()


@pytest.mark.parametrize(
    "switch", ["cross_next", "cut_next", "silent_next", "duplicate_next", "late_next"]
)
def test_faulty_engine(engines, switch):
    for engine in engines:
        set_faults(engine.address, **{switch: 2, "at_position": 7, "late_s": 3.0})
    relay = build_relay(*[engine.address for engine in engines])
    check_all_complete(spawn_streams(relay))
    assert_no_resources_held(relay)


def test_single_engine_resumes_after_its_own_cut(engines):
    set_faults(engines[0].address, cut_next=2, at_position=7)
    relay = build_relay(engines[0].address)
    text, outcome = relay_stream(relay, "r0", TOKENS)
    assert text == engine_text("r0", TOKENS)
    assert outcome.resumed == 2
    assert_no_resources_held(relay)


@pytest.mark.parametrize("fault", ["cut", "cross", "mute", "kill"])
def test_unstreamed_response(engines, fault):
    links = [Link(engine.address) for engine in engines]
    relay = build_relay(*[link.address for link in links])
    if fault in ("cut", "cross"):
        set_faults(engines[0].address, **{f"{fault}_next": 1})
        set_faults(engines[1].address, **{f"{fault}_next": 1})

    def relay_one():
        answer = relay.open(
            admitted_request("r0", stream=False), chat_call("r0", TOKENS, stream=False)
        ).unwrap()
        return json.loads(b"".join(answer)), answer.outcome

    task = gevent.spawn(relay_one)
    if fault in ("mute", "kill"):
        number = wait_until(lambda: [i for i, e in enumerate(engines) if running_count(e.address)])[
            0
        ]
        links[number].stall_open_connections() if fault == "mute" else engines[number].kill()
    body, outcome = task.get(timeout=TIMEOUT_S)
    assert body["id"] == "r0"
    assert body["choices"][0]["message"]["content"] == engine_text("r0", TOKENS, stream=False)
    assert outcome.complete
    assert_no_resources_held(relay)
    for link in links:
        link.close()


def test_disconnected_callers_hold_no_resources(engines):
    relay = build_relay(*[engine.address for engine in engines])
    answers = [
        relay.open(admitted_request(f"r{number}"), chat_call(f"r{number}", 500)).unwrap()
        for number in range(20)
    ]
    for number, answer in enumerate(answers):
        if number % 2:
            next(iter(answer))
        answer.close()
    for engine in engines:
        wait_until(
            lambda e=engine: running_count(e.address) == 0,
            5.0,
            "the engine has cancelled the requests",
        )
    assert_no_resources_held(relay)
    assert {answer.outcome.verdict for answer in answers} == {Verdict.MAY_HAVE_RUN}


def test_cancelled_response_ends_at_the_caller_and_the_engine(engines):
    relay = build_relay(engines[0].address)
    answer = relay.open(admitted_request("r0"), chat_call("r0", 500)).unwrap()
    gevent.spawn_later(0.2, relay.cancel, "r0", RefusalReason.KEY_WITHDRAWN)
    with gevent.Timeout(2.0):
        list(answer)
    assert answer.failure.reason is RefusalReason.KEY_WITHDRAWN
    wait_until(lambda: running_count(engines[0].address) == 0, 3.0)
    assert_no_resources_held(relay)


def test_request_is_cancelled_before_its_first_bytes(engines):
    set_faults(engines[0].address, late_next=1, late_s=20.0)
    relay = build_relay(engines[0].address)
    gevent.spawn_later(0.3, relay.cancel, "r0", RefusalReason.KEY_WITHDRAWN)
    with gevent.Timeout(2.0):
        refused = relay.open(admitted_request("r0"), chat_call("r0", 50)).unwrap_err()
    assert refused.reason is RefusalReason.KEY_WITHDRAWN
    assert refused.verdict is Verdict.MAY_HAVE_RUN
    assert_no_resources_held(relay)

"""A preempted response resumes where it stopped, and the caller receives the text without gaps."""

import gevent
import pytest

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.standins import answer_tokens
from hickoryloom.verdict import Verdict
from tests.backends import (
    Backends,
    admitted_request,
    build_relay,
    chat_call,
    engine_text,
    read_journal,
    stream_text,
)
from tests.harness import wait_until
from tests.site import DOCUMENTS, DOMAINS, Site

pytestmark = pytest.mark.processes

TOKENS = 60


@pytest.fixture
def engine(tmp_path):
    backends = Backends(tmp_path)
    yield backends.start("engine", "--token-ms", "10")
    backends.close()


class Stream:
    """Reads one streamed response in the background."""

    def __init__(self, relay, id, tokens=TOKENS):
        self.relay = relay
        self.raw = b""
        self.answer = relay.open(admitted_request(id), chat_call(id, tokens)).unwrap()
        self.task = gevent.spawn(self._read)

    def _read(self):
        for block in self.answer:
            self.raw += block


def test_preempted_stream_frees_the_engine_and_resumes_when_readmitted(engine):
    relay = build_relay(engine.address)
    stream = Stream(relay, "r1")
    wait_until(lambda: stream.raw.count(b"data:") > 10)
    positions = []
    readmitted = gevent.event.Event()

    def readmit(delivered):
        positions.append(delivered)
        readmitted.wait()

    relay.preempt("r1", readmit)
    wait_until(lambda: positions)
    wait_until(
        lambda: read_journal(engine.address)["running"] == 0, what="the engine's slot is free"
    )
    raw_at_preemption = stream.raw
    gevent.sleep(0.2)
    assert stream.raw == raw_at_preemption
    readmitted.set()
    stream.task.get(timeout=10)
    assert stream.answer.outcome.complete and stream.answer.outcome.resumed == 1
    assert stream_text(stream.raw, "r1") == engine_text("r1", TOKENS)
    assert 10 < positions[0] < TOKENS


def test_preempted_stream_fails_with_the_refusal_when_not_readmitted(engine):
    relay = build_relay(engine.address)
    stream = Stream(relay, "r1")
    wait_until(lambda: stream.raw.count(b"data:") > 10)
    refused = Refused(RefusalReason.PREEMPTED, Verdict.NOT_RUN, 2.0)
    relay.preempt("r1", lambda delivered: refused)
    stream.task.get(timeout=10)
    assert not stream.answer.outcome.complete
    assert stream.answer.failure.reason is RefusalReason.PREEMPTED
    assert stream.answer.failure.retry_after_s == 2.0
    assert stream.answer.failure.verdict is Verdict.MAY_HAVE_RUN
    assert relay.open_requests == 0


def test_preemptions_do_not_count_as_attempts(engine):
    relay = build_relay(engine.address)
    stream = Stream(relay, "r1")
    for _ in range(8):
        position = stream.raw.count(b"data:")
        wait_until(lambda at=position: stream.raw.count(b"data:") > at + 2)
        relay.preempt("r1", lambda delivered: None)
    stream.task.get(timeout=10)
    assert stream.answer.outcome.complete and stream.answer.outcome.resumed >= 6
    assert stream_text(stream.raw, "r1") == engine_text("r1", TOKENS)


@pytest.fixture
def site(tmp_path):
    site = Site(tmp_path, DOCUMENTS)
    site.add_engine(DOMAINS[0], "--token-ms", "20")
    site.add_service()
    site.publish()
    site.add_entry()
    site.wait_serving("entry-1")
    yield site
    site.stop()


def test_preempted_drafts_complete_after_the_guests(site):
    key = site.issue_key("studio")
    wait_until(lambda: site.ask("entry-1", key).status == 200)

    def ask(name, number, tokens):
        messages = [{"role": "user", "content": f"{name} {number}"}]
        fields = {"messages": messages, "max_tokens": tokens, "answer_tokens": tokens}
        reply = site.ask("entry-1", key, headers={"X_Request_Class": name}, **fields)
        return reply, "".join(answer_tokens({"model": "assistant", **fields}))

    drafts = [gevent.spawn(ask, "draft", number, 150) for number in range(4)]
    wait_until(lambda: site.status("entry-1")["pools"]["assistant"]["in_flight"] >= 3)
    guests = [gevent.spawn(ask, "guest", number, 80) for number in range(3)]
    gevent.joinall([*drafts, *guests], raise_error=True)
    assert all(task.value[0].complete for task in guests), [task.value[0].body for task in guests]
    for task in drafts:
        reply, text = task.value
        assert reply.status == 200 and reply.complete and reply.text == text, reply.body[-300:]
    assert "cause=preempted" in site.entries[0].log()
    assert site.status("entry-1")["open_requests"] == 0

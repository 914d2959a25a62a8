"""A relay whose streams break off at engines of several software versions."""

import json

import pytest

from hickoryloom.relay.tests.support import (
    admitted,
    backend_view,
    build_relay,
    chat_body,
    chat_call,
)
from hickoryloom.standins.text import answer_tokens
from hickoryloom.verdict import Verdict

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
TOKENS = answer_tokens(chat_body())
BEGUN = 2


def build_events(first, last, id):
    fields = [
        {"id": id, "position": number, "choices": [{"delta": {"content": TOKENS[number]}}]}
        for number in range(first, last)
    ]
    return [b"data: " + json.dumps(item).encode() + b"\n\n" for item in fields]


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


@pytest.fixture
def engines(start_server):
    """Start engines that break new streams off, and complete those that are resumed."""
    started = {"begun": [], "resumed": []}

    def start(version):
        def handle(sock, _address):
            head, _, body = sock.recv(65536).partition(b"\r\n\r\n")
            if head.startswith(b"POST /v1/chat"):
                lines = (line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:])
                id = dict(lines)[b"x-request-id"].decode()
                resume = json.loads(body).get("resume")
                started["resumed" if resume else "begun"].append((id.partition("~")[0], version))
                first, last = (resume["position"], len(TOKENS)) if resume else (0, BEGUN)
                end = chunk(b"data: [DONE]\n\n") + b"0\r\n\r\n" if resume else b""
                sock.sendall(HEAD + b"".join(map(chunk, build_events(first, last, id))) + end)
            sock.close()

        return start_server(handle)

    return start, started


def test_a_stream_that_breaks_off_goes_on_at_the_version_that_began_it(engines):
    start, started = engines
    views = [
        backend_view(f"{version}-{number}", start(version), software=version)
        for number, version in enumerate(["v1", "v2", "", "v1", "v2", ""])
    ]
    relay = build_relay(*views)
    for number in range(20):
        response = relay.open(admitted(f"req-{number}"), chat_call(user=str(number))).unwrap()
        assert b"".join(response).count(b'"position"') == len(TOKENS)
    begun = dict(started["begun"])
    assert set(begun.values()) == {"v1", "v2", ""}
    assert {id for id, _ in started["resumed"]} == set(begun)
    assert all(begun[id] == version for id, version in started["resumed"])


def test_a_stream_of_a_version_that_is_gone_is_refused(engines):
    start, started = engines
    views = [backend_view("a", start("v1"), software="v1")]
    relay = build_relay(*views)
    response = relay.open(admitted(), chat_call()).unwrap()
    relay._router.set_views([backend_view("b", start("v2"), software="v2")])
    b"".join(response)
    assert response.failure is not None
    assert response.failure.verdict is Verdict.MAY_HAVE_RUN
    assert started["resumed"] == []

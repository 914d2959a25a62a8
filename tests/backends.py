"""Backend servers in processes of their own, and a relay in the test process that calls them."""

import json
import random

from hickoryloom.admission import Admitted, Request
from hickoryloom.clock import SystemClock
from hickoryloom.http import Call, JsonClient
from hickoryloom.relay import Relay
from hickoryloom.routing import BackendView, Router
from hickoryloom.standins.text import answer_tokens
from tests.harness import Process

POOL = "assistants"


class Backends:
    """Starts stand-in backend servers and kills them at the end of the test."""

    def __init__(self, directory):
        self._directory = directory
        self.processes = []

    def start(self, kind, *arguments):
        return self.start_many(1, kind, *arguments)[0]

    def start_many(self, count, kind, *arguments):
        """Start several processes concurrently and wait until all are ready."""
        processes = [self._launch(kind, *arguments) for _ in range(count)]
        for process in processes:
            process.address = process.wait_ready()["address"]
        return processes

    def _launch(self, kind, *arguments):
        name = f"{kind}-{len(self.processes)}"
        ready = self._directory / f"{name}.ready.json"
        arguments = ["standin", kind, "--ready-file", str(ready), *arguments]
        process = Process(self._directory, name, arguments)
        self.processes.append(process)
        return process

    def close(self):
        for process in self.processes:
            process.resume()
            process.kill()


def set_faults(address, **switches):
    call_json(address, "POST", "/standin/faults", switches)


def read_journal(address):
    return call_json(address, "GET", "/standin/journal")


def read_run_counts(address):
    return call_json(address, "GET", "/standin/runs")


def call_json(address, method, path, body=None):
    client = JsonClient(address, timeout_s=10.0, connections=1)
    answer = client.call(method, path, body).unwrap()
    client.close()
    assert answer.status == 200, answer
    return answer.body


def build_relay(*addresses, pool=POOL, **options):
    clock = SystemClock()
    router = Router(clock, random.Random(1), "local")
    views = [BackendView(f"b{i}", address, "local", pool) for i, address in enumerate(addresses)]
    router.set_views(views)
    return Relay(router, clock, **options)


def admitted_request(id, idempotent=True, stream=True, pool=POOL):
    now = SystemClock().monotonic()
    key = "" if idempotent else f"key-{id}"
    request = Request(
        id,
        "horak",
        "booking",
        pool,
        "guest",
        1,
        idempotent,
        now,
        now + 10,
        idempotency_key=key,
        stream=stream,
    )
    return Admitted(request, now, 100)


def chat_body(id, tokens, stream=True):
    messages = [{"role": "user", "content": f"question {id}"}]
    options = {"answer_tokens": tokens, "max_tokens": tokens}
    return {"model": "assistant", "messages": messages, "stream": stream, **options}


def chat_call(id, tokens, stream=True):
    body = json.dumps(chat_body(id, tokens, stream)).encode()
    return Call("POST", "/v1/chat/completions", "", (("content-type", "application/json"),), body)


def service_call(method="POST", path="/services/booking/deposits"):
    return Call(method, path, "", (("content-type", "application/json"),), b'{"bench": 7}')


def engine_text(id, tokens, stream=True):
    return "".join(answer_tokens(chat_body(id, tokens, stream)))


def relay_stream(relay, id, tokens):
    """Relay one stream to its end and return its text and outcome."""
    answer = relay.open(admitted_request(id), chat_call(id, tokens)).unwrap()
    raw = b"".join(answer)
    assert answer.failure is None, answer.failure
    return stream_text(raw, id), answer.outcome


def stream_text(raw, id):
    """Return the text of a complete stream after checking its events."""
    blocks = raw.split(b"\n\n")
    assert blocks[-2:] == [b"data: [DONE]", b""], raw[-300:]
    events = [json.loads(block.removeprefix(b"data: ")) for block in blocks[:-2]]
    assert [event["position"] for event in events] == list(range(len(events)))
    assert {event["id"] for event in events} == {id}
    assert "usage" in events[-1]
    return "".join(event["choices"][0]["delta"]["content"] for event in events)


def assert_no_resources_held(relay):
    assert relay.open_requests == 0
    assert relay.connections.in_use == 0
    assert relay._router.in_flight() == 0

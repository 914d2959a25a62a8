"""Streams that a machine took back from another one go on at servers of another version."""

import os
import re
import sys
import time
from pathlib import Path

import gevent
import gevent.socket

FOLDER = Path(__file__).resolve().parent
sys.path[:0] = [str(FOLDER.parent), str(FOLDER.parent.parent)]

from lab_2 import HOST, main, route, trouble  # noqa: E402

from hickoryloom.platform.tests.standin import (  # noqa: E402
    LAST_CHUNK,
    Backend,
    build_stream_head,
)

KEY = "key-of-one"
TENANTS = [{"name": "one", "api_keys": [KEY], "priority": 1}]
MACHINES = 6
VERSIONS = ("v1", "v1", "v2", "v2")
KNOWN_S = 12.0
CUT_S = 6.0
FIRST_S = 1.5
EVERY_S = 0.05
EVENTS = 60
GAP_S = 0.15
KILLED_AFTER_S = 3.5
MAX_MIXED = 2
EVENT = re.compile(rb"id: (\d+)\ndata: (v\d)-\d+\n\n")
ONLY = os.environ.get("ONLY", "")


class Replica(Backend):
    """A replica whose events name the version of its software."""

    def __init__(self, id, version, lab):
        self._lab, self.version = lab, version
        super().__init__(id, "llm", self._stream)

    def _stream(self, request):
        id = request["headers"]["attempt-id"]
        last = int(request["headers"].get("last-event-id", 0))
        self._lab.note(f"{self.id} {self.version} runs {id} from event {last + 1}")
        yield build_stream_head(request)
        for number in range(last + 1, EVENTS + 1):
            event = f"id: {number}\ndata: {self.version}-{number}\n\n".encode()
            yield f"{len(event):x}\r\n".encode() + event + b"\r\n"
            yield GAP_S
        yield LAST_CHUNK


def play(lab):
    """Return the exit code: whether ORDER holds after one machine was cut off, another killed."""
    for number, version in enumerate(VERSIONS):
        lab.add_backend(Replica(f"llm-{number}", version, lab), version=version, capacity=64)
    stream = route(
        "chat",
        "streaming",
        "llm",
        max_attempts=2,
        timeout_ms=12000,
        target_latency_ms=300,
        stream_resume=True,
        priority=0,
    )
    lab.configure(1, [stream], ("llm",), TENANTS)
    cut_off = lab.launch("edge-1", behind_wires=True)
    others = [lab.launch(f"edge-{number}") for number in range(2, MACHINES + 1)]
    for gateway in (cut_off, *others):
        gateway.wait_ready()
    gevent.sleep(KNOWN_S)

    cut = trouble() and ONLY != "kill"
    if cut:
        for wire in cut_off.wires.values():
            wire.reset()
        lab.say("edge-1 is partitioned from all replicas")
    cut_at = time.monotonic()
    gevent.sleep(FIRST_S)
    answers, calls = {}, []

    def send():
        while True:
            calls.append(gevent.spawn(read_stream, lab, cut_off, f"s{len(calls)}", answers))
            gevent.sleep(EVERY_S)

    sending = gevent.spawn(send)
    gevent.sleep(max(0.0, cut_at + CUT_S - time.monotonic()))
    if cut:
        for wire in cut_off.wires.values():
            wire.heal()
        lab.say(f"edge-1 reaches the replicas again, {time.monotonic() - cut_at:.1f} s later")
    gevent.sleep(KILLED_AFTER_S)
    if trouble() and ONLY != "cut":
        others[0].kill()
        lab.say("edge-2 is killed")
    sending.kill()
    gevent.joinall(calls)

    mixed, whole = [], 0
    for id, (complete, body) in sorted(answers.items()):
        events = EVENT.findall(body)
        versions = [version.decode() for _, version in events]
        lab.note(f"{id}: complete {complete}, {len(events)} events, {' '.join(versions)}")
        whole += complete and len(events) == EVENTS
        if len(set(versions)) > 1:
            mixed.append(id)
    lab.say(f"{whole} of {len(calls)} streams are whole; {len(mixed)} hold events of two versions")
    broken = len(mixed) > MAX_MIXED
    lab.say(f"ORDER {'broken' if broken else 'held'}: {MAX_MIXED} are allowed")
    return 1 if broken else 0


def read_stream(lab, gateway, id, answers):
    """Read one stream and record whether it ended as complete, and its events."""
    lab.note(f"sent to {gateway.name}: {id}")
    head = (
        f"POST /chat/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nDeadline-Ms: 12000\r\n"
        f"X-Api-Key: {KEY}\r\nContent-Length: 2\r\n\r\n{{}}"
    )
    raw = b""
    try:
        with socket_to(gateway) as sock:
            sock.sendall(head.encode())
            while not raw.endswith(b"\r\n" + LAST_CHUNK):
                data = sock.recv(65536)
                if not data:
                    break
                raw += data
    except OSError as error:
        lab.note(f"{id}: {type(error).__name__}")
    status = raw[:20].split(b"\r\n")[0].decode("latin-1")
    lab.note(f"answered: {id} {status}")
    answers[id] = raw.endswith(b"\r\n" + LAST_CHUNK), unchunked(raw)


def socket_to(gateway):
    """Return a connection to the callers' address of a gateway."""
    return gevent.socket.create_connection(("127.0.0.1", gateway.port), 14.0)


def unchunked(raw):
    """Return the body of a chunked response, as far as it arrived."""
    _, _, rest = raw.partition(b"\r\n\r\n")
    body = b""
    while b"\r\n" in rest:
        size, _, rest = rest.partition(b"\r\n")
        try:
            length = int(size, 16)
        except ValueError:
            break
        body, rest = body + rest[:length], rest[length + 2 :]
    return body


if __name__ == "__main__":
    main(FOLDER, play)

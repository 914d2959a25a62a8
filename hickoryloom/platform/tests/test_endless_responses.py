"""Backend servers that send bytes without end to a real gateway process."""

import re
import time
from pathlib import Path

import gevent
import pytest

from hickoryloom.platform.tests.standin import Backend, respond

pytestmark = [pytest.mark.processes, pytest.mark.seconds(40)]

SMALL_INSTANCE_KB = 128 * 1024
CALLERS = 12
IN_TIME_S = 2.5
"""Well before the route's timeout of four seconds."""

HEAD = (
    "HTTP/1.1 200 OK\r\nAttempt-Id: {id}\r\nReplica-Signature: 3e1b.07\r\n"
    "Content-Type: {content_type}\r\n"
)
FILL = b"x" * 16 * 1024
ENDLESS = {
    "head": ("", b"X-Fill: y\r\n" * 1000),
    "field": ("X-Fill: ", FILL),
    "chunk-extension": ("Transfer-Encoding: chunked\r\n\r\n5;x=", FILL),
    "chunk-size": ("Transfer-Encoding: chunked\r\n\r\n", b"0" * 16 * 1024),
    "trailer": ("Transfer-Encoding: chunked\r\n\r\n0\r\n", b"X-Fill: y\r\n" * 1000),
    "extension-of-each-byte": (
        "Transfer-Encoding: chunked\r\n\r\n",
        b"1;" + b"x" * 8_000 + b"\r\ny\r\n",
    ),
    "chunks": (
        "Transfer-Encoding: chunked\r\n\r\n",
        b"%x\r\n%b\r\n" % (len(FILL), FILL),
    ),
    "unframed-body": ("\r\n", FILL),
}


def endless(kind, content_type, pause_s=0.0):
    start, block = ENDLESS[kind]

    def script(request):
        head = HEAD.format(id=request["headers"]["attempt-id"], content_type=content_type)
        yield (head + start).encode()
        while True:
            yield block
            yield pause_s

    return script


def peak_memory_kb(gateway):
    status = Path(f"/proc/{gateway._process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s*(\d+) kB", status).group(1))


def call(gateway, path, number):
    """Return the status, or 0 if the response was broken off, and the seconds until then."""
    started_at = time.monotonic()
    try:
        status = gateway.call(path, id=f"r{number}", Token_Count="100,50")[0]
    except Exception:
        status = 0
    return status, time.monotonic() - started_at


@pytest.mark.parametrize("kind", ENDLESS)
@pytest.mark.parametrize(
    ("path", "service", "content_type"),
    [("/once/x", "app", "text/plain"), ("/answer/x", "llm", "text/event-stream")],
)
def test_an_endless_response_costs_bounded_memory_and_time(site, kind, path, service, content_type):
    server = site.add_backend(Backend("i-1", service, endless(kind, content_type)))
    gateway = site.start()
    calls = [gevent.spawn(call, gateway, path, number) for number in range(CALLERS)]
    gevent.joinall(calls)
    assert {status for status, _ in (done.value for done in calls)} <= {0, 502, 503}
    assert max(seconds for _, seconds in (done.value for done in calls)) < IN_TIME_S
    assert peak_memory_kb(gateway) < SMALL_INSTANCE_KB
    gevent.sleep(0.3)
    assert server.open_connections == 0


def test_endless_responses_that_grow_together_cost_bounded_memory(site):
    paced = endless("unframed-body", "text/plain", pause_s=0.002)
    site.add_backend(Backend("i-1", "app", paced), capacity=CALLERS)
    gateway = site.start()
    calls = [gevent.spawn(call, gateway, "/once/x", number) for number in range(CALLERS)]
    gevent.joinall(calls)
    assert {status for status, _ in (done.value for done in calls)} <= {0, 502, 504}
    assert peak_memory_kb(gateway) < SMALL_INSTANCE_KB


def test_other_responses_are_delivered_beside_endless_ones(site):
    site.add_backend(Backend("i-1", "llm", endless("unframed-body", "text/event-stream")))
    site.add_backend(Backend("i-2", "app", respond))
    gateway = site.start()
    calls = [gevent.spawn(call, gateway, "/answer/x", number) for number in range(CALLERS)]
    statuses = [gateway.call("/read/x", id=f"s{number}")[0] for number in range(5)]
    gevent.joinall(calls)
    assert statuses == [200] * 5

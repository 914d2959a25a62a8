"""Configuration changes, reloads and signals while callers have requests in progress."""

import signal
import time
from http.client import HTTPConnection

import gevent
import pytest
from gevent import socket

from hickoryloom.platform.tests.site import HOST, KEY, configuration, route
from hickoryloom.platform.tests.standin import (
    LAST_CHUNK,
    Backend,
    build_event,
    build_response,
    build_stream_head,
    respond,
)

pytestmark = [pytest.mark.processes, pytest.mark.seconds(95)]

APPLY_S = 2.0
STOP_S = 8.0
RUN_S = 2.0
EVENTS = 20
NAMES = ("once", "draft", "read")
LIMITS = configuration()["limits"]
LARGE = [route(f"r{number}", "idempotent", "app") for number in range(300)]
CHANGES = {
    "routes-moved": {"routes": [route(name, "idempotent", "other") for name in NAMES]},
    "routes-split": {
        "routes": [
            route(
                name,
                "idempotent",
                "other",
                traffic_split=[
                    {"service": service, "weight": weight}
                    for service, weight in (("app", 0), ("other", 1))
                ],
            )
            for name in NAMES
        ]
    },
    "routes-removed": {"routes": []},
    "routes-many": {"routes": [*LARGE, *configuration()["routes"]]},
    "services-removed": {"services": []},
    "health-path-changed": {
        "services": [{"name": name, "health_path": "/other"} for name in ("app", "llm")]
    },
    "timeouts-shortened": {
        "routes": [
            route("once", "non_idempotent", "app", timeout_ms=300),
            route("draft", "streaming", "llm", timeout_ms=300),
            route("read", "idempotent", "app", timeout_ms=300),
        ]
    },
    "limits-lowered": {
        "limits": {
            "max_header_bytes": 120,
            "max_body_bytes": 1,
            "header_timeout_ms": 100,
            "idle_timeout_ms": 100,
        }
    },
    "limits-raised": {"limits": {**LIMITS, "idle_timeout_ms": 120_000}},
    "keys-withdrawn": {"keys": ["another-key"]},
    "tenants-removed": {"tenants": []},
    "priorities-changed": {"tenants": [{"name": "one", "api_keys": [KEY], "priority": 7}]},
}


def head(name, id, length=0):
    return (
        f"POST /{name}/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: {id}\r\nX-Api-Key: {KEY}\r\n"
        f"Token-Count: 9,9\r\nContent-Length: {length}\r\n\r\n"
    ).encode()


def read_answer(sock):
    """Return the status line of an answer with a length."""
    sock.settimeout(APPLY_S + RUN_S)
    received = b""
    while b"\r\n\r\n" not in received:
        block = sock.recv(65536)
        assert block, f"connection ended after {received!r}"
        received += block
    return received.split(b"\r\n")[0]


def send_slowly(gateway, data, pieces=12):
    with socket.create_connection(("127.0.0.1", gateway.port)) as sock:
        size = -(-len(data) // pieces)
        for start in range(0, len(data), size):
            sock.sendall(data[start : start + size])
            gevent.sleep(RUN_S / 2 / pieces)
        return read_answer(sock)


def run_slowly(request):
    yield RUN_S
    yield build_response(request)


def stream_slowly(request):
    yield build_stream_head(request)
    for number in range(1, EVENTS + 1):
        yield build_event(number)
        yield RUN_S / EVENTS
    yield LAST_CHUNK


def answer_or_run(request):
    return (run_slowly if request["target"].startswith("/once") else respond)(request)


@pytest.fixture
def gateway(site):
    site.add_backend(Backend("i-1", "app", answer_or_run))
    site.add_backend(Backend("i-2", "llm", stream_slowly))
    site.add_backend(Backend("i-3", "other", respond))
    return site.start()


@pytest.mark.parametrize("change", sorted(CHANGES))
def test_a_configuration_change_ends_no_request_without_an_answer(site, gateway, change):
    """Guards against changes that cut what callers have sent under the configuration before."""
    idle = socket.create_connection(("127.0.0.1", gateway.port))
    running = [
        gevent.spawn(gateway.call, "/once/x", id="a1"),
        gevent.spawn(gateway.call, "/draft/x", id="a2", Token_Count="9,9"),
    ]
    being_read = [
        gevent.spawn(send_slowly, gateway, head("read", "a3", 12) + b"twelve bytes"),
        gevent.spawn(send_slowly, gateway, head("read", "a4"), 40),
    ]
    gevent.sleep(0.3)
    for version in range(2, 5):
        site.configure(version=version, **CHANGES[change])
        gevent.sleep(0.1)
    deadline = time.monotonic() + APPLY_S
    while "version=4 " not in gateway.events("catalog-in-force")[-1]:
        assert time.monotonic() < deadline
        gevent.sleep(0.02)
    idle.sendall(head("read", "a5"))
    assert read_answer(idle).startswith(b"HTTP/1.1 ")
    idle.close()
    for caller in being_read:
        assert caller.get(timeout=STOP_S).startswith(b"HTTP/1.1 ")
    (once, _, body), (draft, _, events) = [caller.get(timeout=STOP_S) for caller in running]
    assert (once, body, draft) == (200, b"done", 200)
    assert events.count(b"id: ") == EVENTS
    assert not gateway.events("task-step-failed")


BROKEN_FILES = {
    "missing": None,
    "half": lambda text: text[: len(text) // 2],
    "empty": lambda _: b"",
    "binary": lambda _: b"\xff\xfe\x00",
    "impossible-date": lambda text: text + b"since: 2026-99-99\n",
    "list": lambda _: b"- 1\n- 2\n",
    "bounds-of-zero": lambda text: text.replace(b"revoke_ms: 5000", b"revoke_ms: 0"),
    "rates-of-zero": lambda text: text.replace(b"reads_per_s: 2000", b"reads_per_s: 0"),
}


@pytest.mark.parametrize("found", sorted(BROKEN_FILES))
def test_a_settings_file_that_cannot_be_used_leaves_the_process_as_it_is(gateway, found):
    """Guards against a reload that refuses callers, or that fails without a line in the log."""
    running = gevent.spawn(gateway.call, "/draft/x", id="a1", Token_Count="9,9")
    sound = gateway.path.read_bytes()
    gateway.path.unlink()
    if BROKEN_FILES[found] is not None:
        gateway.path.write_bytes(BROKEN_FILES[found](sound))
    for _ in range(10):
        gateway.signal(signal.SIGHUP)
        gevent.sleep(0.02)
    for number in range(5):
        assert gateway.call("/read/x", id=f"b{number}")[0] == 200
        gevent.sleep(0.1)
    assert gateway.events("settings-unsound")
    assert "Traceback" not in gateway.log()
    gateway.write_settings(revoke_ms=4000)
    gevent.sleep(1.2)
    assert "in_force=revoke_s" in gateway.events("settings-reloaded")[-1]
    status, _, events = running.get(timeout=STOP_S)
    assert (status, events.count(b"id: ")) == (200, EVENTS)


def test_reloads_during_a_stop_end_nothing(gateway):
    """Guards against a second signal that ends the requests which a stop waits for."""
    running = gevent.spawn(gateway.call, "/draft/x", id="a1", Token_Count="9,9")
    gevent.sleep(0.3)
    stopped_at = time.monotonic()
    for _ in range(10):
        gateway.signal(signal.SIGTERM)
        gateway.write_settings(revoke_ms=4000)
        gateway.signal(signal.SIGHUP)
        gevent.sleep(0.1)
    status, _, events = running.get(timeout=STOP_S)
    assert (status, events.count(b"id: ")) == (200, EVENTS)
    assert gateway.wait(STOP_S - (time.monotonic() - stopped_at)) == 0
    assert gateway.events("settings-reloaded")


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.1, 0.3])
def test_a_stop_during_the_start_is_carried_out(site, delay_s):
    """Guards against a start that misses SIGTERM and is killed with callers connected."""
    site.add_backend(Backend("i-1", "app", respond))
    gateway = site.launch()
    gateway.wait_signal_ignored(signal.SIGTERM)
    gevent.sleep(delay_s)
    gateway.signal(signal.SIGTERM)
    assert gateway.wait(STOP_S) == 0
    assert "event=process-stopped" in gateway.log()


def test_kept_connections_survive_a_series_of_changes_and_reloads(site, gateway):
    """Guards against changes that close the connections which callers keep."""
    connection = HTTPConnection("127.0.0.1", gateway.port, timeout=APPLY_S)
    connection.connect()
    local = connection.sock.getsockname()
    for version in range(2, 32):
        site.configure(version=version, keys=[KEY, f"key-{version}"])
        gateway.write_settings(revoke_ms=4000 + version)
        gateway.signal(signal.SIGHUP)
        headers = {"Host": HOST, "Attempt-Id": f"c{version}", "X-Api-Key": KEY}
        connection.request("POST", "/read/x", b"body", headers)
        response = connection.getresponse()
        assert (response.status, response.read()) == (200, b"done")
        assert connection.sock.getsockname() == local
        gevent.sleep(0.1)
    connection.close()

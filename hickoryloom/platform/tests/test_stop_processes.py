"""Real gateway processes that stop while calls to the outside hang or requests outlast the stop."""

import json
import random
import signal
import time

import gevent
import pytest
from geventhttpclient import HTTPClient
from geventhttpclient._parser import HTTPParseError
from geventhttpclient.response import HTTPConnectionClosed

from hickoryloom.clock import SystemClock
from hickoryloom.gateway.peer_attempts import UNABLE_REASONS
from hickoryloom.handover import (
    HandOver,
    HandOverClient,
    HandOverPeer,
    HandOverPeers,
    HandOverResult,
    ReceivedCall,
)
from hickoryloom.platform.tests.site import HOST, KEY, route
from hickoryloom.platform.tests.standin import Backend, build_event, build_stream_head, respond
from hickoryloom.upstream import ConnectionPool
from hickoryloom.verdict import Verdict
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(60)]

REFUSED_AFTER_S = 3.0
GRACE_PERIOD_S = 8.0
SILENT_AFTER_S = 6.5
"""Shortly before requests are ended, so that the client of the store does not know it yet."""

HANGING_CALL_S = 20.0
LONG_MS = 20_000
ENGINE_HEADERS = {"Token_Count": "100,50", "Prompt_Prefix": "aa:40", "Model": "m"}


def respond_too_late(request):
    yield 2 * GRACE_PERIOD_S


def stream_beyond_the_stop(request):
    yield build_stream_head(request)
    for id in range(1, 200):
        yield build_event(id)
        yield 0.1


@pytest.fixture
def slow_site(site):
    """A site with routes on which requests outlast a stop."""
    routes = [
        route("once", "non_idempotent", "late", max_attempts=1, timeout_ms=LONG_MS),
        route("read", "idempotent", "late", timeout_ms=LONG_MS, target_latency_ms=8000),
        route("answer", "streaming", "late", max_attempts=1, timeout_ms=LONG_MS),
        route("draft", "streaming", "llm", timeout_ms=LONG_MS),
        route("soon", "idempotent", "app"),
    ]
    services = [
        {"name": name, "health_path": "", "max_connections": 100} for name in ("late", "llm", "app")
    ]
    site.configure(version=2, routes=routes, services=services)
    site.add_backend(Backend("i-1", "late", respond_too_late))
    site.add_backend(Backend("i-2", "llm", stream_beyond_the_stop))
    site.add_backend(Backend("i-3", "app", respond))
    return site


def call_long(gateway, path, **headers):
    """Send a request that outlasts the stop; return its response, or the error of its reader."""
    client = HTTPClient("127.0.0.1", gateway.port, network_timeout=2 * GRACE_PERIOD_S)
    sent = {"Host": HOST, "Attempt-Id": "long", "X-Api-Key": KEY, "Deadline-Ms": str(LONG_MS)}
    sent.update({name.replace("_", "-"): value for name, value in headers.items()})
    try:
        response = client.request("POST", path, b"", sent)
        return response.status_code, dict(response.headers), bytes(response.read())
    except (OSError, HTTPConnectionClosed, HTTPParseError) as error:
        return error
    finally:
        client.close()


def sleep_until(started_at, after_s):
    gevent.sleep(max(0.0, started_at + after_s - time.monotonic()))


def test_a_holder_whose_calls_hang_refuses_requests_in_time(slow_site):
    """Guards against requests that are accepted too late to be completed in time."""
    slow_site.duties.delay_s = HANGING_CALL_S
    gateway = slow_site.start()
    stream = gevent.spawn(call_long, gateway, "/draft/x", **ENGINE_HEADERS)
    kept = HTTPClient("127.0.0.1", gateway.port, network_timeout=GRACE_PERIOD_S)
    headers = {"Host": HOST, "Attempt-Id": "a1", "X-Api-Key": KEY, "Deadline-Ms": "4000"}
    assert kept.request("POST", "/soon/x", b"", headers).read() == b"done"
    calls = len(slow_site.duties.calls)
    wait_until(lambda: len(slow_site.duties.calls) > calls)
    stopped_at = time.monotonic()
    gateway.signal(signal.SIGTERM)
    sleep_until(stopped_at, REFUSED_AFTER_S)
    response = kept.request("POST", "/soon/x", b"", {**headers, "Attempt-Id": "a2"})
    assert response.status_code == 503
    assert json.loads(response.read())["error"]["type"] == "stopping"
    assert float(dict(response.headers)["Retry-After"]) == 0
    assert gateway.call("/soon/x", id="a3")[0] == 503
    assert gateway.wait(GRACE_PERIOD_S - (time.monotonic() - stopped_at)) == 0
    assert isinstance(stream.get(), Exception)


def test_requests_without_a_response_at_the_end_of_the_stop_are_answered(slow_site):
    """Guards against accepted requests whose connections the end of the process closes."""
    gateway = slow_site.start()
    paths = ("/once/x", "/read/x", "/answer/x")
    tasks = [gevent.spawn(call_long, gateway, path, **ENGINE_HEADERS) for path in paths]
    wait_until(lambda: len(slow_site.backends[0].requests) == len(paths))
    gateway.signal(signal.SIGTERM)
    assert gateway.wait(GRACE_PERIOD_S) == 0
    for task in tasks:
        status, _, body = task.get()
        assert status == 502
        assert json.loads(body)["error"] == {"type": "stopping", "verdict": "may-have-run"}
    logged = [line for line in gateway.events("request") if "detail=stopping" in line]
    assert len(logged) == len(paths)


def test_a_request_of_another_instance_at_the_end_of_the_stop_is_answered(slow_site):
    """Guards against the same for a request that another instance has handed over."""
    gateway = slow_site.start()
    stored = slow_site.store.objects
    wait_until(lambda: any(kind == "counts" for kind, _ in stored))
    (counts,) = [stored[key]["spec"] for key in stored if key[0] == "counts"]
    clock = SystemClock()
    peers = HandOverPeers("", lambda address, service, now: False, random.Random(1))
    client = HandOverClient(peers, ConnectionPool(clock, id_header=""), UNABLE_REASONS)
    headers = (("attempt-id", "long"), ("x-api-key", KEY), ("deadline-ms", str(LONG_MS)))
    call = ReceivedCall("POST", "/once/x", HOST, headers, b"")
    peer = HandOverPeer(counts["address"], "zone-a", counts["token"])
    sent = HandOver("edge-2", "long", 0.0)
    exchange = client.send(peer, call, sent, clock.monotonic() + 2 * GRACE_PERIOD_S)
    wait_until(lambda: slow_site.backends[0].requests)
    gateway.signal(signal.SIGTERM)
    assert client.read_head(exchange) == HandOverResult("long", "stopping", Verdict.MAY_HAVE_RUN)
    assert exchange.status == 502
    assert gateway.wait(GRACE_PERIOD_S) == 0


def test_a_body_that_is_still_arriving_at_the_end_of_the_stop_is_refused(slow_site):
    """Guards against a closed connection for a request that can't have run."""
    gateway = slow_site.start()
    head = f"POST /once/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: b\r\nX-Api-Key: {KEY}\r\n"
    begun = (head + "Content-Length: 10\r\n\r\npart").encode()
    task = gevent.spawn(gateway.send_raw, begun, 2 * GRACE_PERIOD_S)
    gevent.sleep(0.2)
    gateway.signal(signal.SIGTERM)
    assert gateway.wait(GRACE_PERIOD_S) == 0
    received = task.get()
    assert received.startswith(b"HTTP/1.1 503 ") and b"Retry-After: " in received
    assert b'"stopping"' in received


def test_a_stream_that_outlasts_the_stop_ends_visibly_incomplete(slow_site):
    """Guards against a cut stream of which the log of the instance says nothing."""
    gateway = slow_site.start()
    task = gevent.spawn(call_long, gateway, "/draft/x", **ENGINE_HEADERS)
    wait_until(lambda: slow_site.backends[1].requests)
    gateway.signal(signal.SIGTERM)
    assert gateway.wait(GRACE_PERIOD_S) == 0
    assert isinstance(task.get(), Exception)
    (line,) = gateway.events("request")
    assert "outcome=broken-off" in line and "stopping" in line


def test_a_stop_ends_in_time_while_the_store_is_silent(slow_site):
    """Guards against a stop that waits for the store until the process is killed."""
    gateways = [slow_site.start(f"edge-{number}") for number in (1, 2)]
    task = gevent.spawn(call_long, gateways[0], "/draft/x", **ENGINE_HEADERS)
    wait_until(lambda: slow_site.duties.calls)
    stopped_at = time.monotonic()
    for gateway in gateways:
        gateway.signal(signal.SIGTERM)
    sleep_until(stopped_at, SILENT_AFTER_S)
    slow_site.store.fault = "silent"
    for gateway in gateways:
        assert gateway.wait(stopped_at + GRACE_PERIOD_S - time.monotonic()) == 0, gateway.log()
    task.get()

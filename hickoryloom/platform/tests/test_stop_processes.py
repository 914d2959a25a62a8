"""Real gateway processes that stop while calls to the outside hang or requests outlast the stop."""

import json
import signal
import time

import gevent
import pytest
from geventhttpclient import HTTPClient
from geventhttpclient._parser import HTTPParseError
from geventhttpclient.response import HTTPConnectionClosed

from hickoryloom.platform.tests.site import HOST, KEY, route
from hickoryloom.platform.tests.standin import Backend, build_event, build_stream_head, respond
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(25)]

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
    assert float(dict(response.headers)["Retry-After"]) > 0
    assert gateway.call("/soon/x", id="a3")[0] == 503
    assert gateway.wait(GRACE_PERIOD_S - (time.monotonic() - stopped_at)) == 0
    assert isinstance(stream.get(), Exception)


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

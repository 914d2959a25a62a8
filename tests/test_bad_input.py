"""Malformed requests, slow callers and disconnects: a clear 4xx, bounded memory and no leaks."""

import json
import time
from pathlib import Path

import gevent
import pytest
from gevent import socket
from hypothesis import given, settings
from hypothesis import strategies as st

from hickoryloom.http import JsonClient
from tests.harness import wait_until
from tests.site import call, start_site

pytestmark = pytest.mark.processes

MEGABYTE = 1024 * 1024
MAX_BODY_BYTES = 4 * MEGABYTE


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = start_site(tmp_path_factory.mktemp("site"), entries=1)
    site.key = site.issue_key("studio")
    wait_until(lambda: site.ask("entry-1", site.key).status == 200)
    yield site
    site.stop()


def read_resource_counts(site):
    admin = JsonClient(site.addresses["entry-1"]["admin"])
    status = admin.call("GET", "/status").unwrap().body
    admin.close()
    open_counts = {name: status[name] for name in ("open_requests", "open_attempts", "open_calls")}
    engines = [site.addresses[f"engine-{number + 1}"]["address"] for number in range(3)]
    running = sum(read_journal(address)["running"] for address in engines)
    return {**open_counts, "running_at_engines": running}


def read_journal(address):
    client = JsonClient(address)
    body = client.call("GET", "/standin/journal").unwrap().body
    client.close()
    return body


def assert_no_resources_held(site):
    wait_until(
        lambda: not any(read_resource_counts(site).values()),
        what=f"all counts are 0: {read_resource_counts(site)}",
    )


def post(site, body, path="/v1/chat/completions", **headers):
    all_headers = {
        "Authorization": f"Bearer {site.key}",
        "Content_Type": "application/json",
        **headers,
    }
    return call(site.listen("entry-1"), "POST", path, body, **all_headers)


def raw_exchange(site, request, timeout_s=10.0):
    """Send raw bytes; return the first block received, empty on close, error or timeout."""
    host, _, port = site.listen("entry-1").rpartition(":")
    with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
        try:
            sock.sendall(request)
            sock.settimeout(timeout_s)
            return sock.recv(65536)
        except (ConnectionError, TimeoutError):
            return b""


def exchange_to_end(site, request, timeout_s=10.0):
    """Send raw bytes; return all bytes received until the entry closes the connection."""
    host, _, port = site.listen("entry-1").rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
        sock.sendall(request)
        while data := sock.recv(65536):
            received += data
    return received


@pytest.mark.parametrize(
    "body, status",
    [
        (b"", 400),
        (b"{", 400),
        (b"[]", 400),
        (b"\xff\xfe", 400),
        (b"[" * 100_000, 400),
        (b"{}", 400),
        (json.dumps({"model": "assistant"}).encode(), 400),
        (json.dumps({"model": "none", "messages": []}).encode(), 404),
        (json.dumps({"model": "assistant", "messages": [], "max_tokens": "9"}).encode(), 400),
        (json.dumps({"model": "assistant", "messages": [], "resume": {}}).encode(), 400),
        (b'{"model": "' + b"x" * (MAX_BODY_BYTES + 1) + b'"}', 413),
    ],
)
def test_malformed_and_oversized_bodies_get_a_clear_4xx(site, body, status):
    reply = post(site, body)
    assert reply.status == status
    error = reply.json["error"]
    assert error["message"] and error["code"] and error["verdict"] == "not-run"
    assert_no_resources_held(site)


@pytest.mark.parametrize(
    "method, path, status",
    [
        ("GET", "/v1/chat/completions", 405),
        ("POST", "/nowhere", 404),
        ("POST", "/services/none/x", 404),
        ("GET", "/services/booking/../booking/schedule", 404),
    ],
)
def test_wrong_paths_and_methods_get_a_clear_4xx(site, method, path, status):
    reply = call(site.listen("entry-1"), method, path, Authorization=f"Bearer {site.key}")
    assert reply.status == status
    assert reply.json["error"]["verdict"] == "not-run"


def test_class_not_allowed_for_the_customer_is_refused(site):
    body = {"model": "assistant", "messages": []}
    reply = post(site, body, X_Request_Class="nonesuch")
    assert reply.status == 403 and reply.json["error"]["code"] == "class-not-allowed"


@pytest.mark.parametrize(
    "request_bytes",
    [
        b"nonsense\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: -1\r\n\r\n",
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: many\r\n\r\n",
        b"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"GET /" + b"a" * 20_000 + b" HTTP/1.1\r\nHost: x\r\n\r\n",
        b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: " + b"a" * 200_000 + b"\r\n\r\n",
        b"GET / HTTP/1.1\r\n" + b"".join(b"X-%d: 1\r\n" % n for n in range(2000)) + b"\r\n",
    ],
)
def test_malformed_http_gets_a_4xx_or_a_closed_connection(site, request_bytes):
    answer = raw_exchange(site, request_bytes)
    assert answer == b"" or answer.startswith(b"HTTP/1.1 4")
    assert site.ask("entry-1", site.key).status == 200
    assert_no_resources_held(site)


@pytest.mark.parametrize("size", [b"0x5", b"5g", b"-5", b"", b"\xb2"])
def test_a_malformed_chunk_size_gets_one_response_and_ends_the_connection(site, size):
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {site.key}\r\nTransfer-Encoding: chunked\r\n\r\n"
    ).encode()
    answer = exchange_to_end(site, head + size + b"\r\nhello\r\n0\r\n\r\n" + head)
    assert answer.startswith(b"HTTP/1.1 400 ") and answer.count(b"HTTP/1.1") == 1
    assert b"connection: close" in answer.lower()


@settings(max_examples=40)
@given(st.binary(max_size=300))
def test_random_bytes_do_not_stop_the_entry(site, random_bytes):
    raw_exchange(site, b"POST /v1/chat/completions HTTP/1.1\r\n" + random_bytes + b"\r\n\r\n", 0.2)
    assert call(site.listen("entry-1"), "GET", "/services/booking/hours").status == 200


def test_truncated_body_leaves_no_resources_held(site):
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {site.key}\r\n"
        "Content-Length: 1000\r\n\r\n{"
    ).encode()
    host, _, port = site.listen("entry-1").rpartition(":")
    for _ in range(20):
        sock = socket.create_connection((host, int(port)))
        sock.sendall(head)
        sock.close()
    assert_no_resources_held(site)


def test_slow_callers_do_not_delay_others(site):
    host, _, port = site.listen("entry-1").rpartition(":")
    slow = [socket.create_connection((host, int(port))) for _ in range(200)]
    for sock in slow:
        sock.sendall(b"POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 10\r\n\r\n{")
    started_at = time.monotonic()
    replies = [site.ask("entry-1", site.key) for _ in range(5)]
    assert all(reply.status == 200 for reply in replies)
    assert time.monotonic() - started_at < 10
    for sock in slow:
        sock.close()
    assert_no_resources_held(site)


def test_caller_disconnects_free_the_slot_and_the_engine(site):
    def ask_and_leave(number):
        host, _, port = site.listen("entry-1").rpartition(":")
        body = json.dumps(
            {
                "model": "assistant",
                "stream": True,
                "max_tokens": 5000,
                "answer_tokens": 5000,
                "messages": [{"role": "user", "content": f"question {number}"}],
            }
        ).encode()
        head = (
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
            f"Authorization: Bearer {site.key}\r\nContent-Length: {len(body)}\r\n\r\n"
        ).encode()
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(head + body)
            sock.recv(200)
            gevent.sleep(0.05 * (number % 4))

    gevent.joinall([gevent.spawn(ask_and_leave, number) for number in range(30)])
    assert_no_resources_held(site)


def test_memory_is_bounded_when_a_caller_stops_reading(site):
    def resident_kb():
        status = Path(f"/proc/{site.entries[0].pid}/status").read_text()
        return int(status.split("VmRSS:")[1].split()[0])

    before = resident_kb()
    host, _, port = site.listen("entry-1").rpartition(":")
    body = json.dumps(
        {
            "model": "assistant",
            "stream": True,
            "max_tokens": 20000,
            "answer_tokens": 20000,
            "messages": [{"role": "user", "content": "all of it"}],
        }
    ).encode()
    head = (
        "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        f"Authorization: Bearer {site.key}\r\nContent-Length: {len(body)}\r\n\r\n"
    ).encode()
    stalled = [socket.create_connection((host, int(port))) for _ in range(8)]
    for sock in stalled:
        sock.sendall(head + body)
    gevent.sleep(3)
    grown_kb = resident_kb() - before
    for sock in stalled:
        sock.close()
    assert grown_kb < 32 * 1024
    assert_no_resources_held(site)

"""HTTP framing: raw bytes from callers and backend servers to a real gateway process."""

import time

import pytest
from gevent import socket

from hickoryloom.platform.tests.site import HOST, KEY, configuration
from hickoryloom.platform.tests.standin import (
    LAST_CHUNK,
    Backend,
    build_event,
    build_response,
    build_stream_head,
    reset_on_close,
    respond,
)
from tests.harness import wait_until

pytestmark = [pytest.mark.processes, pytest.mark.seconds(25)]

MAX_BODY_BYTES = 100_000


def request_head(path="/once/x", version="1.1", **headers):
    lines = [f"POST {path} HTTP/{version}", f"Host: {HOST}", f"X-Api-Key: {KEY}"]
    lines += ["Attempt-Id: a1", "Deadline-Ms: 4000"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def test_a_body_at_the_size_limit_is_forwarded_and_a_larger_one_is_not(site):
    backend = site.add_backend(Backend("i-1", "app", respond))
    gateway = site.start()
    status, _, _ = gateway.call("/once/x", body=b"x" * MAX_BODY_BYTES)
    assert status == 200
    received = gateway.send_raw(
        request_head(Content_Length=MAX_BODY_BYTES + 1)
        + b"x" * (MAX_BODY_BYTES + 1)
        + request_head()
    )
    assert received.startswith(b"HTTP/1.1 413 ") and received.count(b"HTTP/1.1") == 1
    chunk = b"%x\r\n" % (MAX_BODY_BYTES + 1) + b"x" * (MAX_BODY_BYTES + 1) + b"\r\n0\r\n\r\n"
    received = gateway.send_raw(request_head(Transfer_Encoding="chunked") + chunk + request_head())
    assert received.startswith(b"HTTP/1.1 413 ") and received.count(b"HTTP/1.1") == 1
    assert len(backend.requests) == 1


def test_a_truncated_body_is_not_forwarded(site):
    backend = site.add_backend(Backend("i-1", "app", respond))
    gateway = site.start()
    gateway.send_raw(request_head(Content_Length=10) + b"five.", timeout_s=0.5)
    gateway.send_raw(request_head(Transfer_Encoding="chunked") + b"5\r\nfive.\r\n", timeout_s=0.5)
    time.sleep(0.3)
    assert backend.requests == []


def test_headers_over_the_configured_limits_are_rejected(site):
    backend = site.add_backend(Backend("i-1", "app", respond))
    gateway = site.start()
    received = gateway.send_raw(request_head(X_Padding="x" * 17_000))
    assert received.startswith(b"HTTP/1.1 431 ")
    started_at = time.monotonic()
    received = gateway.send_raw(request_head()[:-10])
    assert received.startswith(b"HTTP/1.1 408 ") and 2.5 < time.monotonic() - started_at < 4.5
    assert backend.requests == []


def test_a_response_sent_before_the_body_was_read_does_not_affect_later_requests(site):
    """The backend server responds after the headers and reads the body afterwards."""
    backend = site.add_backend(Backend("i-1", "app", respond, responds_early=True))
    gateway = site.start()
    long_body = b"y" * MAX_BODY_BYTES
    for number in range(4):
        status, _, body = gateway.call("/once/x", id=f"e{number}", body=long_body)
        assert (status, body) == (200, b"early")
        status, _, _ = gateway.call("/once/x", id=f"s{number}", body=b"short")
        assert status == 200
    assert [request["body"] for request in backend.requests] == [long_body, b"short"] * 4


def stream_of(count, complete):
    def script(request):
        yield build_stream_head(request)
        for id in range(1, count + 1):
            yield build_event(id)
        yield LAST_CHUNK if complete else Backend.CLOSE

    return script


def test_an_http_1_0_caller_gets_a_complete_stream_with_its_length(site):
    site.add_backend(Backend("i-1", "llm", stream_of(3, True)))
    received = site.start().send_raw(request_head("/answer/x", "1.0", Content_Length=0))
    start, _, body = received.partition(b"\r\n\r\n")
    assert b" 200 " in start.splitlines()[0]
    assert b"content-length: %d" % len(body) in start.lower()
    assert body.count(b"id: ") == 3


def test_an_http_1_0_caller_does_not_get_a_truncated_stream_as_complete(site):
    site.add_backend(Backend("i-1", "llm", stream_of(3, False)))
    received = site.start().send_raw(request_head("/answer/x", "1.0", Content_Length=0))
    assert b" 502 " in received.splitlines()[0]


@pytest.mark.parametrize(
    ("data", "status", "detail"),
    [
        (request_head(Content_Length="+5") + b"five.", "400", "Content-Length"),
        (request_head(X_Padding="x" * 17_000), "431", "headers are larger than the limit"),
        (request_head(Content_Length=MAX_BODY_BYTES + 1), "413", "body-too-large"),
        (
            request_head(Token_Count="1,2", Last_Event_Id="1").replace(b"4000", b"soon"),
            "400",
            "deadline",
        ),
    ],
)
def test_an_unreadable_request_is_logged_in_one_line_without_the_key(site, data, status, detail):
    gateway = site.start()
    gateway.send_raw(data, timeout_s=1.0)
    (line,) = gateway.events("request-unreadable")
    assert f"status={status}" in line.replace('"', "") and detail in line
    assert KEY not in gateway.log()


@pytest.mark.parametrize("size", [b"0x5", b"5g", b"-5", b""])
def test_a_malformed_chunk_size_gets_one_refusal_and_ends_the_connection(site, size):
    backend = site.add_backend(Backend("i-1", "app", respond))
    gateway = site.start()
    body = size + b"\r\nhello\r\n0\r\n\r\n"
    received = gateway.send_raw(request_head(Transfer_Encoding="chunked") + body + request_head())
    assert received.startswith(b"HTTP/1.1 400 ") and received.count(b"HTTP/1.1") == 1
    assert b"connection: close" in received.lower()
    assert backend.requests == []


@pytest.mark.parametrize("status", [0, 99, 600])
@pytest.mark.parametrize("has_length", [True, False])
def test_a_status_that_http_does_not_have_reaches_no_caller(site, status, has_length):
    """Guards against a response of a server in trouble that callers get as an answer."""

    def script(request):
        raw = build_response(request, b"trouble", signed=True)
        if not has_length:
            raw = raw.replace(b"Content-Length: 7\r\n", b"")
        yield raw.replace(b"HTTP/1.1 200", b"HTTP/1.1 %03d" % status)
        yield build_response(request, b"next")
        yield Backend.CLOSE

    site.add_backend(Backend("i-1", "app", script))
    site.add_backend(Backend("i-2", "llm", script))
    gateway = site.start()
    for path in ("/once/x", "/read/x", "/draft/x", "/answer/x"):
        received = gateway.send_raw(request_head(path, Content_Length=0, Connection="close"))
        assert received.startswith(b"HTTP/1.1 502 "), received
        assert b"replica-signature" not in received.lower()
        assert b"trouble" not in received and b"next" not in received
    site.add_backend(Backend("i-3", "app", respond))
    wait_until(lambda: "id=i-3 " in gateway.log())
    for number in range(4):
        assert gateway.call("/read/x", id=f"r{number}")[0] == 200


class HastyBackend(Backend):
    """Ends a response without a length, then resets its connection with the request unread."""

    def _serve_request(self, sock, reader):
        lines = [sock.recv(65536)]
        if lines[0].startswith(b"GET /healthz"):
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        head = lines[0].partition(b"\r\n\r\n")[0].decode("latin-1").split("\r\n")[1:]
        headers = {name.lower(): value.strip() for name, _, value in map(partition_line, head)}
        response = build_response({"headers": headers}, b"part")
        sock.sendall(response.replace(b"Content-Length: 4\r\n", b""))
        sock.shutdown(socket.SHUT_WR)
        reset_on_close(sock)
        return False


def partition_line(line):
    return line.partition(":")


@pytest.mark.parametrize("size", [20_000, 300_000, 3_000_000])
def test_a_part_of_a_response_to_a_long_upload_is_not_delivered_as_complete(site, size):
    """Guards against a reset after the end of a response that its reader doesn't notice."""
    limits = {**configuration()["limits"], "max_body_bytes": 4_194_304}
    site.configure(limits=limits)
    site.add_backend(HastyBackend("i-1", "app", None))
    gateway = site.start()
    for number in range(5):
        assert gateway.call("/once/x", id=f"o{number}", body=b"u" * size)[0] == 502
        assert gateway.call("/read/x", id=f"r{number}", body=b"u" * size)[0] == 502

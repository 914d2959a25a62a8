"""Headers that are too large or too slow are rejected, and the connection is closed."""

import socket
import time

import pytest

from hickoryloom.http import ConnectionLimits, Server
from hickoryloom.http.tests.test_strict import VALID_REQUEST, exchange

HEADER_BYTES = 400
HEADER_TIMEOUT_S = 0.5
SLACK_S = 1.0


@pytest.fixture
def server():
    served = []

    def app(environ, start_response):
        served.append(environ["PATH_INFO"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    http_server = Server(app, "127.0.0.1:0")
    http_server.limits = ConnectionLimits(HEADER_BYTES, HEADER_TIMEOUT_S, 60.0)
    http_server.served = served
    http_server.start()
    yield http_server
    http_server.close()


def connect(server):
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5.0)


def read_all(sock):
    received = b""
    while block := sock.recv(65536):
        received += block
    return received


def request_with_header_size(size):
    """Return a request whose headers, including the empty line, have `size` bytes."""
    fixed = b"Host: a\r\nConnection: close\r\nX: "
    return b"GET / HTTP/1.1\r\n" + fixed + b"x" * (size - len(fixed) - 4) + b"\r\n\r\n"


def test_headers_of_exactly_the_limit_are_accepted(server):
    received, closed = exchange(server, request_with_header_size(HEADER_BYTES))
    assert received.startswith(b"HTTP/1.1 200") and closed


@pytest.mark.parametrize("size", [HEADER_BYTES + 1, 40 * HEADER_BYTES])
def test_larger_headers_are_rejected_and_the_rest_is_not_read(server, size):
    received, closed = exchange(server, request_with_header_size(size) + VALID_REQUEST)
    assert received.startswith(b"HTTP/1.1 431 ") and received.count(b"HTTP/1.1") == 1
    assert closed and server.served == []


def test_many_small_headers_are_counted_together(server):
    lines = b"".join(b"X-%d: a\r\n" % number for number in range(90))
    received, closed = exchange(
        server, b"GET / HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n" + VALID_REQUEST
    )
    assert received.startswith(b"HTTP/1.1 431 ") and closed
    assert server.served == []


def test_more_headers_than_the_parser_takes_are_the_fault_of_the_caller(server):
    server.limits = ConnectionLimits()
    lines = b"".join(b"X-%d: a\r\n" % number for number in range(101))
    received, closed = exchange(server, b"GET / HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n")
    assert received.startswith(b"HTTP/1.1 400 ") and closed


@pytest.mark.parametrize("begun", [b"G", b"GET / HTTP/1.1\r\nHost: a\r\nX: y"])
def test_slow_headers_are_rejected_in_time(server, begun):
    with connect(server) as sock:
        started_at = time.monotonic()
        sock.sendall(begun)
        received = read_all(sock)
    assert received.startswith(b"HTTP/1.1 408 ")
    assert HEADER_TIMEOUT_S <= time.monotonic() - started_at + 0.01 < HEADER_TIMEOUT_S + SLACK_S
    assert server.served == []


def test_sending_single_bytes_does_not_extend_the_timeout(server):
    with connect(server) as sock:
        started_at = time.monotonic()
        for byte in VALID_REQUEST:
            sock.sendall(bytes([byte]))
            time.sleep(HEADER_TIMEOUT_S / 8)
            if time.monotonic() - started_at > HEADER_TIMEOUT_S:
                break
        received = read_all(sock)
    assert received.startswith(b"HTTP/1.1 408 ") and server.served == []


def test_the_header_timeout_does_not_apply_to_idle_connections(server):
    with connect(server) as sock:
        time.sleep(2 * HEADER_TIMEOUT_S)
        sock.sendall(VALID_REQUEST)
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        time.sleep(2 * HEADER_TIMEOUT_S)
        sock.sendall(VALID_REQUEST)
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_the_header_timeout_does_not_apply_to_responses():
    def app(environ, start_response):
        time.sleep(2 * HEADER_TIMEOUT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = Server(app, "127.0.0.1:0")
    server.limits = ConnectionLimits(HEADER_BYTES, HEADER_TIMEOUT_S, 60.0)
    server.start()
    received, _ = exchange(
        server, VALID_REQUEST.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n")
    )
    server.close()
    assert received.startswith(b"HTTP/1.1 200")


def test_pipelined_requests_are_answered_in_order(server):
    paths = [b"/one", b"/two", b"/three"]
    data = b"".join(VALID_REQUEST.replace(b" / ", b" " + path + b" ") for path in paths)
    last = b"GET /four HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    received, closed = exchange(server, data + last)
    assert received.count(b"HTTP/1.1 200") == 4 and closed
    assert server.served == ["/one", "/two", "/three", "/four"]

import socket
import time

import pytest

from hickoryloom.http import ConnectionLimits, Server
from hickoryloom.http.tests.test_strict import GOOD, exchange

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

    made = Server(app, "127.0.0.1:0")
    made.limits = ConnectionLimits(HEADER_BYTES, HEADER_TIMEOUT_S, 60.0)
    made.served = served
    made.start()
    yield made
    made.close()


def connect(server):
    host, _, port = server.address.rpartition(":")
    return socket.create_connection((host, int(port)), timeout=5.0)


def read_all(sock):
    got = b""
    while block := sock.recv(65536):
        got += block
    return got


def padded(size):
    """Return a request whose headers, with the empty line, take so many bytes."""
    fixed = b"Host: a\r\nConnection: close\r\nX: "
    return b"GET / HTTP/1.1\r\n" + fixed + b"x" * (size - len(fixed) - 4) + b"\r\n\r\n"


def test_headers_of_just_the_limit_are_served(server):
    got, closed = exchange(server, padded(HEADER_BYTES))
    assert got.startswith(b"HTTP/1.1 200") and closed


@pytest.mark.parametrize("size", [HEADER_BYTES + 1, 40 * HEADER_BYTES])
def test_larger_headers_are_refused_and_what_follows_is_not_read(server, size):
    got, closed = exchange(server, padded(size) + GOOD)
    assert got.startswith(b"HTTP/1.1 431 ") and got.count(b"HTTP/1.1") == 1
    assert closed and server.served == []


def test_many_small_headers_count_together(server):
    lines = b"".join(b"X-%d: a\r\n" % number for number in range(90))
    got, closed = exchange(server, b"GET / HTTP/1.1\r\nHost: a\r\n" + lines + b"\r\n" + GOOD)
    assert got.startswith(b"HTTP/1.1 431 ") and closed
    assert server.served == []


@pytest.mark.parametrize("begun", [b"G", b"GET / HTTP/1.1\r\nHost: a\r\nX: y"])
def test_headers_that_come_slowly_are_refused_in_time(server, begun):
    with connect(server) as sock:
        began = time.monotonic()
        sock.sendall(begun)
        got = read_all(sock)
    assert got.startswith(b"HTTP/1.1 408 ")
    assert HEADER_TIMEOUT_S <= time.monotonic() - began + 0.01 < HEADER_TIMEOUT_S + SLACK_S
    assert server.served == []


def test_dripping_bytes_gains_no_time(server):
    with connect(server) as sock:
        began = time.monotonic()
        for byte in GOOD:
            sock.sendall(bytes([byte]))
            time.sleep(HEADER_TIMEOUT_S / 8)
            if time.monotonic() - began > HEADER_TIMEOUT_S:
                break
        got = read_all(sock)
    assert got.startswith(b"HTTP/1.1 408 ") and server.served == []


def test_an_unused_connection_is_not_bound_by_the_time_for_headers(server):
    with connect(server) as sock:
        time.sleep(2 * HEADER_TIMEOUT_S)
        sock.sendall(GOOD)
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        time.sleep(2 * HEADER_TIMEOUT_S)
        sock.sendall(GOOD)
        assert sock.recv(65536).startswith(b"HTTP/1.1 200")


def test_an_answer_may_take_longer_than_the_headers():
    def app(environ, start_response):
        time.sleep(2 * HEADER_TIMEOUT_S)
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    server = Server(app, "127.0.0.1:0")
    server.limits = ConnectionLimits(HEADER_BYTES, HEADER_TIMEOUT_S, 60.0)
    server.start()
    got, _ = exchange(server, GOOD.replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
    server.close()
    assert got.startswith(b"HTTP/1.1 200")


def test_pipelined_requests_are_answered_in_their_order(server):
    paths = [b"/one", b"/two", b"/three"]
    data = b"".join(GOOD.replace(b" / ", b" " + path + b" ") for path in paths)
    last = b"GET /four HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    got, closed = exchange(server, data + last)
    assert got.count(b"HTTP/1.1 200") == 4 and closed
    assert server.served == ["/one", "/two", "/three", "/four"]

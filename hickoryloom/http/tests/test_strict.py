"""A request with ambiguous framing is rejected and its connection closed.

The bytes that follow it could otherwise be served as another request.
"""

import socket

import pytest

from hickoryloom.http import Server

VALID_REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@pytest.fixture
def server():
    served = []

    def app(environ, start_response):
        served.append((environ["REQUEST_METHOD"], environ["wsgi.input"].read()))
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]

    http_server = Server(app, "127.0.0.1:0")
    http_server.served = served
    http_server.start()
    yield http_server
    http_server.close()


def exchange(server, data):
    host, _, port = server.address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=2.0) as sock:
        sock.sendall(data)
        received = b""
        try:
            while block := sock.recv(65536):
                received += block
        except TimeoutError:
            return received, False
        except ConnectionResetError:
            return received, True
        return received, True


@pytest.mark.parametrize(
    "lines",
    [
        b"Host: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n",
        b"Host: a\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n",
        b"Host: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n",
        b"Host: a\r\nContent-Length: 3\r\nContent-Length: 3\r\n",
        b"Host: a\r\nContent-Length: +3\r\n",
        b"Host: a\r\nContent-Length: 0_3\r\n",
        b"Host: a\r\nContent-Length: -3\r\n",
        b"Host: a\r\nContent-Length: 3, 3\r\n",
        b"Host: a\r\nContent-Length : 3\r\n",
        b"Host: a\r\nTransfer-Encoding: gzip, chunked\r\n",
        b"Host: a\r\nTransfer-Encoding: xchunked\r\n",
        b"Host: a\r\nTransfer-Encoding : chunked\r\n",
        b"Host: a\r\nX-Folded: one\r\n two\r\n",
        b"Host: a\r\nHost: b\r\n",
        b"Content-Length: 3\r\n",
        b"Host: a\r\nno colon here\r\n",
        b"Host: a\r\nBad Name: x\r\n",
        b"Host: a\r\nX: a\x00b\r\n",
    ],
)
def test_ambiguous_framing_is_rejected_and_the_connection_closed(server, lines):
    received, closed = exchange(server, b"POST / HTTP/1.1\r\n" + lines + b"\r\nabc" + VALID_REQUEST)
    assert received.startswith(b"HTTP/1.1 400")
    assert received.count(b"HTTP/1.1") == 1
    assert closed
    assert server.served == []


@pytest.mark.parametrize(
    "first",
    [b"GET http://other/ HTTP/1.1", b"GET /a b HTTP/1.1", b"GET / HTTP/3.0", b"GET /", b"GET / X"],
)
def test_invalid_request_lines_are_rejected(server, first):
    received, closed = exchange(server, first + b"\r\nHost: a\r\n\r\n" + VALID_REQUEST)
    assert b" 400 " in received.partition(b"\r\n")[0]
    assert closed
    assert server.served == []


def test_valid_requests_are_served_on_one_connection(server):
    chunked = (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"3;ext=1\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    )
    sized = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nxyz"
    last = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    received, closed = exchange(server, chunked + sized + last)
    assert received.count(b"HTTP/1.1 200") == 3
    assert closed
    assert server.served == [("POST", b"abcde"), ("POST", b"xyz"), ("GET", b"")]


@pytest.mark.parametrize("size", [b"x", b"-1", b"+3", b"0x3", b"3 ", b"11111111111111111111"])
def test_invalid_chunk_sizes_are_not_served(server, size):
    data = (
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + size + b"\r\nabc\r\n"
    )
    received, closed = exchange(server, data + b"0\r\n\r\n" + VALID_REQUEST)
    assert received.count(b"HTTP/1.1 200") == 0
    assert closed

"""Lines that begin no response, as servers, other instances and the store may send them."""

import gevent
import pytest
from gevent import socket
from gevent.server import StreamServer

from hickoryloom.clock import SystemClock
from hickoryloom.http import JsonClient
from hickoryloom.upstream import AttemptError, Exchange, FailureCause

REST = b"\r\nContent-Length: 2\r\n\r\n{}"
NEXT = b"HTTP/1.1 200 OK" + REST
INVALID = [
    *(b"HTTP/1.1 %s X" % status for status in (b"000", b"001", b"099", b"600", b"999", b"101")),
    *(b"HTTP/1.1 %s X" % status for status in (b"20", b"2", b"2000", b"0200", b"-20", b"20x", b"")),
    *(b"%s 200 OK" % version for version in (b"HTTP/0.9", b"HTTP/2.0", b"RTSP/1.0", b"ICY")),
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\x0bK",
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 X",
    b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nRTSP/1.1 200 OK",
    b"HTTP/1.1 102 X\r\n\r\nHTTP/1.1 103 X\r\n\r\nICE/1.1 200 OK",
]
VALID = [
    b"HTTP/1.1 200 OK",
    b"HTTP/1.0 200 OK",
    b"HTTP/1.1 200",
    b"HTTP/1.1 200 ",
    b"HTTP/1.1 299 caf\xe9",
    b"HTTP/1.1 599 X",
    b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK",
]


def read_response(raw, method="POST", piece=65536):
    """Return status and body of a response that arrives in pieces of one size."""
    local, remote = socket.socketpair()
    exchange = Exchange(local, "address", "a", method, SystemClock())
    exchange.read_deadline = SystemClock().monotonic() + 1.0

    def send():
        try:
            for at in range(0, len(raw), piece):
                remote.sendall(raw[at : at + piece])
                gevent.sleep(0)
        except OSError:
            pass

    sending = gevent.spawn(send)
    try:
        exchange.read_head(skip_mismatched=True)
        body = b""
        while chunk := exchange.read():
            body += chunk
        return exchange.status, body
    finally:
        sending.kill()
        exchange.release()
        remote.close()


@pytest.mark.parametrize("piece", [65536, 1])
@pytest.mark.parametrize("method", ["POST", "HEAD"])
@pytest.mark.parametrize("line", INVALID)
def test_what_is_no_status_line_begins_no_response(line, method, piece):
    """Guards against callers that get it, or the next response in its place."""
    with pytest.raises(AttemptError) as raised:
        read_response(line + REST + NEXT, method, piece)
    assert raised.value.failure.cause is FailureCause.MALFORMED


@pytest.mark.parametrize("piece", [65536, 1])
@pytest.mark.parametrize("line", VALID)
def test_a_status_line_begins_a_response(line, piece):
    status, body = read_response(line + REST, piece=piece)
    assert 200 <= status <= 599
    assert body == b"{}"


@pytest.mark.parametrize(
    "codings", [b"gzip", b"gzip, chunked", b"chunked, gzip", b"xchunked", b"chunked, chunked"]
)
def test_a_body_in_other_codings_than_chunks_is_not_passed_on(codings):
    """Guards against encoded bytes that callers take for the body."""
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: " + codings + b"\r\n\r\n"
    with pytest.raises(AttemptError) as raised:
        read_response(head + b"2\r\n{}\r\n0\r\n\r\n")
    assert raised.value.failure.cause is FailureCause.MALFORMED


@pytest.fixture
def serve():
    """Function that starts a server of raw bytes, sent in pieces, and returns its address."""
    servers = []

    def start(raw, piece):
        def handle(sock, address):
            sock.recv(65536)
            for at in range(0, len(raw), piece):
                sock.sendall(raw[at : at + piece])
                gevent.sleep(0)
            sock.recv(65536)

        server = StreamServer(("127.0.0.1", 0), handle)
        server.start()
        servers.append(server)
        return f"127.0.0.1:{server.server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0.1)


@pytest.mark.parametrize("piece", [65536, 1])
@pytest.mark.parametrize("line", INVALID)
def test_what_is_no_status_line_is_no_json_response(serve, line, piece):
    """Guards against a listing of the store that seems empty, and against the next response."""
    client = JsonClient(serve(line + REST + NEXT, piece), timeout_s=0.5)
    assert client.call("GET", "/x").is_err()


@pytest.mark.parametrize("piece", [65536, 1])
@pytest.mark.parametrize("line", VALID)
def test_a_json_response_is_read(serve, line, piece):
    response = JsonClient(serve(line + REST, piece), timeout_s=2.0).call("GET", "/x").ok_value
    assert (response.body, 200 <= response.status <= 599) == ({}, True)


@pytest.mark.parametrize(
    "field",
    [
        b"X y: 1",
        b"Xy : 1",
        b" Xy: 1",
        b"X\ty: 1",
        b"X\x00y: 1",
        b"X\x7fy: 1",
        b": 1",
        b"Xy",
        b"\xa0",
    ],
)
@pytest.mark.parametrize("place", ["head", "interim", "trailer"])
def test_a_response_with_an_invalid_field_name_is_not_read(serve, field, place):
    """Guards against callers that get such a line, or a body that is not the server's."""
    line, rest = b"HTTP/1.1 200 OK\r\n", b"Content-Length: 2\r\n\r\n{}"
    raw = {
        "head": line + field + b"\r\n" + rest,
        "interim": b"HTTP/1.1 103 Early\r\n" + field + b"\r\n\r\n" + line + rest,
        "trailer": line
        + b"Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
        + field
        + b"\r\n\r\n",
    }[place]
    for piece in (65536, 1):
        with pytest.raises(AttemptError) as raised:
            read_response(raw, piece=piece)
        assert raised.value.failure.cause is FailureCause.MALFORMED
        assert JsonClient(serve(raw, piece), timeout_s=0.5).call("GET", "/x").is_err()

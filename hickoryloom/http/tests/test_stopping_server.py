"""A server that stops answers what has arrived and closes only connections without a request."""

import gevent
import pytest
from gevent import monkey, socket
from gevent.event import Event

from hickoryloom.http import Server
from hickoryloom.http.connection_log import RequestStage

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
STOP_S = 3.0
BLOCKING_SOCKET = monkey.get_original("socket", "socket")


class App:
    """Answers a request once its gate is open; paths other than `/` get a stream."""

    def __init__(self):
        self.begun = Event()
        self.gate = Event()
        self.gate.set()
        self.served = 0

    def __call__(self, environ, start_response):
        self.served += 1
        is_stream = environ["PATH_INFO"] == "/stream"
        start_response("200 OK", [] if is_stream else [("Content-Length", "2")])
        return self.stream() if is_stream else self.answer()

    def answer(self):
        self.begun.set()
        self.gate.wait()
        yield b"ok"

    def stream(self):
        yield b"first"
        self.begun.set()
        self.gate.wait()
        yield b"last"


@pytest.fixture
def app():
    return App()


@pytest.fixture
def server(app):
    http_server = Server(app, "127.0.0.1:0")
    http_server.start()
    yield http_server
    http_server.close()


def connect(server, kind=socket.socket):
    host, _, port = server.address.rpartition(":")
    sock = kind()
    sock.settimeout(STOP_S)
    sock.connect((host, int(port)))
    return sock


def read_response(sock, end=b"ok"):
    received = b""
    while not received.endswith(end) and (data := sock.recv(65536)):
        received += data
    return received


def used_connection(server):
    """Return a connection that is idle after a response."""
    sock = connect(server)
    sock.sendall(REQUEST)
    assert b"Connection: close" not in read_response(sock)
    gevent.sleep(0)
    return sock


def read_all(sock):
    """Return all bytes up to the end of the connection."""
    received = b""
    while data := sock.recv(65536):
        received += data
    return received


def test_a_request_that_nobody_has_read_survives_the_close_of_idle_connections(server):
    with used_connection(server) as busy, used_connection(server) as idle:
        busy.sendall(REQUEST)
        server.drain()
        server.close_idle()
        assert read_all(idle) == b""
        received = read_all(busy)
    assert received.startswith(b"HTTP/1.1 200") and b"Connection: close" in received


@pytest.mark.parametrize("requests", [1, 2])
def test_all_requests_that_have_arrived_are_answered_by_finish(server, app, requests):
    with used_connection(server) as sock:
        sock.sendall(REQUEST * requests)
        assert server.finish(STOP_S) == 0
        received = read_all(sock)
    assert app.served == 1 + requests
    assert received.count(b"HTTP/1.1 200") == requests
    assert received.count(b"Connection: close") == 1


@pytest.mark.parametrize(
    "body",
    [b"Content-Length: 4\r\n\r\nbody", b"Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n0\r\n\r\n"],
)
def test_a_body_that_nobody_reads_is_not_taken_for_the_next_request(server, body):
    """Guards against a caller that goes on using a connection that is about to be closed."""
    with connect(server) as sock:
        server.drain()
        sock.sendall(b"POST / HTTP/1.1\r\nHost: h\r\n" + body)
        received = read_response(sock)
    assert received.startswith(b"HTTP/1.1 200") and b"Connection: close" in received


def test_bytes_that_cross_the_close_are_not_served(server, app, monkeypatch):
    """Guards against a request that runs although its connection was closed before it was read."""
    with used_connection(server) as sock:
        sock.sendall(REQUEST)
        found = iter([0, len(REQUEST)])
        monkeypatch.setattr("hickoryloom.http.connections.unread_bytes", lambda _: next(found))
        server.close_idle()
        monkeypatch.undo()
        assert server.finish(STOP_S) == 0
        assert read_all(sock) == b""
    assert app.served == 1
    assert server.ends.closed_unread == 1


def test_a_connection_in_the_accept_queue_is_answered(server):
    with connect(server, BLOCKING_SOCKET) as sock:
        sock.sendall(REQUEST)
        assert server.finish(STOP_S) == 0
        assert read_all(sock).startswith(b"HTTP/1.1 200")


def test_quiet_counts_what_is_queued_unread_or_half_read(server, app):
    assert server.wait_quiet(0)
    with connect(server, BLOCKING_SOCKET) as sock:
        sock.sendall(REQUEST[:9])
        assert not server.wait_quiet(0)
        gevent.sleep(0.01)
        assert server.reading == 1 and not server.wait_quiet(0)
        app.gate.clear()
        sock.sendall(REQUEST[9:])
        app.begun.wait()
        assert not server.wait_quiet(0)
        gevent.spawn(app.gate.set)
        assert server.wait_quiet(STOP_S)
        sock.sendall(REQUEST)
        assert not server.wait_quiet(0) and server.wait_quiet(STOP_S)


def test_a_request_whose_headers_are_being_read_is_answered(server):
    with used_connection(server) as sock:
        sock.sendall(REQUEST[:9])
        gevent.sleep(0.01)
        stop = gevent.spawn(server.finish, STOP_S)
        gevent.sleep(0.01)
        sock.sendall(REQUEST[9:])
        assert read_all(sock).startswith(b"HTTP/1.1 200")
        assert stop.get() == 0


@pytest.mark.parametrize("stop", ["stop_accepting", "finish"])
def test_new_connections_are_refused_once_nobody_accepts_them(server, stop):
    """Guards against connections that the kernel establishes and nobody ever reads."""
    with used_connection(server):
        server.stop_accepting() if stop == "stop_accepting" else server.finish(STOP_S)
    with pytest.raises(ConnectionRefusedError):
        connect(server, BLOCKING_SOCKET)


def test_a_connection_whose_stream_began_before_the_stop_may_be_used_again_at_once(server, app):
    app.gate.clear()
    with connect(server) as sock:
        sock.sendall(REQUEST.replace(b"/", b"/stream", 1))
        app.begun.wait()
        server.drain()
        stop = gevent.spawn(server.finish, STOP_S)
        gevent.sleep(0)
        app.gate.set()
        assert b"Connection: close" not in read_response(sock, b"0\r\n\r\n")
        gevent.sleep(0.01)
        sock.sendall(REQUEST)
        received = read_all(sock)
    assert received.startswith(b"HTTP/1.1 200") and b"Connection: close" in received
    assert stop.get() == 0


def test_idle_connections_do_not_delay_the_end(server):
    with used_connection(server) as sock, gevent.Timeout(STOP_S):
        assert server.finish(4 * STOP_S) == 0
        assert read_all(sock) == b""


def test_requests_that_are_left_are_counted_and_logged_once(server, app):
    app.gate.clear()
    with connect(server) as busy, connect(server) as half:
        busy.sendall(REQUEST)
        app.begun.wait()
        half.sendall(REQUEST[:9])
        gevent.sleep(0.01)
        assert server.finish(0.05) == 2
        server.close()
        assert server.ends.unanswered == {RequestStage.SERVING: 1, RequestStage.READING: 1}


def test_an_unmarked_response_is_reset_if_the_process_ends_before_it(server, app):
    """Guards against a cut stream of an HTTP/1.0 caller that looks complete."""
    app.gate.clear()
    with connect(server) as sock:
        sock.sendall(b"GET /stream HTTP/1.0\r\nHost: h\r\n\r\n")
        app.begun.wait()
        assert read_response(sock, b"first")
        assert server.finish(0.05) == 1
        server.close()
        with pytest.raises(ConnectionResetError):
            read_all(sock)


@pytest.mark.parametrize("path", [b"/", b"/stream"])
def test_no_abandoned_response_is_counted_for_ever(server, app, path):
    app.gate.clear()
    sock = connect(server)
    sock.sendall(REQUEST.replace(b"/", path, 1))
    app.begun.wait()
    assert server.active == 1
    sock.close()
    app.gate.set()
    assert server.wait_idle(STOP_S) and server.wait_quiet(STOP_S)
    assert server.active == 0


def test_the_idle_timeout_in_force_holds_for_open_connections(server, monkeypatch):
    """Guards against closing connections that callers may still use, after a longer timeout."""
    module = server._server.handler_class.__module__
    monkeypatch.setattr(f"{module}.IO_TIMEOUT_S", 0.2)
    monkeypatch.setattr(f"{module}.IDLE_MARGIN_S", 0.0)
    server.limits = server.limits.__class__(idle_timeout_s=0.2)
    with used_connection(server) as sock:
        server.limits = server.limits.__class__(idle_timeout_s=STOP_S)
        gevent.sleep(0.4)
        sock.sendall(REQUEST)
        assert read_response(sock).startswith(b"HTTP/1.1 200")

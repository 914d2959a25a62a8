"""An unexpected error in one request costs neither its answer nor other requests."""

import gevent
import pytest
from gevent.event import Event

from hickoryloom.http import DisconnectWatch, Server
from hickoryloom.http.connection_log import RequestStage
from hickoryloom.http.tests.test_stopping_server import REQUEST, connect, read_all, read_response

ERRORS = [
    OSError(),
    OSError(9, "Bad file descriptor"),
    ConnectionResetError(104, "Connection reset by peer"),
    BrokenPipeError(32, "Broken pipe"),
    TimeoutError("timed out"),
    ValueError("unexpected"),
    SystemError("unexpected"),
    SystemExit(1),
    gevent.GreenletExit(),
    gevent.Timeout(1.0),
]
LAST_REQUEST = REQUEST.replace(b"Host", b"Connection: close\r\nHost")
STAGES = ["call", "first part", "later part", "close"]


class Response:
    def __init__(self, error, stage):
        self._error = error
        self._stage = stage

    def __iter__(self):
        if self._stage == "first part":
            raise self._error
        yield b"part"
        if self._stage == "later part":
            raise self._error

    def close(self):
        if self._stage == "close":
            raise self._error


@pytest.fixture
def serve():
    servers = []

    def start(app):
        server = Server(app, "127.0.0.1:0")
        servers.append(server)
        server.start()
        return server

    yield start
    for server in servers:
        server.close()


@pytest.mark.parametrize("stage", STAGES)
@pytest.mark.parametrize("error", ERRORS, ids=lambda error: f"{type(error).__name__}{error.args}")
def test_an_error_of_the_application_is_answered_or_visibly_ends_the_response(serve, error, stage):
    """Guards against errors that are taken for a caller that has disconnected."""

    def app(environ, start_response):
        if environ["PATH_INFO"] == "/sound":
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]
        if stage == "call":
            raise error
        start_response("200 OK", [])
        return Response(error, stage)

    server = serve(app)
    with connect(server) as sock:
        sock.sendall(REQUEST)
        received = read_all(sock)
    if stage in ("call", "first part"):
        assert received.startswith(b"HTTP/1.1 500") and b"Connection: close" in received
    else:
        assert received.startswith(b"HTTP/1.1 200")
        assert received.endswith(b"0\r\n\r\n") is (stage == "close")
    assert server.ends.unanswered.total() == (stage == "later part")
    assert server.active == 0
    with connect(server) as sock:
        sock.sendall(REQUEST.replace(b"/", b"/sound", 1))
        assert read_response(sock).startswith(b"HTTP/1.1 200")


def test_a_caller_that_has_left_is_logged_as_such(serve):
    def app(environ, start_response):
        start_response("200 OK", [])
        peer.close()
        while True:
            yield b"x" * 65536

    server = serve(app)
    peer = connect(server)
    peer.sendall(REQUEST)
    gevent.sleep(0)
    assert server.connections.wait_until(lambda: server.ends.unanswered.total() == 1, 3.0)
    assert server.ends.unanswered == {RequestStage.SENDING: 1}


def test_a_watch_ends_with_its_request_if_the_application_fails_before_it_stops_it(serve):
    """Guards against a watched descriptor that is closed, which ends the process."""
    watches = []

    def app(environ, start_response):
        watches.append(DisconnectWatch(environ, lambda: watches.append("disconnected")))
        start_response("200 OK", [("X-Invalid", "a\r\nb")])
        return [b"ok"]

    server = serve(app)
    with connect(server) as sock:
        sock.sendall(REQUEST)
        assert read_all(sock).startswith(b"HTTP/1.1 500")
    gevent.sleep(0.01)
    assert len(watches) == 1 and watches[0]._watcher is None


@pytest.mark.parametrize("sent", [b"", b"o", b"okok"])
def test_a_response_of_another_length_than_promised_ends_its_connection(serve, sent):
    """Guards against a next response whose bytes are taken for the rest of a short one."""

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "2")])
        return [sent]

    with connect(serve(app)) as sock:
        sock.sendall(REQUEST * 2)
        received = read_all(sock)
    assert received.count(b"HTTP/1.1") == 1
    assert not received.endswith(b"okok")


def test_the_response_to_head_has_no_body_and_no_last_chunk(serve):
    """Guards against bytes that the caller takes for the start of the next response."""

    def app(environ, start_response):
        start_response("200 OK", [])
        return iter([b"body"])

    with connect(serve(app)) as sock:
        sock.sendall(REQUEST.replace(b"GET", b"HEAD"))
        sock.sendall(LAST_REQUEST)
        received = read_all(sock)
    head, _, rest = received.partition(b"\r\n\r\n")
    assert b"Transfer-Encoding: chunked" in head
    assert rest.startswith(b"HTTP/1.1 200")


def test_the_body_of_a_request_for_an_upgrade_ends_with_its_length(serve):
    """Guards against requests that wait for bytes of the next request as their own body."""

    def app(environ, start_response):
        body = environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", str(len(body)))])
        return [body]

    with connect(serve(app)) as sock:
        upgrade = b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 2\r\nHost"
        sock.sendall(REQUEST.replace(b"Host", upgrade) + b"ok" + LAST_REQUEST)
        received = read_all(sock)
    assert received.count(b"HTTP/1.1 200") == 2
    assert b"\r\n\r\nokHTTP/1.1 200" in received


@pytest.fixture
def endless_caller(serve):
    """Return a function that sends a head and then the same bytes without end."""
    tasks = []

    def start(server, head, repeated):
        sock = connect(server)

        def send():
            try:
                sock.sendall(head)
                while True:
                    sock.sendall(repeated)
            except OSError:
                sock.close()

        tasks.append(gevent.spawn(send))
        return sock

    yield start
    gevent.killall(tasks)


CHUNKED = b"POST /slow HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"


def test_endless_trailers_end_in_time(serve, endless_caller, monkeypatch):
    """Guards against one request that never ends and leaves others no time."""
    monkeypatch.setattr("hickoryloom.http.handler.BODY_TIMEOUT_S", 0.2)

    begun = Event()

    def app(environ, start_response):
        begun.set()
        body = environ["wsgi.input"].read()
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok", body]

    server = serve(app)
    endless_caller(server, CHUNKED, b"a:b\r\n" * 10_000)
    assert begun.wait(3.0)
    with connect(server) as sock:
        sock.sendall(REQUEST)
        assert read_response(sock).startswith(b"HTTP/1.1 200")
    assert server.wait_idle(3.0)


def test_a_body_that_trickles_after_the_response_does_not_keep_its_connection(serve, monkeypatch):
    """Guards against connections that a byte now and then keeps open for ever."""
    monkeypatch.setattr("hickoryloom.http.handler.DISCARD_TIMEOUT_S", 0.2)

    def app(environ, start_response):
        start_response("413 Content Too Large", [("Content-Length", "2")])
        return [b"ok"]

    head = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000\r\n\r\n"
    with connect(serve(app)) as sock, gevent.Timeout(3.0):
        sock.sendall(head)
        assert read_response(sock).startswith(b"HTTP/1.1 413")
        with pytest.raises(OSError):
            while True:
                sock.sendall(b"x")
                gevent.sleep(0.02)

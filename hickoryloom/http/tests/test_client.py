"""The JSON client correctly reports whether a failed write may have been applied."""

import json

import falcon
import gevent
import pytest
from gevent import socket

from hickoryloom.http import JsonClient, Server
from hickoryloom.verdict import Applied
from tests.harness import Link


class Echo:
    def on_post(self, req, resp):
        resp.media = req.media


class Slow:
    def on_post(self, req, resp):
        gevent.sleep(5)


def serve():
    app = falcon.App()
    app.add_route("/echo", Echo())
    app.add_route("/slow", Slow())
    server = Server(app, "127.0.0.1:0")
    server.start()
    return server


def test_a_complete_response_is_returned():
    server = serve()
    answer = JsonClient(server.address).call("POST", "/echo", {"a": [1, "é"]}).unwrap()
    assert answer.status == 200
    assert answer.body == {"a": [1, "é"]}
    server.close()


def test_refused_connection_is_not_applied():
    server = serve()
    address = server.address
    server.close()
    failed = JsonClient(address).call("POST", "/echo", {}).unwrap_err()
    assert failed.applied is Applied.NOT_APPLIED


def test_timeout_is_unknown():
    server = serve()
    failed = JsonClient(server.address).call("POST", "/slow", {}, timeout_s=0.1).unwrap_err()
    assert failed.applied is Applied.UNKNOWN
    server.close()


def test_connection_closed_before_the_response_is_unknown_and_not_retried():
    received = []
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def accept():
        while True:
            connection, _ = listener.accept()
            received.append(connection.recv(65536))
            connection.close()

    task = gevent.spawn(accept)
    client = JsonClient(f"127.0.0.1:{listener.getsockname()[1]}")
    failed = client.call("POST", "/write", json.loads('{"a": 1}')).unwrap_err()
    assert failed.applied is Applied.UNKNOWN
    gevent.sleep(0.1)
    assert len(received) == 1
    task.kill()
    listener.close()


def test_stop_lets_requests_finish():
    server = serve()
    task = gevent.spawn(JsonClient(server.address, timeout_s=8).call, "POST", "/slow", {})
    gevent.sleep(0.2)
    server.stop_accepting()
    assert not server.wait_idle(0.1)
    assert server.wait_idle(8)
    assert task.get().unwrap().status == 200
    server.close()


class Counter:
    def __init__(self):
        self.calls = 0

    def on_post(self, req, resp):
        self.calls += 1
        resp.media = {}


def serve_counter():
    counter = Counter()
    app = falcon.App()
    app.add_route("/count", counter)
    server = Server(app, "127.0.0.1:0")
    server.start()
    return server, counter


def test_guard_is_called_after_connecting_and_directly_before_the_write():
    """A permission that ends while the call waits for a connection or connects stops the write."""
    server, counter = serve_counter()
    proxy = Link(server.address)
    client = JsonClient(proxy.address, connections=1)
    allowed = [True]
    holder = gevent.spawn(client.call, "POST", "/count", {}, guard=lambda: True)
    proxy.delay_s = 0.3
    gevent.sleep(0.05)
    late = gevent.spawn(client.call, "POST", "/count", {}, guard=lambda: allowed[0])
    gevent.sleep(0.05)
    allowed[0] = False
    assert holder.get(timeout=5).is_ok()
    failed = late.get(timeout=5).unwrap_err()
    assert failed.refused_by_guard and failed.applied is Applied.NOT_APPLIED
    assert counter.calls == 1
    proxy.close()
    server.close()


def test_no_other_greenlet_runs_between_guard_and_write():
    server, _ = serve_counter()
    client = JsonClient(server.address)
    client.call("POST", "/count", {}).unwrap()
    order = []
    real_send = gevent.socket.socket.send

    def send(self, data, *more, **options):
        if bytes(data[:4]) == b"POST":
            order.append("write")
        return real_send(self, data, *more, **options)

    def guard():
        order.append("guard")
        gevent.spawn(order.append, "other")
        return True

    gevent.socket.socket.send = send
    try:
        client.call("POST", "/count", {}, guard=guard).unwrap()
    finally:
        gevent.socket.socket.send = real_send
    assert order[:2] == ["guard", "write"] and "other" in order
    server.close()


def test_a_call_without_a_connection_is_not_applied():
    client = JsonClient("127.0.0.1:1", timeout_s=0.2, connections=1)
    assert client.call("POST", "/x", {}).unwrap_err().applied is Applied.NOT_APPLIED
    server = serve()
    client = JsonClient(server.address, connections=1)
    slow = gevent.spawn(client.call, "POST", "/slow", {})
    gevent.sleep(0.05)
    waiting = client.call("POST", "/echo", {}, timeout_s=0.1).unwrap_err()
    assert waiting.applied is Applied.NOT_APPLIED
    slow.kill()
    server.close()


def test_silent_connections_are_dropped_and_new_ones_work():
    server, _ = serve_counter()
    proxy = Link(server.address)
    client = JsonClient(proxy.address, timeout_s=0.3, connections=4)
    tasks = [gevent.spawn(client.call, "POST", "/count", {}) for _ in range(4)]
    gevent.joinall(tasks)
    proxy.stall_open_connections()
    failed = client.call("POST", "/count", {}).unwrap_err()
    assert failed.applied is Applied.UNKNOWN
    assert client.call("POST", "/count", {}).unwrap().status == 200
    proxy.close()
    server.close()


def test_timeout_during_a_write_releases_the_connection():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    client = JsonClient(f"127.0.0.1:{listener.getsockname()[1]}", timeout_s=0.3, connections=1)
    body = {"a": "x" * 8_000_000}
    for _ in range(2):
        assert client.call("POST", "/big", body).unwrap_err().applied is Applied.UNKNOWN
    listener.close()


def test_timeout_of_the_calling_code_is_raised():
    server = serve()
    client = JsonClient(server.address)
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.1):
        client.call("POST", "/slow", {}, timeout_s=3)
    server.close()


def test_read_that_gets_no_answer_is_made_once():
    """The HTTP library alone would retry once per pooled connection and exceed call budgets."""
    received = []
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def accept():
        while True:
            connection, _ = listener.accept()
            received.append(connection.recv(65536))
            connection.close()

    task = gevent.spawn(accept)
    client = JsonClient(f"127.0.0.1:{listener.getsockname()[1]}")
    assert client.call("GET", "/read").is_err()
    gevent.sleep(0.1)
    assert len(received) == 1
    task.kill()
    listener.close()


def test_read_on_a_reused_connection_that_was_closed_is_retried():
    server, _ = serve_counter()
    address = server.address
    client = JsonClient(address)
    client.call("POST", "/count", {}).unwrap()
    server.close()
    restarted = Server(falcon.App(), address)
    restarted.start()
    assert client.call("GET", "/count").unwrap().status == 404
    restarted.close()

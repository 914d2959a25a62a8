"""The JSON client says truly whether a write may have been applied."""

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


def test_reads_a_whole_answer():
    server = serve()
    answer = JsonClient(server.address).call("POST", "/echo", {"a": [1, "é"]}).unwrap()
    assert answer.status == 200
    assert answer.body == {"a": [1, "é"]}
    server.close()


def test_refused_connection_was_not_applied():
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


def test_cut_before_the_answer_is_unknown_and_never_sent_twice():
    seen = []
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def accept():
        while True:
            connection, _ = listener.accept()
            seen.append(connection.recv(65536))
            connection.close()

    task = gevent.spawn(accept)
    client = JsonClient(f"127.0.0.1:{listener.getsockname()[1]}")
    failed = client.call("POST", "/write", json.loads('{"a": 1}')).unwrap_err()
    assert failed.applied is Applied.UNKNOWN
    gevent.sleep(0.1)
    assert len(seen) == 1
    task.kill()
    listener.close()


def test_stop_lets_a_request_finish():
    server = serve()
    task = gevent.spawn(JsonClient(server.address, timeout_s=8).call, "POST", "/slow", {})
    gevent.sleep(0.2)
    server.stop_accepting()
    assert not server.wait_idle(0.1)
    assert server.wait_idle(8)
    assert task.get().unwrap().status == 200
    server.close()


class Counting:
    def __init__(self):
        self.calls = 0

    def on_post(self, req, resp):
        self.calls += 1
        resp.media = {}


def serve_counting():
    counting = Counting()
    app = falcon.App()
    app.add_route("/count", counting)
    server = Server(app, "127.0.0.1:0")
    server.start()
    return server, counting


def test_guard_is_asked_after_the_connect_and_right_before_the_write():
    """A right that ends while the call waits for a connection or connects stops the write."""
    server, counting = serve_counting()
    link = Link(server.address)
    client = JsonClient(link.address, connections=1)
    right = [True]
    holder = gevent.spawn(client.call, "POST", "/count", {}, guard=lambda: True)
    link.delay_s = 0.3
    gevent.sleep(0.05)
    late = gevent.spawn(client.call, "POST", "/count", {}, guard=lambda: right[0])
    gevent.sleep(0.05)
    right[0] = False
    assert holder.get(timeout=5).is_ok()
    failed = late.get(timeout=5).unwrap_err()
    assert failed.refused_by_guard and failed.applied is Applied.NOT_APPLIED
    assert counting.calls == 1
    link.close()
    server.close()


def test_no_other_greenlet_runs_between_guard_and_write():
    server, _ = serve_counting()
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


def test_connection_that_never_came_about_was_not_applied():
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
    server, _ = serve_counting()
    link = Link(server.address)
    client = JsonClient(link.address, timeout_s=0.3, connections=4)
    tasks = [gevent.spawn(client.call, "POST", "/count", {}) for _ in range(4)]
    gevent.joinall(tasks)
    link.mute_open_connections()
    failed = client.call("POST", "/count", {}).unwrap_err()
    assert failed.applied is Applied.UNKNOWN
    assert client.call("POST", "/count", {}).unwrap().status == 200
    link.close()
    server.close()


def test_timeout_in_the_middle_of_a_write_frees_the_connection():
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()
    client = JsonClient(f"127.0.0.1:{listener.getsockname()[1]}", timeout_s=0.3, connections=1)
    body = {"a": "x" * 8_000_000}
    for _ in range(2):
        assert client.call("POST", "/big", body).unwrap_err().applied is Applied.UNKNOWN
    listener.close()


def test_timeout_of_the_caller_is_not_taken_for_the_own_one():
    server = serve()
    client = JsonClient(server.address)
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.1):
        client.call("POST", "/slow", {}, timeout_s=3)
    server.close()


def test_read_that_gets_no_answer_is_made_once():
    """The HTTP library repeats it for each place in the pool: a call budget would be void."""
    seen = []
    listener = socket.socket()
    listener.bind(("127.0.0.1", 0))
    listener.listen()

    def accept():
        while True:
            connection, _ = listener.accept()
            seen.append(connection.recv(65536))
            connection.close()

    task = gevent.spawn(accept)
    client = JsonClient(f"127.0.0.1:{listener.getsockname()[1]}")
    assert client.call("GET", "/read").is_err()
    gevent.sleep(0.1)
    assert len(seen) == 1
    task.kill()
    listener.close()


def test_read_on_a_kept_connection_that_was_closed_is_made_again():
    server, _ = serve_counting()
    address = server.address
    client = JsonClient(address)
    client.call("POST", "/count", {}).unwrap()
    server.close()
    again = Server(falcon.App(), address)
    again.start()
    assert client.call("GET", "/count").unwrap().status == 404
    again.close()

"""The JSON client says truly whether a write may have been applied."""

import json

import falcon
import gevent
from gevent import socket

from hickoryloom.http import JsonClient, Server
from hickoryloom.verdict import Applied


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

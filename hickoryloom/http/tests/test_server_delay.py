"""The server sends each chunk of a response without delay."""

import falcon
from gevent import socket

from hickoryloom.http import SOCKET_KEY, JsonClient, Server


def test_accepted_connections_have_tcp_nodelay_set():
    class OptionResource:
        def on_get(self, req, resp):
            value = req.env[SOCKET_KEY].getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            resp.media = bool(value)

    app = falcon.App()
    app.add_route("/option", OptionResource())
    server = Server(app, "127.0.0.1:0")
    server.start()
    assert JsonClient(server.address).call("GET", "/option").unwrap().body is True
    server.close()

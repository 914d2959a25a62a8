"""The server sends each piece of an answer at once."""

import falcon
from gevent import socket

from hickoryloom.http import SOCKET_KEY, JsonClient, Server


def test_accepted_connections_hold_nothing_back():
    class Option:
        def on_get(self, req, resp):
            found = req.env[SOCKET_KEY].getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
            resp.media = bool(found)

    app = falcon.App()
    app.add_route("/option", Option())
    server = Server(app, "127.0.0.1:0")
    server.start()
    assert JsonClient(server.address).call("GET", "/option").unwrap().body is True
    server.close()

"""A gateway whose connections to backend servers can be cut, while the others keep theirs."""

from __future__ import annotations

import gevent
from gevent import socket
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

from hickoryloom.platform.tests.site import Gateway
from hickoryloom.platform.tests.standin import reset_on_close

POLL_S = 0.01
KEEPALIVE_S = 2.9
"""Time after which the probes of a connection end it if none of them is answered."""

FILLERS = 8
"""Connections that fill the queue of a listener, so that further ones hang."""


class Wire:
    """Connections of one gateway to one backend server."""

    def __init__(self, target):
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._pairs = []
        self._fillers = []
        self._hanging = False
        self._resetting = False
        self._server = None
        self._listen(0)
        self.address = f"127.0.0.1:{self._port}"

    def _listen(self, port):
        self._server = StreamServer(("127.0.0.1", port), self._serve)
        self._server.start()
        self._port = self._server.server_port

    def refuse(self):
        """Refuse new connections; open ones live on."""
        self._server.stop(timeout=0)

    def reset(self):
        """Reset open connections and refuse new ones."""
        self.refuse()
        self._reset_open()

    def hang(self):
        """Pass on nothing on open connections, and let new ones hang."""
        self._hanging = True
        gevent.spawn_later(KEEPALIVE_S, self._reset_open)
        self._server.stop(timeout=0)
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.bind(("127.0.0.1", self._port))
        listener.listen(0)
        self._fillers = [listener]
        for _ in range(FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(("127.0.0.1", self._port))
            self._fillers.append(filler)

    def accept(self):
        """Reset open connections, and accept and then reset new ones."""
        self._resetting = True
        self._reset_open()

    def heal(self):
        """Pass everything on again, on new connections."""
        if self._resetting:
            self._resetting = False
            return
        for sock in self._fillers:
            sock.close()
        self._fillers = []
        self._hanging = False
        gevent.sleep(0.05)
        self._listen(self._port)

    def stop(self):
        self._server.stop(timeout=0)
        for sock in self._fillers:
            sock.close()

    def _reset_open(self):
        for pair in list(self._pairs):
            for end in pair:
                reset_on_close(end)
                end.close()

    def _serve(self, client, _address):
        if self._resetting:
            reset_on_close(client)
            client.close()
            return
        try:
            upstream = socket.create_connection(self._target, timeout=2.0)
        except OSError:
            return
        upstream.settimeout(None)
        pair = (client, upstream)
        self._pairs.append(pair)
        tasks = [
            gevent.spawn(self._forward, client, upstream),
            gevent.spawn(self._forward, upstream, client),
        ]
        gevent.joinall(tasks, count=1)
        for end in pair:
            end.close()
        gevent.joinall(tasks)
        self._pairs.remove(pair)

    def _forward(self, source, sink):
        try:
            while data := source.recv(65536):
                while self._hanging:
                    gevent.sleep(POLL_S)
                sink.sendall(data)
        except OSError:
            pass


class AddressView:
    """A server as one process sees it, with addresses of its own for the backend servers.

    Args:
        serve: WSGI application of the server.
        wires: Wires by the address of the backend server that they lead to.
    """

    def __init__(self, serve, wires):
        self._application = serve
        self._wires = wires
        self._server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def _serve(self, environ, start_response):
        replies = []
        chunks = self._application(environ, lambda *reply: replies.append(reply))
        text = b"".join(chunks).decode()
        for target, wire in self._wires.items():
            text = text.replace(f'"{target}"', f'"{wire.address}"')
        body = text.encode()
        status, headers = replies[0]
        kept = [pair for pair in headers if pair[0].lower() != "content-length"]
        start_response(status, [*kept, ("Content-Length", str(len(body)))])
        return [body]


class CutSite:
    """Stands in for a site towards one gateway that can be cut off from its backend servers."""

    def __init__(self, site):
        self.folder = site.folder
        self.duties = site.duties
        self.wires = {backend.address: Wire(backend.address) for backend in site.backends}
        self.store = AddressView(site.store._serve, self.wires)

    def stop(self):
        self.store.stop()
        for wire in self.wires.values():
            wire.stop()


def launch_behind_wires(site, name, **bounds):
    """Start a gateway, after all backend servers were added; return it and what can be cut."""
    cut_site = CutSite(site)
    gateway = Gateway(cut_site, name, bounds)
    site.processes.append(gateway)
    return gateway, cut_site

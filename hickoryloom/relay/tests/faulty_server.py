"""A server that fails at a given byte of each connection and counts the requests it ran."""

import ipaddress
import itertools
import json
import struct

from gevent import socket
from gevent.server import StreamServer

NO_LIMIT = 10**9

HOSTS = itertools.count(int(ipaddress.ip_address("127.0.1.1")))
"""Loopback addresses, a new one for each server: a port may be given again, and then it gets the
connections that a router opens to examine the server before."""


class FaultyServer:
    """Serves each new connection according to the next plan.

    A plan is `(read, write, kind)`: the number of request bytes to read before it resets the
    connection, the number of response bytes to write before it closes it, and the kind of
    response. A request that was read completely counts as run. After a response of the kind `crash`
    it takes no connections any more.
    """

    def __init__(self, plans):
        self.plans = list(plans)
        self.runs = 0
        self.requests = []
        self.connections = 0
        self._host = str(ipaddress.ip_address(next(HOSTS)))
        self._server = StreamServer((self._host, 0), self._serve)
        self._server.start()

    @property
    def address(self):
        return f"{self._host}:{self._server.server_port}"

    def close(self):
        self._server.stop(timeout=0)

    def _serve(self, sock, _address):
        self.connections += 1
        read, write, kind = self.plans.pop(0) if self.plans else (NO_LIMIT, NO_LIMIT, "ok")
        try:
            request = self._read(sock, read)
            if request is None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
                return
            self.requests.append(request)
            sock.sendall(self._respond(request, kind)[:write])
            if kind == "crash":
                self._server.close()
        except OSError:
            pass
        finally:
            sock.close()

    def _read(self, sock, limit):
        """Return the complete request, or None if the limit is reached first."""
        raw = b""
        while len(raw) < limit:
            data = sock.recv(min(65536, limit - len(raw)))
            if not data:
                return None
            raw += data
            head, end, body = raw.partition(b"\r\n\r\n")
            if end and len(body) >= _length(head):
                return raw
        return None

    def _respond(self, request, kind):
        if kind == "not-run":
            return b"HTTP/1.1 503 Busy\r\nX-Not-Run: true\r\nContent-Length: 0\r\n\r\n"
        self.runs += 1
        body = json.dumps({"run": self.runs}).encode()
        status = b"500 Broken" if kind == "error" else b"200 OK"
        extra = b"X-Request-Id: another\r\n" if kind == "crossed" else b""
        length = b"Content-Length: %d\r\n" % len(body)
        if kind == "malformed":
            return b"HTTP/1.1 what\r\n\r\n" + body
        if kind == "huge":
            extra += b"X-Fill: " + b"y" * 200_000 + b"\r\n"
        if kind == "long":
            length = b"Content-Length: %d\r\n" % (len(body) + 7)
        if kind == "two-lengths":
            length += b"Content-Length: 3\r\n"
        return b"HTTP/1.1 " + status + b"\r\n" + extra + length + b"\r\n" + body


def _length(head):
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0

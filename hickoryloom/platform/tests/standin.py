"""Stand-in of the platform: object store, duty API and backend servers, with fault injection."""

from __future__ import annotations

import errno
import json
import struct
import time
from urllib.parse import parse_qs, unquote

import gevent
from gevent import socket
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

PAGE_SIZE = 4
HEALTH_PATH = "/healthz"
FAULTS_BEFORE_PROCESSING = ("busy", "limited", "silent", "reset")


class Store:
    """Object store by kind and name, with a single revision counter and watches.

    Attributes:
        rejected_kind: Kind of objects whose calls are rejected; empty for none.
    """

    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.history = []
        self.forgotten_revision = 0
        self.calls = []
        self.call_times = []
        self.era = 1
        self.down = False
        self.fault = ""
        self.rejected_kind = ""
        self.lose_writes = 0
        self._changed = Event()
        self._server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def put(self, kind, name, spec):
        self.revision += 1
        created = self.objects.get((kind, name), {"metadata": {"created": self.revision}})
        stored = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created": created["metadata"]["created"],
                "finalizers": [],
                "deletion_pending": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = stored
        self._record_change(kind, stored, False)
        return stored

    def remove(self, kind, name):
        stored = self.objects.pop((kind, name))
        self.revision += 1
        stored = {**stored, "metadata": {**stored["metadata"], "revision": self.revision}}
        self._record_change(kind, stored, True)

    def copy(self):
        """Return a copy of the contents, to which the store can return."""
        return dict(self.objects), self.revision

    def return_from(self, copy):
        """Lose all writes since a copy; their revisions are given out again."""
        objects, self.revision = copy
        self.objects = dict(objects)
        self.history.clear()
        self.forgotten_revision = self.revision
        self.era += 1
        self._changed.set()
        self._changed.clear()

    def discard_history(self):
        self.forgotten_revision = self.revision
        self.history.clear()
        self._changed.set()
        self._changed.clear()

    def _record_change(self, kind, stored, deleted):
        self.history.append((self.revision, kind, {"object": stored, "deleted": deleted}))
        self._changed.set()
        self._changed.clear()

    def _serve(self, environ, start_response):
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"].strip("/").split("/", 2)
        query = {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        raw = environ["wsgi.input"].read()
        self.calls.append((method, environ["PATH_INFO"], query))
        self.call_times.append(time.monotonic())
        if self.down:
            return self._reply(start_response, 503, {})
        if self.fault in FAULTS_BEFORE_PROCESSING:
            return self._fail(start_response)
        kind, name = path[1], unquote(path[2]) if len(path) > 2 else ""
        if kind == self.rejected_kind:
            return self._reply(start_response, 503, {})
        body = json.loads(raw) if raw else {}
        status, response = getattr(self, f"_{method.lower()}")(kind, name, query, body)
        if method != "GET" and self.lose_writes:
            self.lose_writes -= 1
            raise ConnectionAbortedError("response lost")
        if method != "GET" and self.fault == "lose-writes":
            raise ConnectionResetError(errno.ECONNRESET, "response lost")
        return self._reply(start_response, status, response)

    def _fail(self, start_response):
        """Reject the request, send no response, or reset the connection."""
        if self.fault == "reset":
            raise ConnectionResetError(errno.ECONNRESET, "store unreachable")
        while self.fault == "silent":
            gevent.sleep(0.05)
        return self._reply(start_response, 429 if self.fault == "limited" else 503, {})

    def _get(self, kind, name, query, body):
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if name:
            stored = self.objects.get((kind, name))
            return (404, {"at": self.revision}) if stored is None else (200, stored)
        names = sorted(n for k, n in self.objects if k == kind)
        names = [n for n in names if n > query.get("after_revision", "")]
        items = [self.objects[kind, n] for n in names[:PAGE_SIZE]]
        response = {"items": items, "has_more": len(names) > PAGE_SIZE, "at": self.revision}
        return 200, response

    def _watch(self, kind, since, wait_ms):
        if since < self.forgotten_revision or since > self.revision:
            return 410, {}
        era = self.era
        with gevent.Timeout(wait_ms / 1000, False):
            while not self._events(kind, since):
                self._changed.wait()
                if since < self.forgotten_revision or self.era != era:
                    return 410, {}
        return 200, {"events": self._events(kind, since), "at": self.revision}

    def _events(self, kind, since):
        return [event for at, k, event in self.history if k == kind and at > since]

    def _post(self, kind, name, query, body):
        name = body["metadata"]["name"]
        if (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        return 200, self.put(kind, name, body["spec"])

    def _put(self, kind, name, query, body):
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, {}
        expected = body["metadata"].get("revision")
        if expected is not None and expected != stored["metadata"]["revision"]:
            return 409, stored
        return 200, self.put(kind, name, body["spec"])

    def _delete(self, kind, name, query, body):
        stored = self.objects.get((kind, name))
        if stored is None:
            return 404, {}
        if "revision" in query and int(query["revision"]) != stored["metadata"]["revision"]:
            return 409, stored
        self.remove(kind, name)
        return 200, {}

    def _reply(self, start_response, status, body):
        return _reply(start_response, status, body, [("Store-Era", str(self.era))])


class Duties:
    """Accepts usage reports and orders; rejects calls with an old fencing token.

    Attributes:
        checks_tokens: Whether it rejects them.
        delay_s: Seconds until it responds.
        calls: Time, holder and fencing token of each call.
    """

    def __init__(self):
        self.checks_tokens = True
        self.delay_s = 0.0
        self.calls = []
        self.usage = []
        self.orders = []
        self.highest_token = 0
        self._server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def _serve(self, environ, start_response):
        body = json.loads(environ["wsgi.input"].read())
        token = int(environ["HTTP_FENCING_TOKEN"])
        self.calls.append((time.monotonic(), environ["HTTP_DUTY_HOLDER"], token))
        gevent.sleep(self.delay_s)
        if self.checks_tokens and token < self.highest_token:
            return _reply(start_response, 409, {"error": "a higher fence was seen"})
        self.highest_token = token
        accepted = self.usage if environ["PATH_INFO"] == "/usage" else self.orders
        accepted.append((environ["HTTP_DUTY_HOLDER"], token, body))
        return _reply(start_response, 200, {})


class Backend:
    """A backend server whose responses are defined byte by byte by the test.

    Attributes:
        requests: Received requests, each with method, target, headers and body.
        checks: Number of health checks, which don't count as requests.
        script: Called with each request; yields bytes to send, delays in seconds as floats, or
            `CLOSE` or `RESET` to close or reset the connection.
        responds_early: Whether it responds before it has read the request body.
    """

    CLOSE = object()
    RESET = object()

    def __init__(self, id, service, script, responds_early=False):
        self.id = id
        self.responds_early = responds_early
        self.service = service
        self.script = script
        self.requests = []
        self.checks = 0
        self.accepted_connections = 0
        self.open_connections = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def registration(self, **overrides):
        return {
            "service": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "capacity": 8,
            "state": "ready",
            "warmup_left_ms": 0,
            "sequence": 1,
            "born": 1,
            **overrides,
        }

    def _serve(self, sock, address):
        self.accepted_connections += 1
        self.open_connections += 1
        reader = sock.makefile("rb")
        try:
            while self._serve_request(sock, reader):
                pass
        except OSError:
            pass
        finally:
            self.open_connections -= 1
            reader.close()
            sock.close()

    def _serve_request(self, sock, reader):
        request_line = reader.readline()
        if not request_line:
            return False
        method, target, _ = request_line.decode().split()
        headers = {}
        while (line := reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        if (method, target) == ("GET", HEALTH_PATH):
            self.checks += 1
            sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return True
        if self.responds_early:
            sock.sendall(build_response({"headers": headers}, b"early"))
        body = reader.read(length)
        request = {"method": method, "target": target, "headers": headers, "body": body}
        self.requests.append(request)
        if self.responds_early:
            return True
        if headers.get("expect-replica") not in (None, self.id):
            sock.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
            return True
        for part in self.script(request):
            if part is self.CLOSE:
                return False
            if part is self.RESET:
                reset_on_close(sock)
                return False
            if isinstance(part, float):
                gevent.sleep(part)
            else:
                sock.sendall(part)
        return True


def reset_on_close(sock):
    """Make closing the socket reset its connection."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def build_response(request, body=b"done", status=200, signed=True, **headers):
    """Return a complete response to a request."""
    lines = [f"HTTP/1.1 {status} Status", f"Attempt-Id: {request['headers']['attempt-id']}"]
    if signed:
        lines.append("Replica-Signature: 3e1b.07")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def respond(request):
    """Script of a backend server that answers each request with success."""
    yield build_response(request)


def build_stream_head(request, chunked=True):
    """Return status line and headers of a stream, which ends with its connection if not chunked."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"Attempt-Id: {request['headers']['attempt-id']}\r\n"
        "Replica-Signature: 3e1b.07\r\n"
        "Content-Type: text/event-stream\r\n"
        + ("Transfer-Encoding: chunked\r\n\r\n" if chunked else "\r\n")
    ).encode()


def build_event(id, chunked=True):
    """Return one event of a stream, as an HTTP chunk or as it is."""
    data = f"id: {id}\ndata: x{id}\n\n".encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n" if chunked else data


LAST_CHUNK = b"0\r\n\r\n"


def _reply(start_response, status, body, headers=()):
    raw = json.dumps(body).encode()
    start_response(
        f"{status} Status",
        [("Content-Type", "application/json"), ("Content-Length", str(len(raw))), *headers],
    )
    return [raw]

"""A small stand-in of the users' platform: store, duties and backend servers, with faults."""

from __future__ import annotations

import errno
import json
from urllib.parse import parse_qs, unquote

import gevent
from gevent.event import Event
from gevent.pywsgi import WSGIServer
from gevent.server import StreamServer

PAGE = 4
FAULTS_BEFORE = ("busy", "silent", "reset")


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self):
        self.objects = {}
        self.revision = 10
        self.history = []
        self.forgotten = 0
        self.calls = []
        self.down = False
        self.fault = ""
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
        found = {
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
        self.objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def remove(self, kind, name):
        found = self.objects.pop((kind, name))
        self.revision += 1
        found = {**found, "metadata": {**found["metadata"], "revision": self.revision}}
        self._note(kind, found, True)

    def forget_history(self):
        self.forgotten = self.revision
        self.history.clear()
        self._changed.set()
        self._changed.clear()

    def _note(self, kind, found, deleted):
        self.history.append((self.revision, kind, {"object": found, "deleted": deleted}))
        self._changed.set()
        self._changed.clear()

    def _serve(self, environ, start_response):
        method = environ["REQUEST_METHOD"]
        path = environ["PATH_INFO"].strip("/").split("/", 2)
        query = {name: values[0] for name, values in parse_qs(environ["QUERY_STRING"]).items()}
        raw = environ["wsgi.input"].read()
        self.calls.append((method, environ["PATH_INFO"], query))
        if self.down:
            return _reply(start_response, 503, {})
        if self.fault in FAULTS_BEFORE:
            return self._fail(start_response)
        kind, name = path[1], unquote(path[2]) if len(path) > 2 else ""
        body = json.loads(raw) if raw else {}
        status, answer = getattr(self, f"_{method.lower()}")(kind, name, query, body)
        if method != "GET" and self.lose_writes:
            self.lose_writes -= 1
            raise ConnectionAbortedError("the answer is lost")
        if method != "GET" and self.fault == "lose-writes":
            raise ConnectionResetError(errno.ECONNRESET, "the answer is lost")
        return _reply(start_response, status, answer)

    def _fail(self, start_response):
        """Do nothing and say so, say nothing, or break the connection."""
        if self.fault == "reset":
            raise ConnectionResetError(errno.ECONNRESET, "the store is away")
        while self.fault == "silent":
            gevent.sleep(0.05)
        return _reply(start_response, 503, {})

    def _get(self, kind, name, query, body):
        if "watch" in query:
            return self._watch(kind, int(query["watch"]), int(query.get("wait_ms", 0)))
        if name:
            found = self.objects.get((kind, name))
            return (404, {"at": self.revision}) if found is None else (200, found)
        names = sorted(n for k, n in self.objects if k == kind)
        names = [n for n in names if n > query.get("after_revision", "")]
        items = [self.objects[kind, n] for n in names[:PAGE]]
        answer = {"items": items, "has_more": len(names) > PAGE, "at": self.revision}
        return 200, answer

    def _watch(self, kind, since, wait_ms):
        if since < self.forgotten:
            return 410, {}
        with gevent.Timeout(wait_ms / 1000, False):
            while not self._events(kind, since):
                self._changed.wait()
                if since < self.forgotten:
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
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        expected = body["metadata"].get("revision")
        if expected is not None and expected != found["metadata"]["revision"]:
            return 409, found
        return 200, self.put(kind, name, body["spec"])

    def _delete(self, kind, name, query, body):
        found = self.objects.get((kind, name))
        if found is None:
            return 404, {}
        if "revision" in query and int(query["revision"]) != found["metadata"]["revision"]:
            return 409, found
        self.remove(kind, name)
        return 200, {}


class Duties:
    """Takes usage reports and orders, and refuses those with an old fencing token."""

    def __init__(self):
        self.usage = []
        self.orders = []
        self.highest = 0
        self._server = WSGIServer(("127.0.0.1", 0), self._serve, log=None, error_log=None)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def _serve(self, environ, start_response):
        body = json.loads(environ["wsgi.input"].read())
        token = int(environ["HTTP_FENCING_TOKEN"])
        if token < self.highest:
            return _reply(start_response, 409, {"error": "a higher fence was seen"})
        self.highest = token
        taken = self.usage if environ["PATH_INFO"] == "/usage" else self.orders
        taken.append((environ["HTTP_DUTY_HOLDER"], token, body))
        return _reply(start_response, 200, {})


class Backend:
    """A backend server whose answers a test writes byte by byte.

    Attributes:
        seen: Requests that arrived, each with its headers, body and whether it ran.
        script: Called with each request; yields bytes to send, or `CUT` to reset the connection.
        early: Whether it answers before it has read a request's body.
    """

    CUT = object()

    def __init__(self, id, service, script, early=False):
        self.id = id
        self.early = early
        self.service = service
        self.script = script
        self.seen = []
        self.connections = 0
        self.open = 0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()
        self.address = f"127.0.0.1:{self._server.server_port}"

    def stop(self):
        self._server.stop(timeout=0.1)

    def registration(self, **changed):
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
            **changed,
        }

    def _serve(self, sock, address):
        self.connections += 1
        self.open += 1
        reader = sock.makefile("rb")
        try:
            while self._serve_one(sock, reader):
                pass
        except OSError:
            pass
        finally:
            self.open -= 1
            reader.close()
            sock.close()

    def _serve_one(self, sock, reader):
        first = reader.readline()
        if not first:
            return False
        method, target, _ = first.decode().split()
        headers = {}
        while (line := reader.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        if self.early:
            sock.sendall(answer({"headers": headers}, b"early"))
        body = reader.read(length)
        request = {"method": method, "target": target, "headers": headers, "body": body}
        self.seen.append(request)
        if self.early:
            return True
        if headers.get("expect-replica") not in (None, self.id):
            sock.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
            return True
        for part in self.script(request):
            if part is self.CUT:
                return False
            if isinstance(part, float):
                gevent.sleep(part)
            else:
                sock.sendall(part)
        return True


def answer(request, body=b"done", status=200, signed=True, **headers):
    """Return a whole answer to a request."""
    lines = [f"HTTP/1.1 {status} Status", f"Attempt-Id: {request['headers']['attempt-id']}"]
    if signed:
        lines.append("Replica-Signature: 3e1b.07")
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def stream_head(request):
    """Return the head of a stream."""
    return (
        "HTTP/1.1 200 OK\r\n"
        f"Attempt-Id: {request['headers']['attempt-id']}\r\n"
        "Replica-Signature: 3e1b.07\r\n"
        "Content-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n"
    ).encode()


def event(id):
    """Return one event of a stream as a chunk."""
    data = f"id: {id}\ndata: x{id}\n\n".encode()
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


END = b"0\r\n\r\n"


def _reply(start_response, status, body):
    raw = json.dumps(body).encode()
    start_response(
        f"{status} Status",
        [("Content-Type", "application/json"), ("Content-Length", str(len(raw)))],
    )
    return [raw]

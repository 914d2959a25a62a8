"""Stand-in of the platform for the soak test."""

from __future__ import annotations

import random
import re
import signal
import time
from pathlib import Path

import attrs

from hickoryloom.clock import SystemClock
from hickoryloom.platform.tests.site import HOST, Gateway, configuration, route
from hickoryloom.platform.tests.standin import (
    LAST_CHUNK,
    Backend,
    Duties,
    Store,
    build_event,
    build_response,
    build_stream_head,
)
from hickoryloom.soak import Bounds, Call, CallKind, DutyReport, Link, Run

EVENTS = 12
EVENT_PACE_S = 0.03
ANSWER_S = 0.03
SERVERS = {"app": 4, "llm": 3}
LONG_EVENT_PACE_S = 0.24
SERVICE_OF = {
    "once": "app",
    "read": "app",
    "extra": "app",
    "draft": "llm",
    "long": "llm",
    "costly": "app",
}
LONG_PROMPT = ",".join(f"{part:x}:1" for part in range(1, 1500))
STREAMS = (CallKind.STREAM, CallKind.LONG_STREAM)
REQUEST_LINE = re.compile(r"\brequest=(\S+)")
STOP_LINE = re.compile(r"event=(?:process-\w+|stop-step|idle-connections-closed|lease-\w+) ?")
LOG_TAIL_BYTES = 4000
BOUNDS = Bounds(
    apply_s=2.0,
    revoke_s=5.0,
    drain_s=2.0,
    catch_up_s=3.0,
    stop_s=8.0,
    timeout_s=4.0,
    retry_ratio=0.2,
    retry_slack=54.0,
    retry_window_s=10.0,
)


def build_site(folder: Path, names: list[str]) -> PlatformSite:
    return PlatformSite(folder, names)


class SoakBackend(Backend):
    """A backend server that records the requests it runs and can inject faults into responses."""

    def __init__(self, id, service, site):
        super().__init__(id, service, self._script)
        self._site = site
        self._rng = random.Random(id)
        self.fault, self.fault_rate = "", 0.0

    def _script(self, request):
        headers = request["headers"]
        call_id = headers.get("attempt-id", "")
        fault = self.fault if self._rng.random() < self.fault_rate else ""
        run = Run(
            call_id=call_id,
            server=self.id,
            service=self.service,
            wanted_service=SERVICE_OF.get(request["target"].split("/")[1], ""),
            received_at=self._site.clock.monotonic(),
            customer=headers.get("tenant", ""),
            key_seen="x-api-key" in headers,
            rejected=fault == "reject",
        )
        self._site.runs.append(run)
        if fault == "reject":
            yield build_response(request, b"", 503, signed=False, Not_Executed="1")
            return
        if fault == "fail":
            yield build_response(request, b"failed", 500)
            return
        if fault == "lose-answer":
            yield self.CLOSE
            return
        if fault == "foreign":
            other = {"headers": {"attempt-id": "of-another-request"}}
            yield build_response(other, b"of another request")
        yield from (
            self._stream_response(request, fault)
            if self.service == "llm"
            else self._full_response(request, fault)
        )

    def _full_response(self, request, fault):
        yield ANSWER_S
        response = build_response(request, expected_body(request["headers"]["attempt-id"]))
        if fault == "spoil":
            yield response.replace(b"HTTP/1.1", b"HTTX/7")
        elif fault == "cut":
            yield response[:-7]
            yield self.CLOSE
        else:
            yield response

    def _stream_response(self, request, fault):
        last = int(request["headers"].get("last-event-id", 0))
        pace_s = LONG_EVENT_PACE_S if request["target"].startswith("/long/") else EVENT_PACE_S
        yield build_stream_head(request)
        for id in range(last + 1, EVENTS + 1):
            if fault in ("cut", "spoil") and id == last + 3:
                yield build_event(id)[:-6] if fault == "cut" else b"zz\r\n"
                yield self.CLOSE
                return
            yield build_event(id)
            yield pace_s
        yield LAST_CHUNK


def expected_body(call_id):
    """Return the expected response body of a request that is not for an engine."""
    return f"answer to {call_id};".encode() * 8


def expected_stream():
    """Return all events of a stream as received by the caller."""
    return b"".join(f"id: {id}\ndata: x{id}\n\n".encode() for id in range(1, EVENTS + 1))


@attrs.define
class ProcessEndpoints:
    """Settings of one process: its folder and its own links to the store and the duty API."""

    folder: Path
    store: Link
    duties: Link


class SoakGateway(Gateway):
    """A gateway process under soak test."""

    def __init__(self, endpoints, name):
        super().__init__(endpoints, name, {})
        self.name = name
        self.address = f"127.0.0.1:{self.port}"

    def ready(self):
        return self.ready_status() == 200

    def log_tail(self):
        return self.log()[-LOG_TAIL_BYTES:]


class PlatformSite:
    """Object store, duty API and backend servers behind links, and gateway processes."""

    def __init__(self, folder: Path, names: list[str]) -> None:
        self.clock = SystemClock()
        self.bounds = BOUNDS
        self.runs: list[Run] = []
        self._folder = folder
        self._store = Store()
        self._duties = Duties()
        self._store_links = {name: Link(self._store.address) for name in names}
        self._duties_links = {name: Link(self._duties.address) for name in names}
        self._backends: dict[str, SoakBackend] = {}
        self._links: dict[str, Link] = {}
        self._leaving: set[str] = set()
        self._processes: list[SoakGateway] = []
        self._version = 0
        for service, number in SERVERS.items():
            for _ in range(number):
                self._add(service)

    @property
    def reports(self):
        return [
            DutyReport(holder, term, body["window_id"], body["counts"])
            for holder, term, body in self._duties.usage
        ]

    @property
    def terms(self):
        return [(holder, term) for holder, term, _ in self._duties.usage + self._duties.orders]

    @property
    def holder(self):
        return self._duties.calls[-1][1] if self._duties.calls else ""

    @property
    def servers(self):
        """Backend servers that may get faults; never the last one of a service."""
        active = [id for id in self._backends if id not in self._leaving]
        counts: dict[str, int] = {}
        for id in active:
            service = self._backends[id].service
            counts[service] = counts.get(service, 0) + 1
        return [id for id in active if counts[self._backends[id].service] > 1]

    def start_instance(self, name):
        folder = self._folder / name / str(len(self._processes))
        folder.mkdir(parents=True)
        endpoints = ProcessEndpoints(folder, self._store_links[name], self._duties_links[name])
        process = SoakGateway(endpoints, name)
        self._processes.append(process)
        return process

    def store_link(self, name):
        return self._store_links[name]

    def duties_link(self, name):
        return self._duties_links[name]

    def server_link(self, id):
        return self._links[id]

    def request(self, call: Call):
        headers = {
            "Host": HOST,
            "Attempt-Id": call.id,
            "Deadline-Ms": str(int(self.bounds.timeout_s * 1000)),
            "X-Api-Key": call.key,
        }
        if call.kind in STREAMS:
            headers.update({"Token-Count": "900,60", "Prompt-Prefix": "aa:500,bb:300,cc:100"})
        if call.kind is CallKind.LONG_PROMPT:
            headers.update({"Token-Count": "1500,60", "Prompt-Prefix": LONG_PROMPT})
        body = f"body of {call.id}".encode()
        return "POST", f"/{call.kind.value}/{call.id}", headers, body

    def is_correct(self, call: Call, status: int, body: bytes, whole: bool) -> bool:
        if status != 200:
            return True
        expected = expected_stream() if call.kind in STREAMS else expected_body(call.id)
        return body == expected if whole else expected.startswith(body)

    def configure(self, keys, extra_route, limits):
        self._version += 1
        routes = [
            route("once", "non_idempotent", "app", max_attempts=3),
            route("read", "idempotent", "app", max_attempts=3),
            route("draft", "streaming", "llm", max_attempts=4, stream_resume=True),
            route("long", "streaming", "llm", max_attempts=2),
            route("costly", "idempotent", "app", max_attempts=2),
        ]
        if extra_route:
            routes.append(route("extra", "idempotent", "app", max_attempts=2))
        for added in routes:
            added["timeout_ms"] = int(limits.timeout_s * 1000)
        tenants = [
            {"name": customer, "api_keys": list(api_keys), "priority": 1}
            for customer, api_keys in keys.items()
        ]
        caller_limits = {
            "max_header_bytes": 16384,
            "max_body_bytes": 100_000,
            "header_timeout_ms": int(limits.header_timeout_s * 1000),
            "idle_timeout_ms": int(limits.idle_s * 1000),
        }
        document = configuration(
            version=self._version, routes=routes, tenants=tenants, limits=caller_limits
        )
        self._store.put("config", "main", document)

    def add_server(self, like):
        return self._add(self._backends[like].service)

    def _add(self, service):
        id = f"{service}-{len(self._links) + 1}"
        backend = SoakBackend(id, service, self)
        self._backends[id] = backend
        self._links[id] = Link(backend.address)
        self._register(id, "ready")
        return id

    def _register(self, id, state):
        registration = self._backends[id].registration(
            address=self._links[id].address, state=state, born=int(time.time() * 1000)
        )
        self._store.put("servers", id, registration)

    def drain_server(self, id):
        self._leaving.add(id)
        self._register(id, "draining")

    def remove_server(self, id):
        backend = self._backends.pop(id, None)
        if backend is None:
            return
        self._store.remove("servers", id)
        self._links[id].close()
        backend.stop()

    def set_server_fault(self, id, how, part):
        backend = self._backends.get(id)
        if backend is not None:
            backend.fault, backend.fault_rate = how, part

    def set_store_fault(self, how):
        self._store.fault = how

    def discard_history(self):
        self._store.discard_history()

    def rewrite_settings(self, name, size):
        running = [process for process in self._processes if process.name == name]
        running[-1].write_settings(budget_slack=54 - int(10 * size))

    def log_lines(self, ids):
        wanted, found = set(ids), {}
        for process in self._processes:
            lines = process.log().splitlines()
            stop_lines = [line for line in lines if STOP_LINE.search(line)]
            matches = {}
            for line in lines:
                match = REQUEST_LINE.search(line)
                if match and match[1] in wanted:
                    matches.setdefault(match[1], []).append(line)
            for id, about in matches.items():
                found.setdefault(id, []).extend(sorted(about + stop_lines))
        return found

    def stop(self):
        for process in self._processes:
            process.signal(signal.SIGCONT)
            process.kill()
        for link in [*self._store_links.values(), *self._duties_links.values()]:
            link.close()
        for id in list(self._backends):
            self.remove_server(id)
        self._store.stop()
        self._duties.stop()

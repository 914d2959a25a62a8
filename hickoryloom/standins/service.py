"""Stand-in for a plain HTTP service; it counts how often each call is run."""

from __future__ import annotations

import os
from collections import Counter, deque
from typing import Any

import attrs
import falcon
import gevent

from hickoryloom.standins.base import StandIn, drop_connection, read_json, set_switches

__all__ = ["ServiceStandIn", "ServiceSwitches", "build_service"]

CRASH_EXIT_CODE = 70
MAX_SEEN = 1000


@attrs.frozen
class ServiceSwitches:
    """Delays and injected faults of a service.

    Each `..._next` switch is the number of further calls to which the fault applies.

    Attributes:
        delay_s: Seconds between the arrival of a call and its run.
        after_s: Seconds between the run and the response.
        not_run_next: Rejected with status 503 and the `X-Not-Run` header, without being run.
        error_next: Run, but the response has status 500.
        lose_next: Connection dropped after the run, without a response.
        cut_next: Connection dropped before the run.
        crash_next: The process exits after the run, without a response.
        leaving: Whether load reports announce that the service is going away.
        load_lag_s: Age that load reports state, in seconds; the reported load is always current.
    """

    delay_s: float = 0.0
    after_s: float = 0.0
    not_run_next: int = 0
    error_next: int = 0
    lose_next: int = 0
    cut_next: int = 0
    crash_next: int = 0
    leaving: bool = False
    load_lag_s: float = 0.0


class ServiceStandIn(StandIn):
    """Stand-in for one replica of a plain service.

    Args:
        listen: `host:port`; port 0 selects a free port.
        credential: Bearer token that requests must carry; empty to accept all requests.
        switches: Initial delays and faults.
    """

    def __init__(self, listen: str, credential: str, switches: ServiceSwitches) -> None:
        self.switches = switches
        self.credential = credential
        self.running = 0
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_request: Counter[str] = Counter()
        self.runs_by_call: Counter[str] = Counter()
        self.received_requests: deque[dict[str, Any]] = deque(maxlen=MAX_SEEN)
        app = falcon.App()
        app.add_route("/load", _Load(self))
        app.add_route("/standin/runs", _Runs(self))
        app.add_route("/standin/faults", _Faults(self))
        app.add_sink(_Calls(self), "/")
        super().__init__(app, listen)

    def consume_switch(self, name: str) -> bool:
        """Decrement a `..._next` switch; return whether the fault applies to this call."""
        remaining = getattr(self.switches, name)
        if remaining > 0:
            self.switches = attrs.evolve(self.switches, **{name: remaining - 1})
        return remaining > 0


def build_service(
    listen: str = "127.0.0.1:0", credential: str = "", **switches: Any
) -> ServiceStandIn:
    """Build a service stand-in without starting it.

    Args:
        listen: `host:port`; port 0 selects a free port.
        credential: Bearer token that requests must carry; empty to accept all requests.
        **switches: Initial values of `ServiceSwitches`.
    """
    return ServiceStandIn(listen, credential, ServiceSwitches(**switches))


class _Calls:
    def __init__(self, service: ServiceStandIn) -> None:
        self._service = service

    def __call__(self, request: falcon.Request, response: falcon.Response, **_: Any) -> None:
        service = self._service
        body = request.bounded_stream.read()
        _record_request(service, request, body)
        if service.credential and request.auth != f"Bearer {service.credential}":
            raise falcon.HTTPUnauthorized(title="wrong backend credential")
        if service.consume_switch("not_run_next"):
            response.status = falcon.HTTP_503
            response.set_header("X-Not-Run", "true")
            response.media = {"error": {"message": "not run: told to"}}
            return
        service.running += 1
        try:
            self._serve(request, response, body)
        finally:
            service.running -= 1

    def _serve(self, request: falcon.Request, response: falcon.Response, body: bytes) -> None:
        service = self._service
        if service.switches.delay_s:
            gevent.sleep(service.switches.delay_s)
        if service.consume_switch("cut_next"):
            drop_connection(request)
            return
        run = self._run(request)
        if service.consume_switch("crash_next"):
            os._exit(CRASH_EXIT_CODE)
        if service.switches.after_s:
            gevent.sleep(service.switches.after_s)
        if service.consume_switch("lose_next"):
            drop_connection(request)
            return
        if service.consume_switch("error_next"):
            response.status = falcon.HTTP_500
        response.media = {
            "call": f"{request.method} {request.path}",
            "run": run,
            "request_id": request.get_header("X-Request-Id") or "",
            "body": body.decode(errors="replace"),
        }

    def _run(self, request: falcon.Request) -> int:
        service = self._service
        call = f"{request.method} {request.path}"
        service.runs_by_call[call] += 1
        service.runs_by_key[request.get_header("Idempotency-Key") or ""] += 1
        service.runs_by_request[request.get_header("X-Request-Id") or ""] += 1
        return service.runs_by_call[call]


class _Runs:
    def __init__(self, service: ServiceStandIn) -> None:
        self._service = service

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        service = self._service
        response.media = {
            "total": sum(service.runs_by_call.values()),
            "by_key": dict(service.runs_by_key),
            "by_request": dict(service.runs_by_request),
            "by_call": dict(service.runs_by_call),
            "seen": list(service.received_requests),
        }


class _Load:
    def __init__(self, service: ServiceStandIn) -> None:
        self._service = service

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = {
            "running": self._service.running,
            "waiting": 0,
            "kv_free": 1.0,
            "age_ms": int(self._service.switches.load_lag_s * 1000),
            "leaving": self._service.switches.leaving,
            "models": [],
        }


class _Faults:
    def __init__(self, service: ServiceStandIn) -> None:
        self._service = service

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        self._service.switches = set_switches(self._service.switches, read_json(request))
        response.media = attrs.asdict(self._service.switches)


def _record_request(service: ServiceStandIn, request: falcon.Request, body: bytes) -> None:
    service.received_requests.append(
        {
            "path": request.path,
            "query": request.query_string,
            "headers": dict(request.headers),
            "body": body.decode(errors="replace"),
        }
    )

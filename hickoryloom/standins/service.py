"""The plain service stand-in, which counts the runs of each call."""

from __future__ import annotations

import os
from collections import Counter, deque
from typing import Any

import attrs
import falcon
import gevent

from hickoryloom.standins.base import StandIn, cut_connection, read_json, set_switches

__all__ = ["ServiceStandIn", "ServiceSwitches", "build_service"]

CRASH_EXIT_CODE = 70
KEPT_SEEN = 1000


@attrs.frozen
class ServiceSwitches:
    """Pace and faults of a service. Each `..._next` counts calls that it still applies to.

    Attributes:
        delay_s: Seconds from arrival to the run.
        after_s: Seconds from the run to the answer.
        not_run_next: Answered 503 with the not-run header.
        error_next: Answered 500 after the run.
        lose_next: Cut after the run, without an answer.
        cut_next: Cut before the run.
        crash_next: The process ends after the run.
        leaving: Whether it says that it will leave.
        load_lag_s: Seconds that load reports name as their age.
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
    """One replica of a plain service.

    Args:
        listen: `host:port`; port 0 takes a free one.
        credential: Token that callers must show; empty for none.
        switches: Pace and faults at first.
    """

    def __init__(self, listen: str, credential: str, switches: ServiceSwitches) -> None:
        self.switches = switches
        self.credential = credential
        self.running = 0
        self.runs_by_key: Counter[str] = Counter()
        self.runs_by_request: Counter[str] = Counter()
        self.runs_by_call: Counter[str] = Counter()
        self.seen: deque[dict[str, Any]] = deque(maxlen=KEPT_SEEN)
        app = falcon.App()
        app.add_route("/load", _Load(self))
        app.add_route("/standin/runs", _Runs(self))
        app.add_route("/standin/faults", _Faults(self))
        app.add_sink(_Calls(self), "/")
        super().__init__(app, listen)

    def take(self, name: str) -> bool:
        """Count a `..._next` switch down; return whether it applies to this call."""
        left = getattr(self.switches, name)
        if left > 0:
            self.switches = attrs.evolve(self.switches, **{name: left - 1})
        return left > 0


def build_service(
    listen: str = "127.0.0.1:0", credential: str = "", **switches: Any
) -> ServiceStandIn:
    """Build a service stand-in that is not started yet.

    Args:
        listen: `host:port`; port 0 takes a free one.
        credential: Token that callers must show; empty for none.
        **switches: Fields of `ServiceSwitches`.
    """
    return ServiceStandIn(listen, credential, ServiceSwitches(**switches))


class _Calls:
    def __init__(self, service: ServiceStandIn) -> None:
        self._service = service

    def __call__(self, request: falcon.Request, response: falcon.Response, **_: Any) -> None:
        service = self._service
        body = request.bounded_stream.read()
        _note_seen(service, request, body)
        if service.credential and request.auth != f"Bearer {service.credential}":
            raise falcon.HTTPUnauthorized(title="wrong backend credential")
        if service.take("not_run_next"):
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
        if service.take("cut_next"):
            cut_connection(request)
            return
        run = self._run(request)
        if service.take("crash_next"):
            os._exit(CRASH_EXIT_CODE)
        if service.switches.after_s:
            gevent.sleep(service.switches.after_s)
        if service.take("lose_next"):
            cut_connection(request)
            return
        if service.take("error_next"):
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
            "seen": list(service.seen),
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


def _note_seen(service: ServiceStandIn, request: falcon.Request, body: bytes) -> None:
    service.seen.append(
        {
            "path": request.path,
            "query": request.query_string,
            "headers": dict(request.headers),
            "body": body.decode(errors="replace"),
        }
    )

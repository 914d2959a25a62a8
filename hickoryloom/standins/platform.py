"""The platform stand-in: objects, ordering, live list, usage reports and weights over HTTP."""

from __future__ import annotations

import math
import time
from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any

import attrs
import falcon
import gevent
from gevent.event import Event

from hickoryloom.standins.base import StandIn, cut_connection, read_json, set_switches
from hickoryloom.standins.capacity import (
    WEIGHT_BYTES,
    Capacity,
    Fenced,
    NoCapacity,
    Row,
    UsageLedger,
    WeightStore,
)
from hickoryloom.standins.objects import Conflict, ObjectStore, Stored

__all__ = ["PlatformStandIn", "PlatformSwitches", "build_platform"]

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 60.0
OUTAGE_ERROR = "error"
OUTAGE_CUT = "cut"
OUTAGE_HANG = "hang"
HANG_S = 60.0
KEPT_SECONDS = 900


@attrs.frozen
class PlatformSwitches:
    """Faults of the platform.

    Attributes:
        outage: Empty for none; `error` answers 503, `cut` closes connections, `hang` is silent.
        slow_s: Seconds before each answer.
        lose_answers: Further writes that take effect and get no answer.
        lose_prefix: Only writes whose path begins so lose their answer.
        stale_reads: Seconds by which reads of objects lag.
        live_lag_s: Seconds by which the live list lags.
        start_s: Seconds from an order until the backend server is listed.
        no_cheap: Whether no reclaimable backend server can be had.
        no_capacity: Failure domains in which none can be had.
        fencing: Whether orders and reports with an old fencing number are refused.
        weights_per_minute: Loads granted by the weight store.
    """

    outage: str = ""
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_prefix: str = "/"
    stale_reads: float = 0.0
    live_lag_s: float = 0.0
    start_s: float = 0.0
    no_cheap: bool = False
    no_capacity: tuple[str, ...] = ()
    fencing: bool = True
    weights_per_minute: float = 600.0


class PlatformStandIn(StandIn):
    """All of the platform in one process's memory.

    Args:
        listen: `host:port`; port 0 takes a free one.
    """

    def __init__(self, listen: str) -> None:
        self.switches = PlatformSwitches()
        self.store = ObjectStore(time.monotonic)
        self.capacity = Capacity(time.monotonic)
        self.usage = UsageLedger()
        self.weights = WeightStore(time.monotonic)
        self.journal: list[dict[str, Any]] = []
        self.calls: Counter[str] = Counter()
        self.calls_by_second: Counter[int] = Counter()
        self._changed = Event()
        super().__init__(_Gate(self, _build_app(self)), listen)

    def record(self, kind: str, body: dict[str, Any], result: str) -> None:
        """Enter one order, release or report in the journal."""
        self.journal.append({"kind": kind, "time": time.monotonic(), "result": result, **body})

    def count_call(self, kind: str) -> None:
        """Count one call, whether it is answered or not."""
        second = int(time.monotonic())
        self.calls[kind] += 1
        self.calls_by_second[second] += 1
        self.calls_by_second.pop(second - KEPT_SECONDS, None)

    def signal_change(self) -> None:
        """Wake all waiting watches."""
        changed, self._changed = self._changed, Event()
        changed.set()

    def wait_change(self, timeout_s: float) -> None:
        """Wait for the next change of any object."""
        self._changed.wait(timeout_s)

    def reclaim(self, failure_domain: str, notice_s: float) -> int:
        """Begin to reclaim all cheap backend servers of a failure domain; return how many."""
        rows = [
            row
            for row in self.capacity.rows()
            if row.cheap and row.failure_domain == failure_domain
        ]
        for row in rows:
            self.capacity.set_state(row.id, "leaving")
            gevent.spawn_later(notice_s, self.capacity.remove, row.id)
        return len(rows)


def build_platform(listen: str = "127.0.0.1:0") -> PlatformStandIn:
    """Build a platform stand-in that is not started yet."""
    return PlatformStandIn(listen)


class _Gate:
    """Applies outages, slowness and lost answers around the application."""

    def __init__(self, platform: PlatformStandIn, app: Callable[..., Any]) -> None:
        self._platform = platform
        self._app = app

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/standin/"):
            return self._app(environ, start_response)
        self._platform.count_call(_kind(environ))
        if self._platform.switches.outage:
            return self._fail(environ, start_response)
        if self._platform.switches.slow_s:
            gevent.sleep(self._platform.switches.slow_s)
        answer = self._app(environ, start_response)
        if environ["REQUEST_METHOD"] == "POST" and self._loses(path):
            cut_connection(falcon.Request(environ))
        return answer

    def _fail(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        outage = self._platform.switches.outage
        if outage == OUTAGE_ERROR:
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        if outage == OUTAGE_HANG:
            gevent.sleep(HANG_S)
        cut_connection(falcon.Request(environ))
        return [b""]

    def _loses(self, path: str) -> bool:
        switches = self._platform.switches
        if not switches.lose_answers or not path.startswith(switches.lose_prefix):
            return False
        self._platform.switches = attrs.evolve(switches, lose_answers=switches.lose_answers - 1)
        return True


class _Objects:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response, key: str = "") -> None:
        age_s = self._platform.switches.stale_reads
        if not key:
            revision, items = self._platform.store.list_prefix(
                request.get_param("prefix") or "", age_s
            )
            response.media = {"revision": revision, "items": [_public(item) for item in items]}
            return
        found = self._platform.store.get(key, age_s)
        if found is None:
            raise falcon.HTTPNotFound(title="no such object")
        response.media = _public(found)

    def on_post(self, request: falcon.Request, response: falcon.Response, key: str) -> None:
        if (request.content_length or 0) > MAX_VALUE_BYTES:
            raise falcon.HTTPContentTooLarge(title="values are limited to a megabyte")
        body = read_json(request)
        if body.get("value") is None:
            raise falcon.HTTPBadRequest(title="value is missing")
        try:
            stored = self._platform.store.put(key, body["value"], _if_version(request))
        except Conflict as conflict:
            _answer_conflict(response, conflict)
            return
        self._platform.signal_change()
        response.media = {"key": key, "version": stored.version}


class _Deletion:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response, key: str) -> None:
        try:
            self._platform.store.delete(key, _if_version(request))
        except KeyError:
            raise falcon.HTTPNotFound(title="no such object")
        except Conflict as conflict:
            _answer_conflict(response, conflict)
            return
        self._platform.signal_change()
        response.media = {}


class _Watch:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        prefix = request.get_param("prefix") or ""
        since = request.get_param_as_int("since", required=True)
        timeout_s = request.get_param_as_float("timeout", default=MAX_WATCH_S)
        end = time.monotonic() + min(timeout_s, MAX_WATCH_S)
        store = self._platform.store
        changes = store.changes(prefix, since)
        while changes == [] and (left := end - time.monotonic()) > 0:
            self._platform.wait_change(left)
            if self._platform.switches.outage:
                cut_connection(request)
                return
            changes = store.changes(prefix, since)
        response.media = {
            "revision": store.revision,
            "reset": changes is None,
            "changes": [_public(change) for change in changes or []],
        }


class _Live:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        rows = self._platform.capacity.rows(self._platform.switches.live_lag_s)
        response.media = {"backends": [attrs.asdict(row) for row in rows]}


class _Orders:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        order = read_json(request)
        _require(order, "order_id", "pool", "failure_domain", "cheap", "fencing", "sender")
        try:
            backend_id = self._order(order)
        except Fenced:
            self._platform.record("order", order, "fenced")
            _answer_fenced(response)
        except NoCapacity:
            self._platform.record("order", order, "no-capacity")
            response.status = falcon.HTTP_503
            response.media = {"no_capacity": True}
        else:
            self._platform.record("order", {**order, "backend_id": backend_id}, "taken")
            response.media = {"backend_id": backend_id}

    def _order(self, order: dict[str, Any]) -> str:
        switches = self._platform.switches
        if order["cheap"] and switches.no_cheap:
            raise NoCapacity
        if order["failure_domain"] in switches.no_capacity:
            raise NoCapacity
        backend_id = self._platform.capacity.order(order, switches.fencing)
        if switches.start_s:
            self._platform.capacity.set_state(backend_id, "starting")
            gevent.spawn_later(
                switches.start_s, self._platform.capacity.set_state, backend_id, "live"
            )
        return backend_id


class _Releases:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        release = read_json(request)
        _require(release, "order_id", "backend_id", "fencing", "sender")
        try:
            self._platform.capacity.release(release, self._platform.switches.fencing)
        except Fenced:
            self._platform.record("release", release, "fenced")
            _answer_fenced(response)
        else:
            self._platform.record("release", release, "taken")
            response.media = {}


class _Usage:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        report = read_json(request)
        _require(report, "window", "figures", "digest", "fencing", "sender")
        try:
            taken = self._platform.usage.report(report, self._platform.switches.fencing)
        except Fenced:
            self._platform.record("usage", report, "fenced")
            _answer_fenced(response)
            return
        self._platform.record("usage", report, "taken" if taken else "other-figures")
        response.status = falcon.HTTP_200 if taken else falcon.HTTP_409
        response.media = {} if taken else {"other_figures": True}


class _Weights:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response, model: str) -> None:
        wait_s = self._platform.weights.grant(self._platform.switches.weights_per_minute)
        if wait_s:
            response.status = falcon.HTTP_429
            response.set_header("Retry-After", str(math.ceil(wait_s)))
            response.media = {"retry_after_s": wait_s}
            return
        response.media = {"model": model, "bytes": WEIGHT_BYTES}


class _Faults:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        body = read_json(request)
        domain = body.pop("reclaim", None)
        notice_s = body.pop("reclaim_notice_s", 0.0)
        if body.get("outage") is True:
            body["outage"] = OUTAGE_ERROR
        if body.get("outage") is False:
            body["outage"] = ""
        self._platform.switches = set_switches(self._platform.switches, body)
        reclaimed = self._platform.reclaim(domain, notice_s) if domain else 0
        self._platform.signal_change()
        response.media = {**attrs.asdict(self._platform.switches), "reclaimed": reclaimed}


class _Backends:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        body = read_json(request)
        spare = bool(body.pop("spare", False))
        try:
            row = Row(**body)
        except TypeError as error:
            raise falcon.HTTPBadRequest(title=str(error))
        self._platform.capacity.register(row, spare)
        response.media = {}


class _Journal:
    def __init__(self, platform: PlatformStandIn) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = {
            "entries": self._platform.journal,
            "calls": dict(self._platform.calls),
            "calls_by_second": sorted(self._platform.calls_by_second.items()),
        }


def _build_app(platform: PlatformStandIn) -> falcon.App:
    app = falcon.App()
    objects = _Objects(platform)
    app.add_route("/objects", objects)
    app.add_route("/objects/{key:path}", objects)
    app.add_route("/delete/{key:path}", _Deletion(platform))
    app.add_route("/watch", _Watch(platform))
    app.add_route("/live", _Live(platform))
    app.add_route("/orders", _Orders(platform))
    app.add_route("/releases", _Releases(platform))
    app.add_route("/usage", _Usage(platform))
    app.add_route("/weights/{model:path}", _Weights(platform))
    app.add_route("/standin/faults", _Faults(platform))
    app.add_route("/standin/backends", _Backends(platform))
    app.add_route("/standin/journal", _Journal(platform))
    return app


def _kind(environ: dict[str, Any]) -> str:
    head = environ["PATH_INFO"].strip("/").split("/")[0]
    if head != "objects":
        return head
    if environ["REQUEST_METHOD"] == "POST":
        return "create" if "if_version=0" in environ.get("QUERY_STRING", "") else "update"
    return "list" if environ["PATH_INFO"] == "/objects" else "get"


def _public(stored: Stored) -> dict[str, Any]:
    return {"key": stored.key, "version": stored.version, "value": stored.value}


def _if_version(request: falcon.Request) -> int:
    return request.get_param_as_int("if_version", required=True, min_value=0)


def _require(body: dict[str, Any], *names: str) -> None:
    missing = [name for name in names if name not in body]
    if missing:
        raise falcon.HTTPBadRequest(title=f"missing: {', '.join(missing)}")


def _answer_conflict(response: falcon.Response, conflict: Conflict) -> None:
    response.status = falcon.HTTP_409
    response.media = {"version": conflict.version}


def _answer_fenced(response: falcon.Response) -> None:
    response.status = falcon.HTTP_409
    response.media = {"fenced": True}

"""HTTP routes of the platform stand-in."""

from __future__ import annotations

import math
import time
from typing import Any

import attrs
import falcon
import gevent

from hickoryloom.standins.base import drop_connection, read_json, set_switches
from hickoryloom.standins.capacity import WEIGHT_BYTES, FencedError, NoCapacityError, Row
from hickoryloom.standins.objects import ConflictError, StoredObject
from hickoryloom.standins.platform_state import OUTAGE_ERROR, PlatformState

__all__ = ["build_app"]

MAX_VALUE_BYTES = 1_000_000
MAX_WATCH_S = 60.0


def build_app(platform: PlatformState) -> falcon.App:
    """Build the falcon application that serves the API of the platform."""
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


class _Objects:
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response, key: str = "") -> None:
        age_s = self._platform.switches.stale_reads
        if not key:
            revision, items = self._platform.store.list_prefix(
                request.get_param("prefix") or "", age_s
            )
            response.media = {"revision": revision, "items": [_to_json(item) for item in items]}
            return
        found = self._platform.store.get(key, age_s)
        if found is None:
            raise falcon.HTTPNotFound(title="no such object")
        response.media = _to_json(found)

    def on_post(self, request: falcon.Request, response: falcon.Response, key: str) -> None:
        if (request.content_length or 0) > MAX_VALUE_BYTES:
            raise falcon.HTTPContentTooLarge(title="values are limited to a megabyte")
        body = read_json(request)
        if body.get("value") is None:
            raise falcon.HTTPBadRequest(title="value is missing")
        try:
            stored = self._platform.store.put(key, body["value"], _if_version(request))
        except ConflictError as conflict:
            _answer_conflict(response, conflict)
            return
        self._platform.notify_watches()
        response.media = {"key": key, "version": stored.version}


class _Deletion:
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response, key: str) -> None:
        try:
            self._platform.store.delete(key, _if_version(request))
        except KeyError:
            raise falcon.HTTPNotFound(title="no such object")
        except ConflictError as conflict:
            _answer_conflict(response, conflict)
            return
        self._platform.notify_watches()
        response.media = {}


class _Watch:
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        prefix = request.get_param("prefix") or ""
        since = request.get_param_as_int("since", required=True)
        timeout_s = request.get_param_as_float("timeout", default=MAX_WATCH_S)
        deadline = time.monotonic() + min(timeout_s, MAX_WATCH_S)
        store = self._platform.store
        changes = store.changes(prefix, since)
        while changes == [] and (remaining_s := deadline - time.monotonic()) > 0:
            self._platform.wait_for_change(remaining_s)
            if self._platform.switches.outage:
                drop_connection(request)
                return
            changes = store.changes(prefix, since)
        response.media = {
            "revision": store.revision,
            "reset": changes is None,
            "changes": [_to_json(change) for change in changes or []],
        }


class _Live:
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        rows = self._platform.capacity.rows(self._platform.switches.live_lag_s)
        response.media = {"backends": [attrs.asdict(row) for row in rows]}


class _Orders:
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        order = read_json(request)
        _require_fields(order, "order_id", "pool", "failure_domain", "cheap", "fencing", "sender")
        try:
            backend_id = self._order(order)
        except FencedError:
            self._platform.record("order", order, "fenced")
            _answer_fenced(response)
        except NoCapacityError:
            self._platform.record("order", order, "no-capacity")
            response.status = falcon.HTTP_503
            response.media = {"no_capacity": True}
        else:
            self._platform.record("order", {**order, "backend_id": backend_id}, "taken")
            response.media = {"backend_id": backend_id}

    def _order(self, order: dict[str, Any]) -> str:
        switches = self._platform.switches
        if order["cheap"] and switches.no_cheap:
            raise NoCapacityError
        if order["failure_domain"] in switches.no_capacity:
            raise NoCapacityError
        backend_id = self._platform.capacity.order(order, switches.fencing)
        if switches.start_s:
            self._platform.capacity.set_state(backend_id, "starting")
            gevent.spawn_later(
                switches.start_s, self._platform.capacity.set_state, backend_id, "live"
            )
        return backend_id


class _Releases:
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        release = read_json(request)
        _require_fields(release, "order_id", "backend_id", "fencing", "sender")
        try:
            self._platform.capacity.release(release, self._platform.switches.fencing)
        except FencedError:
            self._platform.record("release", release, "fenced")
            _answer_fenced(response)
        else:
            self._platform.record("release", release, "taken")
            response.media = {}


class _Usage:
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        report = read_json(request)
        _require_fields(report, "window", "figures", "digest", "fencing", "sender")
        try:
            accepted = self._platform.usage.report(report, self._platform.switches.fencing)
        except FencedError:
            self._platform.record("usage", report, "fenced")
            _answer_fenced(response)
            return
        self._platform.record("usage", report, "taken" if accepted else "other-figures")
        response.status = falcon.HTTP_200 if accepted else falcon.HTTP_409
        response.media = {} if accepted else {"other_figures": True}


class _Weights:
    def __init__(self, platform: PlatformState) -> None:
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
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        body = read_json(request)
        failure_domain = body.pop("reclaim", None)
        notice_s = body.pop("reclaim_notice_s", 0.0)
        if body.get("outage") is True:
            body["outage"] = OUTAGE_ERROR
        if body.get("outage") is False:
            body["outage"] = ""
        self._platform.switches = set_switches(self._platform.switches, body)
        reclaimed = self._platform.reclaim(failure_domain, notice_s) if failure_domain else 0
        self._platform.notify_watches()
        response.media = {**attrs.asdict(self._platform.switches), "reclaimed": reclaimed}


class _Backends:
    def __init__(self, platform: PlatformState) -> None:
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
    def __init__(self, platform: PlatformState) -> None:
        self._platform = platform

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = {
            "entries": self._platform.journal,
            "calls": dict(self._platform.calls),
            "bytes": self._platform.bytes,
            "calls_by_second": sorted(self._platform.calls_by_second.items()),
        }


def _to_json(stored: StoredObject) -> dict[str, Any]:
    return {"key": stored.key, "version": stored.version, "value": stored.value}


def _if_version(request: falcon.Request) -> int:
    return request.get_param_as_int("if_version", required=True, min_value=0)


def _require_fields(body: dict[str, Any], *names: str) -> None:
    missing = [name for name in names if name not in body]
    if missing:
        raise falcon.HTTPBadRequest(title=f"missing: {', '.join(missing)}")


def _answer_conflict(response: falcon.Response, conflict: ConflictError) -> None:
    response.status = falcon.HTTP_409
    response.media = {"version": conflict.version}


def _answer_fenced(response: falcon.Response) -> None:
    response.status = falcon.HTTP_409
    response.media = {"fenced": True}

"""Stand-in for a model engine: completions, streaming, resume, cancel and prefix cache."""

from __future__ import annotations

import os
import time
from typing import Any

import attrs
import falcon
import gevent

from hickoryloom.standins.base import StandIn, drop_connection, read_json, set_switches
from hickoryloom.standins.completion import Completion
from hickoryloom.standins.engine_state import EngineState, EngineSwitches

__all__ = ["EngineStandIn", "EngineSwitches", "build_engine"]

CRASH_EXIT_CODE = 70


class EngineStandIn(EngineState, StandIn):
    """Stand-in for one model engine.

    Args:
        listen: `host:port`; port 0 selects a free port.
        **state: Arguments of `EngineState`.
    """

    def __init__(self, listen: str, **state: Any) -> None:
        EngineState.__init__(self, **state)
        StandIn.__init__(self, _build_app(self), listen)


def build_engine(
    listen: str = "127.0.0.1:0",
    model: str = "assistant",
    slots: int = 8,
    cached_prefixes: int = 64,
    credential: str = "",
    **switches: Any,
) -> EngineStandIn:
    """Build an engine stand-in without starting it.

    Args:
        listen: `host:port`; port 0 selects a free port.
        model: Name of the model that is loaded at the start.
        slots: Number of requests that run concurrently.
        cached_prefixes: Maximum number of cached prompt prefixes.
        credential: Bearer token that requests must carry; empty to accept all requests.
        **switches: Initial values of `EngineSwitches`.
    """
    return EngineStandIn(
        listen,
        model=model,
        slots=slots,
        cached_prefixes=cached_prefixes,
        credential=credential,
        switches=EngineSwitches(**switches),
    )


class _Completions:
    def __init__(self, engine: EngineState, chat: bool) -> None:
        self._engine = engine
        self._chat = chat

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        engine = self._engine
        body = read_json(request)
        _record_request(engine, request, body)
        _check_credential(engine, request)
        if engine.consume_switch("not_run_next"):
            _reject_not_run(response, "told to")
            return
        if body.get("model") not in engine.models:
            _reject_not_run(response, "model is not loaded")
            return
        completion = Completion(engine, request, body, self._chat)
        if engine.consume_switch("late_next"):
            gevent.sleep(engine.switches.late_s)
        if body.get("stream"):
            response.content_type = "text/event-stream"
            response.stream = completion.stream()
            return
        finished_body = completion.complete()
        if engine.consume_switch("error_next"):
            response.status = falcon.HTTP_500
            response.media = {"error": {"message": "told to"}}
        elif engine.consume_switch("cut_next"):
            drop_connection(request)
        else:
            response.media = finished_body


class _Cancel:
    def __init__(self, engine: EngineState) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        found = self._engine.requests.get(str(read_json(request).get("request_id")))
        if found is not None:
            found.cancel()
            self._engine.counters["cancel_calls"] += 1
        response.media = {"known": found is not None}


class _Requests:
    def __init__(self, engine: EngineState) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response, request_id: str) -> None:
        found = self._engine.requests.get(request_id)
        response.media = {
            "state": found.state if found else "unknown",
            "position": found.position if found else 0,
        }


class _Load:
    def __init__(self, engine: EngineState) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = self._engine.load.report(self._engine.switches.load_lag_s)


class _CacheEvents:
    def __init__(self, engine: EngineState) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        since = request.get_param_as_int("since", default=0)
        response.media = self._engine.cache.events(since, self._engine.switches.event_gap)


class _LoadOrders:
    def __init__(self, engine: EngineState) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        engine, order = self._engine, read_json(request)
        fenced = engine.switches.fencing and order["fencing"] < engine.highest_fencing
        engine.orders.append({**order, "time": time.monotonic(), "fenced": fenced})
        if fenced:
            response.status = falcon.HTTP_409
            response.media = {"fenced": True}
            return
        engine.highest_fencing = max(engine.highest_fencing, order["fencing"])
        if order["model"] not in engine.models:
            engine.models.append(order["model"])
        response.media = {}


class _KvCache:
    def __init__(self, engine: EngineState) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        prefix = str(read_json(request).get("prefix_hash"))
        if request.path.endswith("import"):
            self._engine.cache.use(prefix)
        response.media = {"prefix_hash": prefix}


class _FaultsAndJournal:
    def __init__(self, engine: EngineState) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        engine = self._engine
        response.media = {
            "counters": dict(engine.counters),
            "running": engine.batch.running,
            "waiting": engine.batch.waiting,
            "seen": list(engine.received_requests),
            "orders": engine.orders,
        }

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        self._engine.switches = set_switches(self._engine.switches, read_json(request))
        if self._engine.switches.crash:
            os._exit(CRASH_EXIT_CODE)
        response.media = attrs.asdict(self._engine.switches)


def _build_app(engine: EngineState) -> falcon.App:
    app = falcon.App()
    app.add_route("/v1/chat/completions", _Completions(engine, chat=True))
    app.add_route("/v1/completions", _Completions(engine, chat=False))
    app.add_route("/v1/cancel", _Cancel(engine))
    app.add_route("/requests/{request_id}", _Requests(engine))
    app.add_route("/load", _Load(engine))
    app.add_route("/cache-events", _CacheEvents(engine))
    app.add_route("/orders/load", _LoadOrders(engine))
    app.add_route("/kv/export", _KvCache(engine))
    app.add_route("/kv/import", _KvCache(engine))
    app.add_route("/standin/faults", _FaultsAndJournal(engine))
    app.add_route("/standin/journal", _FaultsAndJournal(engine))
    return app


def _check_credential(engine: EngineState, request: falcon.Request) -> None:
    if engine.credential and request.auth != f"Bearer {engine.credential}":
        raise falcon.HTTPUnauthorized(title="wrong backend credential")


def _record_request(engine: EngineState, request: falcon.Request, body: dict[str, Any]) -> None:
    engine.received_requests.append(
        {
            "path": request.path,
            "query": request.query_string,
            "headers": dict(request.headers),
            "body": body,
        }
    )


def _reject_not_run(response: falcon.Response, reason: str) -> None:
    response.status = falcon.HTTP_503
    response.set_header("X-Not-Run", "true")
    response.media = {"error": {"message": f"not run: {reason}"}}

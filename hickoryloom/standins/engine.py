"""The engine stand-in: streamed completions with batch slots, prefix cache, resume and cancel."""

from __future__ import annotations

import json
import os
import time
import uuid
from collections import Counter, OrderedDict, deque
from collections.abc import Iterator
from typing import Any

import attrs
import falcon
import gevent

from hickoryloom.standins import text
from hickoryloom.standins.base import StandIn, cut_connection, read_json, set_switches
from hickoryloom.standins.batch import Batch, EngineRequest, LoadHistory, PrefixCache

__all__ = ["EngineStandIn", "EngineSwitches", "build_engine"]

CRASH_EXIT_CODE = 70
DEFAULT_PRIORITY = 4
KEPT_REQUESTS = 5000
KEPT_SEEN = 1000
SILENCE_S = 3600.0


@attrs.frozen
class EngineSwitches:
    """Pace and faults of an engine. Each `..._next` counts requests that it still applies to.

    Attributes:
        token_ms: Milliseconds between two tokens.
        prefill_us: Microseconds for each prompt token that is not cached.
        slow: Factor on all times.
        load_lag_s: Seconds by which load reports lag.
        event_gap: Each so-manieth cache event is dropped, 0 for none.
        leaving: Whether it says that it will leave.
        fencing: Whether orders with an old fencing number are refused.
        not_run_next: Answered 503 with the not-run header.
        error_next: Answered 500 after the run.
        late_next: Answered only after `late_s`.
        late_s: Seconds of a late answer.
        cross_next: Answered with id and text of the request before.
        cut_next: Cut at event `at_position`.
        silent_next: Silent for good from event `at_position`.
        duplicate_next: Every event sent twice.
        at_position: Position of cuts and silences.
        crash: Whether the process ends at once.
    """

    token_ms: float = 20.0
    prefill_us: float = 100.0
    slow: float = 1.0
    load_lag_s: float = 0.5
    event_gap: int = 0
    leaving: bool = False
    fencing: bool = True
    not_run_next: int = 0
    error_next: int = 0
    late_next: int = 0
    late_s: float = 2.0
    cross_next: int = 0
    cut_next: int = 0
    silent_next: int = 0
    duplicate_next: int = 0
    at_position: int = 3
    crash: bool = False


class EngineStandIn(StandIn):
    """One model engine.

    Args:
        listen: `host:port`; port 0 takes a free one.
        model: Name of the model that it serves at first.
        slots: Requests that run side by side.
        cached_prefixes: Most prompt prefixes held.
        credential: Token that callers must show; empty for none.
        switches: Pace and faults at first.
    """

    def __init__(
        self,
        listen: str,
        model: str,
        slots: int,
        cached_prefixes: int,
        credential: str,
        switches: EngineSwitches,
    ) -> None:
        self.switches = switches
        self.models = [model]
        self.batch = Batch(slots)
        self.cache = PrefixCache(cached_prefixes)
        self.credential = credential
        self.requests: OrderedDict[str, EngineRequest] = OrderedDict()
        self.counters: Counter[str] = Counter()
        self.seen: deque[dict[str, Any]] = deque(maxlen=KEPT_SEEN)
        self.orders: list[dict[str, Any]] = []
        self.highest_fencing = 0
        self.previous: tuple[str, list[str]] = ("none", ["none "])
        self.load = LoadHistory(time.monotonic, self._measure)
        super().__init__(_build_app(self), listen)

    def take(self, name: str) -> bool:
        """Count a `..._next` switch down; return whether it applies to this request."""
        left = getattr(self.switches, name)
        if left > 0:
            self.switches = attrs.evolve(self.switches, **{name: left - 1})
        return left > 0

    def begin(self, request_id: str, priority: int, position: int) -> EngineRequest:
        """Enter a request."""
        request = EngineRequest(request_id, priority, position=position)
        self.requests[request_id] = request
        if len(self.requests) > KEPT_REQUESTS:
            self.requests.popitem(last=False)
        self.counters["started"] += 1
        return request

    def pause(self, request: EngineRequest, seconds: float) -> None:
        """Wait at the engine's pace, until a cancel at the latest."""
        request.cancelled.wait(seconds * self.switches.slow)

    def _measure(self) -> dict[str, Any]:
        return {
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "kv_free": 1.0 - self.batch.running / self.batch.slots,
            "leaving": self.switches.leaving,
            "models": list(self.models),
        }


def build_engine(
    listen: str = "127.0.0.1:0",
    model: str = "assistant",
    slots: int = 8,
    cached_prefixes: int = 64,
    credential: str = "",
    **switches: Any,
) -> EngineStandIn:
    """Build an engine stand-in that is not started yet.

    Args:
        listen: `host:port`; port 0 takes a free one.
        model: Name of the model that it serves at first.
        slots: Requests that run side by side.
        cached_prefixes: Most prompt prefixes held.
        credential: Token that callers must show; empty for none.
        **switches: Fields of `EngineSwitches`.
    """
    return EngineStandIn(
        listen, model, slots, cached_prefixes, credential, EngineSwitches(**switches)
    )


class _Completions:
    def __init__(self, engine: EngineStandIn, chat: bool) -> None:
        self._engine = engine
        self._chat = chat

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        engine = self._engine
        body = read_json(request)
        _note_seen(engine, request, body)
        _check_credential(engine, request)
        if engine.take("not_run_next"):
            _refuse_not_run(response, "told to")
            return
        if body.get("model") not in engine.models:
            _refuse_not_run(response, "model is not loaded")
            return
        answer = _Answer(engine, request, body, self._chat)
        if engine.take("late_next"):
            gevent.sleep(engine.switches.late_s)
        if body.get("stream"):
            response.content_type = "text/event-stream"
            response.stream = answer.stream()
            return
        whole = answer.whole()
        if engine.take("error_next"):
            response.status = falcon.HTTP_500
            response.media = {"error": {"message": "told to"}}
        elif engine.take("cut_next"):
            cut_connection(request)
        else:
            response.media = whole


class _Answer:
    """Produces the answer to one request, token by token."""

    def __init__(
        self, engine: EngineStandIn, request: falcon.Request, body: dict[str, Any], chat: bool
    ) -> None:
        self._engine = engine
        self._body = body
        self._chat = chat
        self._prefix = request.get_header("X-Prefix-Hash") or text.prefix_hash(body)
        self._id = request.get_header("X-Request-Id") or uuid.uuid4().hex
        self._tokens = text.answer_tokens(body)
        self._start = _resume_position(body, self._tokens)
        priority = request.get_header_as_int("X-Priority") or DEFAULT_PRIORITY
        self._entry = engine.begin(self._id, priority, self._start)
        if engine.take("cross_next"):
            self._id, self._tokens = engine.previous
        engine.previous = (self._id, self._tokens)

    def whole(self) -> dict[str, Any]:
        """Return the answer in one piece."""
        pieces = [token for _, token in self._produce()]
        choice = {"index": 0, "finish_reason": "stop", **self._content("".join(pieces), "message")}
        return {
            "id": self._id,
            "object": "chat.completion" if self._chat else "text_completion",
            "model": self._body["model"],
            "choices": [choice],
            "usage": self._usage(),
        }

    def stream(self) -> Iterator[bytes]:
        """Yield the answer as server-sent events, with the faults that are switched on."""
        engine = self._engine
        cut, silent = engine.take("cut_next"), engine.take("silent_next")
        copies = 2 if engine.take("duplicate_next") else 1
        for position, token in self._produce():
            if position >= engine.switches.at_position:
                if cut:
                    raise ConnectionResetError("cut by a fault switch")
                if silent:
                    self._entry.cancelled.wait(SILENCE_S)
            choice = {"index": 0, "finish_reason": None, **self._content(token, "delta")}
            yield self._event(position, choice) * copies
        if self._entry.state == "cancelled":
            return
        last = {"index": 0, "finish_reason": "stop", **self._content("", "delta")}
        yield self._event(len(self._tokens), last, usage=self._usage()) * copies
        yield b"data: [DONE]\n\n"

    def _produce(self) -> Iterator[tuple[int, str]]:
        engine, entry = self._engine, self._entry
        ended = False
        if not engine.batch.acquire(entry):
            entry.state = "cancelled"
            return
        try:
            self._prefill()
            for position in range(self._start, len(self._tokens)):
                if position > self._start:
                    engine.pause(entry, engine.switches.token_ms / 1000)
                if entry.cancelled.is_set():
                    return
                entry.position = position + 1
                engine.counters["tokens"] += 1
                yield position, self._tokens[position]
            ended = True
        finally:
            engine.batch.release()
            entry.state = "done" if ended else "cancelled"
            engine.counters[entry.state] += 1

    def _prefill(self) -> None:
        engine = self._engine
        tokens = text.prompt_tokens(self._body)
        if engine.cache.use(self._prefix):
            engine.counters["cache_hits"] += 1
            tokens = max(0, tokens - text.PREFIX_CHARACTERS // text.CHARACTERS_PER_TOKEN)
        engine.pause(self._entry, tokens * engine.switches.prefill_us / 1_000_000)

    def _content(self, content: str, field: str) -> dict[str, Any]:
        if not self._chat:
            return {"text": content}
        return {field: {"role": "assistant", "content": content}}

    def _usage(self) -> dict[str, int]:
        return {
            "prompt_tokens": text.prompt_tokens(self._body),
            "completion_tokens": len(self._tokens),
        }

    def _event(self, position: int, choice: dict[str, Any], **more: Any) -> bytes:
        kind = "chat.completion.chunk" if self._chat else "text_completion"
        event = {"id": self._id, "position": position, "object": kind, "choices": [choice], **more}
        return f"data: {json.dumps(event)}\n\n".encode()


class _Cancel:
    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        found = self._engine.requests.get(str(read_json(request).get("request_id")))
        if found is not None:
            found.cancel()
            self._engine.counters["cancel_calls"] += 1
        response.media = {"known": found is not None}


class _Requests:
    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response, request_id: str) -> None:
        found = self._engine.requests.get(request_id)
        response.media = {
            "state": found.state if found else "unknown",
            "position": found.position if found else 0,
        }


class _Load:
    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        response.media = self._engine.load.report(self._engine.switches.load_lag_s)


class _CacheEvents:
    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        since = request.get_param_as_int("since", default=0)
        response.media = self._engine.cache.events(since, self._engine.switches.event_gap)


class _LoadOrders:
    def __init__(self, engine: EngineStandIn) -> None:
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
    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        prefix = str(read_json(request).get("prefix_hash"))
        if request.path.endswith("import"):
            self._engine.cache.use(prefix)
        response.media = {"prefix_hash": prefix}


class _Standin:
    def __init__(self, engine: EngineStandIn) -> None:
        self._engine = engine

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        engine = self._engine
        response.media = {
            "counters": dict(engine.counters),
            "running": engine.batch.running,
            "waiting": engine.batch.waiting,
            "seen": list(engine.seen),
            "orders": engine.orders,
        }

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        self._engine.switches = set_switches(self._engine.switches, read_json(request))
        if self._engine.switches.crash:
            os._exit(CRASH_EXIT_CODE)
        response.media = attrs.asdict(self._engine.switches)


def _build_app(engine: EngineStandIn) -> falcon.App:
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
    app.add_route("/standin/faults", _Standin(engine))
    app.add_route("/standin/journal", _Standin(engine))
    return app


def _check_credential(engine: EngineStandIn, request: falcon.Request) -> None:
    if engine.credential and request.auth != f"Bearer {engine.credential}":
        raise falcon.HTTPUnauthorized(title="wrong backend credential")


def _note_seen(engine: EngineStandIn, request: falcon.Request, body: dict[str, Any]) -> None:
    engine.seen.append(
        {
            "path": request.path,
            "query": request.query_string,
            "headers": dict(request.headers),
            "body": body,
        }
    )


def _refuse_not_run(response: falcon.Response, why: str) -> None:
    response.status = falcon.HTTP_503
    response.set_header("X-Not-Run", "true")
    response.media = {"error": {"message": f"not run: {why}"}}


def _resume_position(body: dict[str, Any], tokens: list[str]) -> int:
    resume = body.get("resume")
    if not resume:
        return 0
    position = int(resume["position"])
    if resume["text"] != "".join(tokens[:position]):
        raise falcon.HTTPBadRequest(title="the text to resume from is not of this request")
    return position

"""The callers' HTTP interface as a falcon application."""

from __future__ import annotations

import json
import uuid
from typing import Any

import falcon
import logbook
from result import Err

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.entry.errors import answer_for_caller_error, answer_for_refusal
from hickoryloom.entry.identify import identify, is_open, parse_request
from hickoryloom.entry.messages import CallerError, Reply
from hickoryloom.entry.request_handler import Exchange, Slices, reply_with_error
from hickoryloom.entry.requests import allowed_models
from hickoryloom.entry.wsgi import read_call
from hickoryloom.http import Call, CallerWatch
from hickoryloom.keys import Identity, anonymous, scrub
from hickoryloom.verdict import Verdict

__all__ = ["build_caller_app"]

log = logbook.Logger("hickoryloom.entry")

MODELS_PATH = "/v1/models"
STALE_VIEW_RETRY_S = 5.0
FAULT_RETRY_S = 1.0


class _Callers:
    """Serves every path that callers may ask for."""

    def __init__(self, slices: Slices) -> None:
        self._slices = slices

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        """Serve one call."""
        request_id = uuid.uuid4().hex
        _send(self._serve(req.env, request_id), resp)

    def _serve(self, environ: dict[str, Any], request_id: str) -> Reply:
        read = read_call(environ)
        if isinstance(read, Err):
            return _reply_with_fault(read.err_value, request_id)
        call = read.ok_value
        snapshot = self._slices.follower.snapshot
        now = self._slices.clock.monotonic()
        vouched = self._slices.view_guard.allows_keyed(now)
        if not vouched and not is_open(call, snapshot):
            refused = Refused(RefusalReason.STALE_VIEW, Verdict.NOT_RUN, STALE_VIEW_RETRY_S)
            return reply_with_error(answer_for_refusal(refused, request_id))
        identified = identify(call, snapshot)
        if isinstance(identified, Err):
            return _reply_with_fault(identified.err_value, request_id)
        identity = identified.ok_value if vouched else anonymous()
        return self._serve_identified(call, identity, environ, request_id)

    def _serve_identified(
        self, call: Call, identity: Identity, environ: dict[str, Any], request_id: str
    ) -> Reply:
        slices = self._slices
        now = slices.clock.monotonic()
        if call.path == MODELS_PATH and call.method == "GET":
            return self._list_models(identity)
        parsed = parse_request(call, identity, slices.follower.snapshot, request_id, now)
        if isinstance(parsed, Err):
            return _reply_with_fault(parsed.err_value, request_id)
        clean = scrub(call, identity)
        exchange = Exchange(slices, parsed.ok_value, clean, identity.key_hash)
        watch = CallerWatch(environ, exchange.leave)
        exchange.on_end(watch.stop)
        return exchange.run()

    def _list_models(self, identity: Identity) -> Reply:
        names = allowed_models(identity, self._slices.follower.snapshot)
        models = [{"id": name, "object": "model", "owned_by": "hickoryloom"} for name in names]
        body = json.dumps({"object": "list", "data": models}).encode()
        return Reply(200, [("Content-Type", "application/json")], [body])


def _answer_fault(req: falcon.Request, resp: falcon.Response, error: Exception, _: Any) -> None:
    """Answer for a fault of this program; how far the request came is not known here."""
    log.exception("event=fault path={}", req.path)
    refused = Refused(RefusalReason.INTERNAL, Verdict.MAY_HAVE_RUN, FAULT_RETRY_S)
    _send(reply_with_error(answer_for_refusal(refused, uuid.uuid4().hex)), resp)


def _send(reply: Reply, resp: falcon.Response) -> None:
    resp.status = reply.status
    for name, value in reply.headers:
        resp.append_header(name, value)
    if isinstance(reply.body, list):
        resp.data = b"".join(reply.body)
    else:
        resp.stream = reply.body


def _reply_with_fault(error: CallerError, request_id: str) -> Reply:
    return reply_with_error(answer_for_caller_error(error, request_id))


def build_caller_app(slices: Slices) -> falcon.App:
    """Build the application that serves callers."""
    app = falcon.App()
    app.add_sink(_Callers(slices), "/")
    app.add_error_handler(Exception, _answer_fault)
    return app

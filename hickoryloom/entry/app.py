"""The callers' HTTP API as a falcon application."""

from __future__ import annotations

import json
import uuid
from typing import Any

import attrs
import falcon
import logbook
from result import Err

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.entry.errors import response_for_client_error, response_for_refusal
from hickoryloom.entry.identify import identify, is_public_route, parse_request
from hickoryloom.entry.messages import ClientError, Reply
from hickoryloom.entry.request_handler import EntryComponents, RequestHandler, reply_with_error
from hickoryloom.entry.requests import allowed_models
from hickoryloom.entry.wsgi import read_call
from hickoryloom.http import Call, DisconnectWatch
from hickoryloom.keys import Identity, anonymous, scrub
from hickoryloom.verdict import Verdict

__all__ = ["build_caller_app"]

log = logbook.Logger("hickoryloom.entry")

MODELS_PATH = "/v1/models"
STALE_VIEW_RETRY_S = 5.0
INTERNAL_ERROR_RETRY_S = 1.0


class _CallerSink:
    """Falcon sink that serves all paths of callers."""

    def __init__(self, components: EntryComponents) -> None:
        self._components = components

    def __call__(self, req: falcon.Request, resp: falcon.Response, **_: Any) -> None:
        """Handle one HTTP call."""
        request_id = uuid.uuid4().hex
        _send(self._serve(req.env, request_id), resp)

    def _serve(self, environ: dict[str, Any], request_id: str) -> Reply:
        read = read_call(environ)
        if isinstance(read, Err):
            # The rest of the body must not be read as the next request.
            reply = _reply_with_client_error(read.err_value, request_id)
            return attrs.evolve(reply, headers=[*reply.headers, ("Connection", "close")])
        call = read.ok_value
        snapshot = self._components.follower.snapshot
        now = self._components.clock.monotonic()
        keyed_calls_allowed = self._components.view_guard.allows_keyed_calls(now)
        if not keyed_calls_allowed and not is_public_route(call, snapshot):
            refused = Refused(RefusalReason.STALE_VIEW, Verdict.NOT_RUN, STALE_VIEW_RETRY_S)
            return reply_with_error(response_for_refusal(refused, request_id))
        identified = identify(call, snapshot)
        if isinstance(identified, Err):
            return _reply_with_client_error(identified.err_value, request_id)
        identity = identified.ok_value if keyed_calls_allowed else anonymous()
        return self._serve_identified(call, identity, environ, request_id)

    def _serve_identified(
        self, call: Call, identity: Identity, environ: dict[str, Any], request_id: str
    ) -> Reply:
        components = self._components
        now = components.clock.monotonic()
        if call.path == MODELS_PATH and call.method == "GET":
            return self._list_models(identity)
        parsed = parse_request(call, identity, components.follower.snapshot, request_id, now)
        if isinstance(parsed, Err):
            return _reply_with_client_error(parsed.err_value, request_id)
        scrubbed = scrub(call, identity)
        handler = RequestHandler(components, parsed.ok_value, scrubbed, identity.key_hash)
        watch = DisconnectWatch(environ, handler.cancel_for_disconnect)
        handler.on_end(watch.stop)
        return handler.run()

    def _list_models(self, identity: Identity) -> Reply:
        names = allowed_models(identity, self._components.follower.snapshot)
        models = [{"id": name, "object": "model", "owned_by": "hickoryloom"} for name in names]
        body = json.dumps({"object": "list", "data": models}).encode()
        return Reply(200, [("Content-Type", "application/json")], [body])


def _handle_unexpected_error(
    req: falcon.Request, resp: falcon.Response, error: Exception, _: Any
) -> None:
    """Respond to an unhandled exception; whether the request ran is not known here."""
    log.exception("event=fault path={}", req.path)
    refused = Refused(RefusalReason.INTERNAL, Verdict.MAY_HAVE_RUN, INTERNAL_ERROR_RETRY_S)
    _send(reply_with_error(response_for_refusal(refused, uuid.uuid4().hex)), resp)


def _send(reply: Reply, resp: falcon.Response) -> None:
    resp.status = reply.status
    for name, value in reply.headers:
        resp.append_header(name, value)
    if isinstance(reply.body, list):
        resp.data = b"".join(reply.body)
    else:
        resp.stream = reply.body


def _reply_with_client_error(error: ClientError, request_id: str) -> Reply:
    return reply_with_error(response_for_client_error(error, request_id))


def build_caller_app(components: EntryComponents) -> falcon.App:
    """Build the application that serves callers."""
    app = falcon.App()
    app.add_sink(_CallerSink(components), "/")
    app.add_error_handler(Exception, _handle_unexpected_error)
    return app

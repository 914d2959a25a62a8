"""The callers' HTTP API as a falcon application."""

from __future__ import annotations

import json
import uuid
from functools import partial
from typing import Any

import attrs
import falcon
import logbook
from result import Err

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.entry.errors import (
    reply_with_error,
    response_for_client_error,
    response_for_refusal,
)
from hickoryloom.entry.hand_over import HandOverCall
from hickoryloom.entry.identify import identify, is_public_route, parse_request
from hickoryloom.entry.messages import ClientError, Reply
from hickoryloom.entry.request_handler import EntryComponents, RequestHandler
from hickoryloom.entry.requests import allowed_models
from hickoryloom.entry.wsgi import read_call
from hickoryloom.handover import (
    RESULT_HEADER,
    HandOver,
    HandOverResult,
    encode_result,
    read_claim,
    without_hand_over_headers,
)
from hickoryloom.handover import read_call as read_received_call
from hickoryloom.http import Call, DisconnectWatch
from hickoryloom.keys import Identity, anonymous, scrub
from hickoryloom.logs import log_event
from hickoryloom.verdict import Verdict

__all__ = ["PEER_PORT_KEY", "build_caller_app"]

log = logbook.Logger("hickoryloom.entry")

PEER_PORT_KEY = "hickoryloom.peer-port"
"""Key of the WSGI environment that marks a call which claims to come from another entry."""

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
        now = self._components.clock.monotonic()
        read = read_call(req.env)
        if isinstance(read, Err):
            # The rest of the body must not be read as the next request.
            reply = _reply_with_client_error(read.err_value, request_id)
            closing = attrs.evolve(reply, headers=[*reply.headers, ("Connection", "close")])
            claim = read_claim(req.env) if req.env.get(PEER_PORT_KEY) else None
            _send(_with_result(closing, claim), resp)
            return
        call = read.ok_value
        if req.env.get(PEER_PORT_KEY):
            _send(self._serve_handed_over(call, req.env, request_id), resp)
            return
        own = attrs.evolve(call, headers=without_hand_over_headers(call.headers))
        hand_over = partial(self._components.hand_overs.forward, req.env, call.body, now)
        _send(self._serve(own, req.env, request_id, now, hand_over), resp)

    def _serve_handed_over(self, call: Call, environ: dict[str, Any], request_id: str) -> Reply:
        """Handle a call that another entry hands over, as if its caller had come here."""
        now = self._components.clock.monotonic()
        received = read_received_call(environ, call.body)
        read = self._components.receiver.read(received)
        if isinstance(read, Err):
            log_event(log, "hand-over-not-signed", request_id=request_id, detail=read.err_value)
            error = ClientError(403, "hand-over-not-signed", "The call is not signed.")
            refused = _reply_with_client_error(error, request_id)
            return _with_result(refused, read_claim(environ))
        hand_over = read.ok_value
        own = attrs.evolve(call, headers=without_hand_over_headers(call.headers))
        arrived = now - hand_over.elapsed_s
        reply = self._serve(own, environ, hand_over.request, arrived, None)
        return _with_result(reply, hand_over)

    def _serve(
        self,
        call: Call,
        environ: dict[str, Any],
        request_id: str,
        arrived: float,
        hand_over: HandOverCall | None,
    ) -> Reply:
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
        return self._serve_identified(call, identity, environ, request_id, arrived, hand_over)

    def _serve_identified(
        self,
        call: Call,
        identity: Identity,
        environ: dict[str, Any],
        request_id: str,
        arrived: float,
        hand_over: HandOverCall | None,
    ) -> Reply:
        components = self._components
        if call.path == MODELS_PATH and call.method == "GET":
            return self._list_models(identity)
        parsed = parse_request(call, identity, components.follower.snapshot, request_id, arrived)
        if isinstance(parsed, Err):
            return _reply_with_client_error(parsed.err_value, request_id)
        scrubbed = scrub(call, identity)
        handler = RequestHandler(
            components, parsed.ok_value, scrubbed, identity.key_hash, hand_over
        )
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


def _with_result(reply: Reply, hand_over: HandOver | None) -> Reply:
    """Return a reply that tells the sender of a call whether it has run."""
    if hand_over is None:
        return reply
    result = HandOverResult(hand_over.request, reply.refused, reply.verdict)
    return attrs.evolve(reply, headers=[*reply.headers, (RESULT_HEADER, encode_result(result))])


def _reply_with_client_error(error: ClientError, request_id: str) -> Reply:
    return reply_with_error(response_for_client_error(error, request_id))


def build_caller_app(components: EntryComponents) -> falcon.App:
    """Build the application that serves callers."""
    app = falcon.App()
    app.add_sink(_CallerSink(components), "/")
    app.add_error_handler(Exception, _handle_unexpected_error)
    return app

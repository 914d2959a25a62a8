"""The callers' interface: any method and path, passed on as it came.

A plain WSGI application: paths and bodies belong to the services behind, so there is nothing for
a web framework to route or decode.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any

import attrs
import logbook
from result import Err

from hickoryloom.catalog import Customer, Route, choose_service
from hickoryloom.gateway.attempts import GatewayParts
from hickoryloom.gateway.forwarding import Forwarding
from hickoryloom.gateway.intake import read_body
from hickoryloom.gateway.messages import CallerRequest, Refusal, Reply
from hickoryloom.gateway.ports import CallerCodec
from hickoryloom.gateway.refusals import refuse
from hickoryloom.http import RAW_HEADERS_KEY, RAW_TARGET_KEY, CallerWatch
from hickoryloom.logs import log_event
from hickoryloom.upstream import end_to_end_headers
from hickoryloom.verdict import Verdict

__all__ = ["CallerApp"]

log = logbook.Logger("hickoryloom.gateway")

SURE_VIEW_S = 1.5
"""An older view may lack a route or key that is in force, so nothing is denied by it."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class CallerApp:
    """Serves callers.

    Args:
        parts: What all requests share.
        callers: Decodes requests.
    """

    def __init__(self, parts: GatewayParts, callers: CallerCodec) -> None:
        self._parts = parts
        self._callers = callers
        self._admitting = True

    def stop_admitting(self) -> None:
        """Refuse what is read from now on, since too little time is left to answer it."""
        self._admitting = False

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        arrived = self._parts.clock.monotonic()
        limits = self._parts.catalog.catalog.limits
        body = read_body(environ, limits)
        if isinstance(body, Err):
            _log_unread(body.err_value, environ)
            return _send_refusal(body.err_value, start_response)
        decoded = self._callers.read_request(
            environ["REQUEST_METHOD"],
            environ[RAW_TARGET_KEY],
            environ[RAW_HEADERS_KEY],
            body.ok_value,
        )
        if isinstance(decoded, Err):
            refusal = refuse(400, decoded.err_value, Verdict.NOT_RUN)
            _log_unread(refusal, environ)
            return _send_refusal(refusal, start_response)
        found = decoded.ok_value
        request = attrs.evolve(found, headers=end_to_end_headers(found.headers))
        admitted = self._admit(request, arrived)
        if isinstance(admitted, Refusal):
            self._log_refusal(request, admitted, arrived)
            return _send_refusal(admitted, start_response)
        watch = CallerWatch(environ, admitted.leave)
        takes_chunks = environ["SERVER_PROTOCOL"] != "HTTP/1.0"
        return _Answer(admitted, watch, takes_chunks).begin(start_response)

    def _admit(self, request: CallerRequest, arrived: float) -> Forwarding | Refusal:
        """Find the request's route and customer, or say why it gets no further."""
        parts = self._parts
        follower = parts.catalog
        if not self._admitting:
            return self._refuse(503, "stopping", request)
        if not follower.catalog.version:
            return self._refuse(503, "no-configuration", request)
        sure = follower.view.age(arrived) <= SURE_VIEW_S
        route = follower.routes.find(request.host, request.path)
        if route is None:
            return self._refuse(404 if sure else 503, "unknown-route", request)
        customer = None
        if follower.catalog.keyed and not route.open_to_all:
            customer = follower.catalog.customers.get(request.key_hash)
            if customer is None:
                return self._refuse(401 if sure else 503, "unknown-key", request)
        return self._forwarding(request, route, customer, arrived)

    def _forwarding(
        self, request: CallerRequest, route: Route, customer: Customer | None, arrived: float
    ) -> Forwarding:
        service = choose_service(route, self._parts.rng.random)
        return Forwarding(self._parts, request, route, service, customer, arrived)

    def _refuse(self, status: int, reason: str, request: CallerRequest) -> Refusal:
        if status != 503:
            return refuse(status, reason, Verdict.NOT_RUN)
        left_s = request.wait_s or 0.0
        return refuse(0, reason, Verdict.NOT_RUN, left_s, self._parts.rng)

    def _log_refusal(self, request: CallerRequest, refusal: Refusal, arrived: float) -> None:
        follower = self._parts.catalog
        log_event(
            log,
            "request",
            request=request.id,
            host=request.host,
            path=request.path,
            version=follower.catalog.version,
            view_age_ms=round(min(follower.view.age(arrived), 1e6) * 1000),
            outcome="refused",
            status=refusal.status,
            verdict=refusal.verdict.value,
            detail=refusal.reason,
        )


class _Answer:
    """One answer as WSGI iterates over it; tells the request when its caller leaves.

    Args:
        forwarding: The request.
        watch: Tells when its caller leaves.
        takes_chunks: Whether the caller can tell a whole answer of unknown length from a cut one.
    """

    def __init__(self, forwarding: Forwarding, watch: CallerWatch, takes_chunks: bool) -> None:
        self._forwarding = forwarding
        self._watch = watch
        self._takes_chunks = takes_chunks
        self._reply: Reply | None = None

    def begin(self, start_response: StartResponse) -> Iterable[bytes]:
        """Run the request up to the head of its answer."""
        try:
            answer = self._forwarding.run()
            if isinstance(answer, Reply) and answer.length is None and not self._takes_chunks:
                answer = _gather(answer)
        except BaseException:
            self._watch.stop()
            raise
        if isinstance(answer, Refusal):
            self._watch.stop()
            return _send_refusal(answer, start_response)
        self._reply = answer
        headers = [*end_to_end_headers(answer.headers)]
        if answer.length is not None:
            headers.append(("Content-Length", str(answer.length)))
        start_response(_status_line(answer.status), headers)
        return self

    def __iter__(self) -> Iterator[bytes]:
        assert self._reply is not None
        return self._reply.body

    def close(self) -> None:
        """End the request, also when its caller has left."""
        self._watch.stop()
        self._forwarding.leave()
        close = getattr(self._reply.body if self._reply else None, "close", None)
        if close is not None:
            close()


def _log_unread(refusal: Refusal, environ: dict[str, Any]) -> None:
    """Write that a request was refused before its id was known."""
    log_event(
        log,
        "request-unreadable",
        host=environ.get("HTTP_HOST", ""),
        path=environ["PATH_INFO"],
        status=refusal.status,
        detail=refusal.reason,
    )


def _gather(reply: Reply) -> Reply | Refusal:
    """Read a stream to its end, so that it can be sent with its length."""
    try:
        blocks = list(reply.body)
    except ConnectionAbortedError:
        return refuse(0, "broken-off", Verdict.MAY_HAVE_RUN)
    return Reply(reply.status, reply.headers, iter(blocks), sum(map(len, blocks)))


def _send_refusal(refusal: Refusal, start_response: StartResponse) -> Iterable[bytes]:
    body = f'{{"error":{{"type":"{refusal.reason}","verdict":"{refusal.verdict.value}"}}}}'
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body.encode())))]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
    if refusal.close:
        headers.append(("Connection", "close"))
    start_response(_status_line(refusal.status), headers)
    return [body.encode()]


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"

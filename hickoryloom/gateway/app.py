"""WSGI application that forwards callers' requests of any method and path.

It uses no web framework: paths and bodies belong to the backend services, so there is nothing for a
framework to route or decode.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Iterator
from functools import partial
from http import HTTPStatus
from typing import Any

import attrs
import logbook
from result import Err

from hickoryloom.catalog import Customer, RequestKind, Route, choose_service
from hickoryloom.gateway.context import GatewayContext
from hickoryloom.gateway.forwarding import RequestForwarder
from hickoryloom.gateway.messages import CallerRequest, Refusal, Reply
from hickoryloom.gateway.peer_attempts import with_hand_over
from hickoryloom.gateway.ports import CallerCodec
from hickoryloom.gateway.progress import NO_MEMORY, STOPPING
from hickoryloom.gateway.read_ahead import ReadAhead
from hickoryloom.gateway.refusals import refuse
from hickoryloom.gateway.request_body import read_body, stop_reading
from hickoryloom.gateway.stream_pin import StreamPin
from hickoryloom.handover import (
    RESULT_HEADER,
    HandOver,
    HandOverReceiver,
    HandOverResult,
    ReceivedCall,
    encode_result,
    read_call,
    read_claim,
    without_hand_over_headers,
)
from hickoryloom.http import REQUEST_KEY, WRITES_KEY, CallerWrites, DisconnectWatch
from hickoryloom.logs import log_event
from hickoryloom.origins import origin_key
from hickoryloom.upstream import BufferBudget, BufferedBody, Holder, end_to_end_headers
from hickoryloom.verdict import Verdict

__all__ = ["ProxyApp"]

log = logbook.Logger("hickoryloom.gateway")

MAX_DENIAL_VIEW_AGE_S = 1.5
"""Maximum age of the catalog view for rejecting a request as unknown. An older view may lack a
route or key that is already in force, so the request is refused as retryable instead."""

StartResponse = Callable[[str, list[tuple[str, str]]], Any]


class ProxyApp:
    """Reverse proxy for callers' requests.

    Args:
        context: Dependencies shared by all requests.
        callers: Decodes callers' requests.
        receiver: Checks requests that other instances hand over.
    """

    def __init__(
        self, context: GatewayContext, callers: CallerCodec, receiver: HandOverReceiver
    ) -> None:
        self._context = context
        self._callers = callers
        self._receiver = receiver
        self._admitting = True
        self._open: set[_HeldRequest] = set()

    @property
    def open_requests(self) -> int:
        """The number of requests of callers and other instances that have not ended."""
        return len(self._open)

    def stop_admitting(self) -> None:
        """Refuse all further requests, because too little time is left to complete them."""
        self._admitting = False

    def end_requests(self) -> None:
        """End all requests whose response is not complete, because the process ends.

        Those whose response has not begun get a final answer; the others are cut off.
        """
        for held in list(self._open):
            held.end()

    def __call__(self, environ: dict[str, Any], start_response: StartResponse) -> Iterable[bytes]:
        """Handle one request of a caller."""
        arrived = self._context.clock.monotonic()
        with self._hold(environ) as held:
            call = self._read_call(environ, held)
            if isinstance(call, Refusal):
                return _send_refusal(call, start_response)
            return self._serve(environ, start_response, call, arrived, None, held)

    def serve_handed_over(
        self, environ: dict[str, Any], start_response: StartResponse
    ) -> Iterable[bytes]:
        """Handle one request that another instance hands over."""
        arrived = self._context.clock.monotonic()
        claim = read_claim(environ)
        with self._hold(environ) as held:
            call = self._read_call(environ, held)
            if isinstance(call, Refusal):
                return _send_refusal(call, start_response, claim)
            read = self._receiver.read(call)
            if isinstance(read, Err):
                refusal = refuse(403, "hand-over-not-signed", Verdict.NOT_RUN)
                _log_unreadable(refusal, environ)
                return _send_refusal(refusal, start_response, claim)
            hand_over = read.ok_value
            began = arrived - hand_over.elapsed_s
            return self._serve(environ, start_response, call, began, hand_over, held)

    def _hold(self, environ: dict[str, Any]) -> _HeldRequest:
        return _HeldRequest(self._context.buffers, environ.get(WRITES_KEY), self._open)

    def _read_call(self, environ: dict[str, Any], held: _HeldRequest) -> ReceivedCall | Refusal:
        held.on_end = partial(stop_reading, environ)
        body = read_body(
            environ,
            self._context.catalog.catalog.limits,
            held.holder,
            held.body,
            self._context.rng,
        )
        held.on_end = None
        if isinstance(body, Err):
            refusal = body.err_value
            if held.is_ended:
                refusal = attrs.evolve(refuse(0, STOPPING, Verdict.NOT_RUN), close=True)
            self._context.buffers.refused += refusal.reason == NO_MEMORY
            _log_unreadable(refusal, environ)
            return refusal
        return read_call(environ, body.ok_value)

    def _serve(
        self,
        environ: dict[str, Any],
        start_response: StartResponse,
        call: ReceivedCall,
        arrived: float,
        hand_over: HandOver | None,
        held: _HeldRequest,
    ) -> Iterable[bytes]:
        """Handle one request; `hand_over` tells what its sender says if it was handed over."""
        decoded = self._callers.read_request(
            call.method,
            call.target,
            without_hand_over_headers(call.headers),
            call.body,
        )
        if isinstance(decoded, Err):
            refusal = refuse(400, decoded.err_value, Verdict.NOT_RUN)
            _log_unreadable(refusal, environ)
            return _send_refusal(refusal, start_response, hand_over)
        received = decoded.ok_value
        environ[REQUEST_KEY] = received.id
        request = attrs.evolve(received, headers=end_to_end_headers(received.headers))
        if hand_over is not None:
            request = with_hand_over(request, hand_over)
        admitted = self._admit(request, arrived, call, hand_over, held.holder)
        if isinstance(admitted, Refusal):
            self._log_refusal(request, admitted, arrived)
            return _send_refusal(admitted, start_response, hand_over)
        watch = DisconnectWatch(environ, admitted.cancel)
        accepts_chunked = environ["SERVER_PROTOCOL"] != "HTTP/1.0"
        response = _WsgiResponse(admitted, watch, accepts_chunked, held, hand_over, request.id)
        return response.start(start_response)

    def _admit(
        self,
        request: CallerRequest,
        arrived: float,
        call: ReceivedCall,
        hand_over: HandOver | None,
        holder: Holder,
    ) -> RequestForwarder | Refusal:
        """Look up the request's route and customer; return a refusal if it is not admitted."""
        context = self._context
        follower = context.catalog
        if not self._admitting:
            return self._refuse(503, STOPPING, request)
        if not follower.catalog.version:
            return self._refuse(503, "no-configuration", request)
        view_is_recent = follower.view.age(arrived) <= MAX_DENIAL_VIEW_AGE_S
        route = follower.routes.find(request.host, request.path)
        if route is None:
            return self._refuse(404 if view_is_recent else 503, "unknown-route", request)
        customer = None
        if follower.catalog.requires_keys and not route.open_to_all:
            customer = follower.catalog.customers.get(request.key_hash)
            if customer is None:
                return self._refuse(401 if view_is_recent else 503, "unknown-key", request)
        return self._build_forwarder(request, route, customer, arrived, call, hand_over, holder)

    def _build_forwarder(
        self,
        request: CallerRequest,
        route: Route,
        customer: Customer | None,
        arrived: float,
        call: ReceivedCall,
        hand_over: HandOver | None,
        holder: Holder,
    ) -> RequestForwarder | Refusal:
        context = self._context
        services = {target.service for target in route.targets}
        service = "" if hand_over is None else hand_over.service
        if service not in services:
            service = choose_service(route, context.rng.random)
        if route.kind is not RequestKind.STREAM:
            return RequestForwarder(
                context, request, route, service, customer, arrived, None, call, hand_over, holder
            )
        customer_name = customer.name if customer is not None else ""
        begun_by = ""
        origin = None
        if request.resume_after is not None:
            begun_by = request.resumes
            key = origin_key(customer_name, begun_by) if begun_by else ""
            if hand_over is not None and hand_over.origin is not None:
                origin = context.origins.accept(key, hand_over.origin)
            else:
                origin = context.origins.find(key, service, route.resumable)
            if origin is None:
                known = context.origins.knows_versions(service)
                reason = "origin-unknown" if known else "versions-unknown"
                return self._refuse(503, reason, request)
            service = origin.service
            if service not in services:
                return self._refuse(503, "origin-elsewhere", request)
        pin = StreamPin(
            context.origins, customer_name, request.id, service, route.resumable, begun_by, origin
        )
        return RequestForwarder(
            context, request, route, service, customer, arrived, pin, call, hand_over, holder
        )

    def _refuse(self, status: int, reason: str, request: CallerRequest) -> Refusal:
        if status != 503:
            return refuse(status, reason, Verdict.NOT_RUN)
        left_s = request.caller_timeout_s or 0.0
        return refuse(0, reason, Verdict.NOT_RUN, left_s, self._context.rng)

    def _log_refusal(self, request: CallerRequest, refusal: Refusal, arrived: float) -> None:
        follower = self._context.catalog
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


class _WsgiResponse:
    """WSGI response iterable that cancels its request when the caller disconnects.

    Args:
        forwarder: Forwards the request.
        watch: Detects that the caller has disconnected.
        accepts_chunked: Whether the caller supports chunked encoding, which lets it distinguish a
            complete response of unknown length from a truncated one.
        held: Memory that is held for the request.
        hand_over: What another instance said when it handed the request over; None if none did.
        request: Id of the request.
    """

    def __init__(
        self,
        forwarder: RequestForwarder,
        watch: DisconnectWatch,
        accepts_chunked: bool,
        held: _HeldRequest,
        hand_over: HandOver | None,
        request: str,
    ) -> None:
        self._hand_over = hand_over
        self._held = held
        self._request = request
        self._forwarder = forwarder
        self._watch = watch
        self._accepts_chunked = accepts_chunked
        self._reply: Reply | None = None

    def start(self, start_response: StartResponse) -> Iterable[bytes]:
        """Run the request up to the response head and return the response body."""
        self._held.holder.give_up = self._give_up
        self._held.on_end = self._end
        if self._held.is_ended:
            self._end()
        try:
            response = self._forwarder.run()
            if (
                isinstance(response, Reply)
                and response.length is None
                and not self._accepts_chunked
            ):
                response = _buffer_stream(response, self._held.holder)
        except BaseException:
            self._watch.stop()
            raise
        if isinstance(response, Refusal):
            self._watch.stop()
            return _send_refusal(response, start_response, self._hand_over)
        self._reply = self._watch_writes(response)
        self._held.is_passed_on = True
        headers = [*end_to_end_headers(response.headers)]
        if self._hand_over is not None:
            headers.append((RESULT_HEADER, self._encode_result(self._hand_over)))
        if response.length is not None:
            headers.append(("Content-Length", str(response.length)))
        start_response(_status_line(response.status), headers)
        return self

    def _encode_result(self, hand_over: HandOver) -> str:
        origin = self._forwarder.origin
        known = origin if origin is not None and origin.is_bounded else None
        return encode_result(HandOverResult(hand_over.request, origin=known))

    def __iter__(self) -> Iterator[bytes]:
        assert self._reply is not None
        return self._reply.body

    def close(self) -> None:
        """Release the request, also after the caller has disconnected."""
        self._watch.stop()
        self._forwarder.cancel()
        if self._reply is not None:
            _close(self._reply.body)
        self._held.release()

    def _watch_writes(self, reply: Reply) -> Reply:
        """Read a stream on while writes block, and disconnect a caller that reads nothing."""
        writes = self._held.writes
        if writes is None:
            return reply
        writes.timeout_s = self._forwarder.timeout_s
        if reply.length is not None:
            return reply
        ahead = ReadAhead(reply.body, self._held.holder, self._held.buffers, self._request)
        writes.on_blocked = ahead.on_blocked
        return attrs.evolve(reply, body=ahead)

    def _give_up(self) -> None:
        """End the request because memory is short; cut a response that is being delivered."""
        self._forwarder.give_up(NO_MEMORY)
        if self._reply is not None and self._held.writes is not None:
            self._held.writes.disconnect()

    def _end(self) -> None:
        """End the request because the process ends; what is complete is still delivered."""
        if self._reply is None or self._reply.length is None:
            self._forwarder.give_up(STOPPING)


class _HeldRequest:
    """What is held in memory for one request.

    Leaving the context releases it unless its response has been passed on to the server.

    Attributes:
        buffers: Memory of the process.
        holder: Everything that is held for the request.
        body: The part for its body.
        writes: Writes to its caller; None if nobody watches them.
        is_passed_on: Whether the response has been passed on; closing it releases the memory.
        on_end: Ends the request; None if nothing waits for it at present.
        is_ended: Whether it is to end because the process ends.

    Args:
        buffers: Memory of the process.
        writes: Writes to its caller; None if nobody watches them.
        open_requests: The requests that have not ended.
    """

    def __init__(
        self,
        buffers: BufferBudget,
        writes: CallerWrites | None,
        open_requests: set[_HeldRequest],
    ) -> None:
        self.buffers = buffers
        self.holder = buffers.hold()
        self.body = self.holder.reserve()
        self.writes = writes
        self.is_passed_on = False
        self.on_end: Callable[[], None] | None = None
        self.is_ended = False
        self._open_requests = open_requests
        open_requests.add(self)

    def __enter__(self) -> _HeldRequest:
        return self

    def __exit__(self, *_: object) -> None:
        if not self.is_passed_on:
            self.release()

    def end(self) -> None:
        """End the request because the process ends."""
        self.is_ended = True
        if self.on_end is not None:
            self.on_end()

    def release(self) -> None:
        """Release the memory; idempotent."""
        self._open_requests.discard(self)
        self.holder.give_up = None
        if self.writes is not None:
            self.writes.reset()
        self.body.release_body()
        self.holder.release()


def _log_unreadable(refusal: Refusal, environ: dict[str, Any]) -> None:
    """Log a request that was refused before its id was known."""
    log_event(
        log,
        "request-unreadable",
        host=environ.get("HTTP_HOST", ""),
        path=environ["PATH_INFO"],
        status=refusal.status,
        detail=refusal.reason,
    )


def _buffer_stream(reply: Reply, holder: Holder) -> Reply | Refusal:
    """Read a stream to its end, so that the response can carry a `Content-Length`."""
    chunks: list[bytes] = []
    size = 0
    reservation = holder.reserve()
    try:
        for chunk in reply.body:
            chunks.append(chunk)
            size += len(chunk)
            if not reservation.resize(size):
                raise ConnectionAbortedError(f"stream of {size} bytes or more")
    except ConnectionAbortedError as error:
        log_event(log, "stream-not-buffered", detail=str(error))
        reservation.release()
        _close(reply.body)
        return refuse(0, "broken-off", Verdict.MAY_HAVE_RUN)
    return Reply(reply.status, reply.headers, BufferedBody(chunks, reservation), size)


def _close(body: Iterator[bytes]) -> None:
    close = getattr(body, "close", None)
    if close is not None:
        close()


def _send_refusal(
    refusal: Refusal, start_response: StartResponse, hand_over: HandOver | None = None
) -> Iterable[bytes]:
    error = {"type": refusal.reason, "verdict": refusal.verdict.value}
    body = json.dumps({"error": error}, separators=(",", ":")).encode()
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_s:.2f}"))
    if hand_over is not None:
        result = HandOverResult(hand_over.request, refusal.reason, refusal.verdict)
        headers.append((RESULT_HEADER, encode_result(result)))
    if refusal.close:
        headers.append(("Connection", "close"))
    start_response(_status_line(refusal.status), headers)
    return [body]


def _status_line(status: int) -> str:
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"

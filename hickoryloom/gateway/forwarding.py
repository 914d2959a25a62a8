"""Forwards one request and relays its response, buffered or streamed, or returns a refusal."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import TypeVar

import attrs
import gevent
import logbook
from result import Err

from hickoryloom.catalog import Customer, RequestKind, Route
from hickoryloom.gateway.attempts import Attempts
from hickoryloom.gateway.context import AnyAttempt, Attempt, GatewayContext, PeerAttempt
from hickoryloom.gateway.events import EventSplitter
from hickoryloom.gateway.messages import CallerRequest, Refusal, Reply
from hickoryloom.gateway.stream_pin import StreamPin
from hickoryloom.handover import HandOver, ReceivedCall, without_hand_over_headers
from hickoryloom.logs import log_event
from hickoryloom.origins import Origin
from hickoryloom.placing import PlacementOutcome
from hickoryloom.upstream import (
    ENDED_INSIDE_EVENT,
    TAIL_BYTES,
    AttemptError,
    AttemptFailure,
    BodyFraming,
    BufferedBody,
    Exchange,
    FailureCause,
    Holder,
    check_end_of_events,
    is_event_stream,
)
from hickoryloom.verdict import Verdict

__all__ = ["RequestForwarder"]

T = TypeVar("T")

log = logbook.Logger("hickoryloom.gateway")

MAX_RESPONSE_BYTES = 16 * 1024 * 1024
"""Maximum size of a buffered response."""

NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
"""Status codes that tell a caller that its request has not run."""

SERVER_ERROR = 500

STREAM_TIMEOUT_GAPS = 6.0
"""Read timeout of a resumable stream, as a multiple of the route's maximum event gap. On expiry the
stream is resumed at another backend server."""

MIN_STREAM_TIMEOUT_S = 1.2
"""Lower bound of the read timeout of a resumable stream. Callers wait two seconds for the next
event."""

MOVE_CHECK_S = 0.1
"""Interval for checking whether a request whose backend server is silent may move to another one.
"""

ROOM_CHECK_S = 0.02
ROOM_WAIT_S = 1.0
"""Longest time for which a response is left to its backend server because memory is short. Servers
cut off responses that remain unread for some seconds."""


class RequestForwarder:
    """Forwards one request whose route and customer are known.

    Args:
        context: Dependencies shared by all requests.
        request: The request.
        route: Its route.
        service: The service chosen among the route's targets.
        customer: The customer that is billed; None on a route that requires no key.
        arrived: Monotonic time of its arrival, in seconds.
        pin: Keeps a stream at its software version; None for a request of another kind.
        call: The request as it was received; None if it may not be handed over.
        hand_over: What another instance said when it handed the request over; None if none did.
        holder: Memory that is held for the request; None for a new one.
    """

    def __init__(
        self,
        context: GatewayContext,
        request: CallerRequest,
        route: Route,
        service: str,
        customer: Customer | None,
        arrived: float,
        pin: StreamPin | None = None,
        call: ReceivedCall | None = None,
        hand_over: HandOver | None = None,
        holder: Holder | None = None,
    ) -> None:
        self._context = context
        self._request = request
        self._route = route
        self._attempts = Attempts(
            context, request, route, service, customer, arrived, pin, call, hand_over
        )
        self._holder = context.buffers.hold() if holder is None else holder
        self._holder.is_repeatable = lambda: self._attempts.may_run_again
        self._buffered = self._holder.reserve()

    def cancel(self) -> None:
        """Abort the request after its caller disconnected; may be called from any greenlet."""
        self._attempts.cancel()

    def give_up(self, reason: str) -> None:
        """End the request; may be called from any greenlet.

        Args:
            reason: Short name of the cause.
        """
        log_event(
            log,
            "request-given-up",
            request=self._request.id,
            reason=reason,
            held_bytes=self._holder.size_bytes,
            delivering=self._holder.is_complete,
        )
        self._attempts.give_up(reason)

    @property
    def origin(self) -> Origin | None:
        """Origin of a stream, if it is known; None for other requests."""
        return self._attempts.origin

    @property
    def timeout_s(self) -> float:
        """Seconds from the arrival of the request to its deadline."""
        return self._attempts.timeout_s

    def run(self) -> Reply | Refusal:
        """Retry until an attempt yields a response or no further attempt is allowed."""
        try:
            return self._run()
        except BaseException as error:
            self._abandon("failed", error)
            raise

    def _run(self) -> Reply | Refusal:
        while True:
            started = self._attempts.start(None)
            if isinstance(started, Err):
                return self._log_refusal(started.err_value)
            attempt = started.ok_value
            try:
                return self._receive_response(attempt)
            except AttemptError as error:
                self._buffered.release()
                self._attempts.fail(attempt, error.failure)
                if not self._attempts.may_retry(error.failure):
                    return self._log_refusal(self._attempts.refuse())

    def _abandon(self, outcome: str, error: BaseException | None = None) -> None:
        """Release the attempt in progress, if there is one, and log the end of the request."""
        if self._attempts.abandon():
            detail = "" if error is None else f"{type(error).__name__}: {error}"
            self._attempts.log_end(outcome, 0, detail)

    def _receive_response(self, attempt: AnyAttempt) -> Reply | Refusal:
        """Read the response: completely, or up to the first event of a stream.

        Raises:
            AttemptError: There is no valid response.
        """
        exchange = attempt.exchange
        exchange.read_deadline = self._attempts.head_deadline(attempt)
        if isinstance(attempt, PeerAttempt):
            return self._receive_from_peer(attempt)
        self._read_head(attempt)
        exchange.read_deadline = self._attempts.deadline
        if exchange.status in NOT_RUN_STATUSES:
            raise exchange.error(
                FailureCause.STATUS, f"status {exchange.status} without a not-run confirmation"
            )
        if self._is_streamed(exchange):
            return self._start_stream(attempt)
        if exchange.status >= SERVER_ERROR and self._attempts.retryable:
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status}")
        return self._read_whole_response(attempt)

    def _receive_from_peer(self, attempt: PeerAttempt) -> Reply | Refusal:
        """Read the response of another instance, which has checked it.

        Raises:
            AttemptError: There is no valid response, or another instance may serve the request.
        """
        refusal = self._attempts.read_peer_head(attempt)
        if refusal is not None:
            return self._log_refusal(refusal)
        if self._is_streamed(attempt.exchange):
            return self._start_stream(attempt)
        return self._read_whole_response(attempt)

    def _is_streamed(self, exchange: Exchange) -> bool:
        """Return whether the response is a stream of events, as its route and type say."""
        if not _is_success(exchange) or self._route.kind is not RequestKind.STREAM:
            return False
        content_type = exchange.header("content-type")
        return not content_type or is_event_stream(content_type)

    def _read_head(self, attempt: Attempt) -> None:
        """Read and validate the response head, and record what it reports.

        Raises:
            AttemptError: The backend server has not run the request, or the response is invalid.
        """
        exchange = attempt.exchange
        self._read_patiently(attempt, lambda: exchange.read_head(skip_mismatched=True))
        exchange.check_id()
        head = self._context.backends.read_head(exchange.status, exchange.headers)
        self._attempts.record_head(attempt, head)
        if head.not_run or head.misdirected:
            detail = f"status {exchange.status}"
            raise AttemptError(AttemptFailure(FailureCause.NOT_RUN, Verdict.NOT_RUN, detail))
        self._attempts.record_accepted(attempt)
        if _is_success(exchange) and not (head.signed and exchange.id_confirmed):
            raise exchange.error(FailureCause.MALFORMED, "response has no signature or request id")
        if exchange.header("content-encoding"):
            raise exchange.error(FailureCause.MALFORMED, "unexpected content encoding")

    def _read_whole_response(self, attempt: AnyAttempt) -> Reply:
        """Buffer the complete response before any of it is forwarded."""
        exchange = attempt.exchange
        status, headers = exchange.status, exchange.headers
        chunks: list[bytes] = []
        size = 0
        while chunk := exchange.read():
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RESPONSE_BYTES or not self._reserve(size):
                raise exchange.error(FailureCause.TOO_LARGE, f"response of {size} bytes or more")
        check_end_of_events(exchange, b"".join(chunks[-TAIL_BYTES:]))
        self._holder.is_complete = True
        failed = status >= SERVER_ERROR
        self._attempts.complete(
            attempt, PlacementOutcome.FAILED if failed else PlacementOutcome.DONE, status
        )
        caller_headers = self._caller_headers(headers)
        return Reply(status, caller_headers, BufferedBody(chunks, self._buffered), size)

    def _reserve(self, size: int) -> bool:
        """Reserve memory for what has been read; while there is none, the rest remains unread."""
        buffers, clock = self._context.buffers, self._context.clock
        if self._buffered.resize(size):
            return True
        if not buffers.is_bounded:
            return False
        until = min(clock.monotonic() + ROOM_WAIT_S, self._attempts.deadline)
        while clock.monotonic() < until and not self._attempts.given_up:
            gevent.sleep(ROOM_CHECK_S)
            if self._buffered.resize(size):
                return True
        if self._buffered.resize(size, last=True):
            return True
        buffers.refused += not self._holder.given_up
        return False

    def _caller_headers(self, headers: tuple[tuple[str, str], ...]) -> tuple[tuple[str, str], ...]:
        return without_hand_over_headers(self._context.backends.response_headers(headers))

    def _start_stream(self, attempt: AnyAttempt) -> Reply:
        """Read up to the first complete event; the remaining events are forwarded as they arrive.

        Waiting for the first event keeps a retry possible while nothing has been forwarded.
        """
        exchange = attempt.exchange
        status, headers = exchange.status, exchange.headers
        splitter = EventSplitter(self._request.resume_after)
        first = self._read_events(attempt, splitter)
        self._attempts.record_event(attempt)
        caller_headers = self._caller_headers(headers)
        return Reply(status, caller_headers, self._stream(attempt, splitter, first))

    def _stream(
        self, attempt: AnyAttempt, splitter: EventSplitter, first: bytes
    ) -> Iterator[bytes]:
        """Yield all events, resuming at another backend server where the route allows it."""
        current = attempt
        events = first
        try:
            while events:
                yield events
                try:
                    events = self._read_events(current, splitter)
                    if events:
                        self._attempts.record_event(current)
                except AttemptError as error:
                    self._attempts.fail(current, error.failure)
                    current, events = self._resume(splitter, error.failure)
            if splitter.incomplete:
                yield splitter.incomplete
            self._attempts.complete(current, PlacementOutcome.DONE, 200)
        except Exception as error:
            self._abandon("failed", error)
            raise
        finally:
            self._buffered.release()
            # The caller may have disconnected between two events or while the stream moved.
            self._abandon("abandoned")

    def _read_events(self, attempt: AnyAttempt, splitter: EventSplitter) -> bytes:
        """Return the next complete events, or an empty string at the end of the stream.

        Raises:
            AttemptError: The stream broke off, timed out or is malformed.
        """
        exchange = attempt.exchange
        wait_started_at = self._context.clock.monotonic()
        if not attempt.first_event_received:
            exchange.read_deadline = self._attempts.head_deadline(attempt)
        elif self._attempts.retryable:
            stream_timeout_s = max(
                MIN_STREAM_TIMEOUT_S, STREAM_TIMEOUT_GAPS * self._route.max_gap_s
            )
            stream_timeout_s *= self._attempts.slowness(attempt)
            exchange.read_deadline = min(
                self._attempts.deadline, wait_started_at + stream_timeout_s
            )
        else:
            exchange.read_deadline = self._attempts.deadline
        while True:
            if splitter.fault:
                raise exchange.error(FailureCause.MALFORMED, splitter.fault)
            if not self._reserve(len(splitter.incomplete)):
                raise exchange.error(FailureCause.TOO_LARGE, "no memory left for an event")
            chunk = self._read_patiently(attempt, exchange.read)
            if not chunk:
                break
            events = splitter.feed(chunk)
            if events:
                # They count as forwarded, so that a failure after them is left to the next call.
                self._attempts.log.record_gap(self._context.clock.monotonic() - wait_started_at)
                return events
        if splitter.inside_event:
            raise exchange.error(FailureCause.CONNECTION_LOST, ENDED_INSIDE_EVENT)
        if exchange.framing is BodyFraming.CLOSE and not attempt.first_event_received:
            raise exchange.error(FailureCause.CONNECTION_LOST, "stream ended before an event")
        return b""

    def _read_patiently(self, attempt: AnyAttempt, read: Callable[[], T]) -> T:
        """Read from an attempt; its timeout takes effect once the request may move elsewhere.

        Ending the attempt before that would only replace a late response by none.

        Raises:
            AttemptError: The attempt has failed, or another one may take its place.
        """
        while True:
            try:
                return read()
            except AttemptError as error:
                is_silent = error.failure.cause is FailureCause.TIMED_OUT
                if not is_silent or self._attempts.may_move(attempt):
                    raise
            check_at = self._context.clock.monotonic() + MOVE_CHECK_S
            attempt.exchange.read_deadline = min(self._attempts.deadline, check_at)

    def _resume(self, splitter: EventSplitter, failure: AttemptFailure) -> tuple[AnyAttempt, bytes]:
        """Resume the stream after its last event at another backend server.

        Raises:
            ConnectionAbortedError: The stream can't be resumed. The response is cut off, so that
                the caller notices that it is incomplete.
        """
        while self._route.resumable and not self._attempts.has_ended:
            splitter.resume()
            started = self._attempts.start(splitter.last_id)
            if isinstance(started, Err):
                failure = attrs.evolve(
                    failure, detail=f"{failure.detail}; {started.err_value.reason}"
                )
                break
            attempt = started.ok_value
            try:
                self._check_resumed(attempt)
                events = self._read_events(attempt, splitter)
            except AttemptError as error:
                self._attempts.fail(attempt, error.failure)
                failure = error.failure
                continue
            self._attempts.record_event(attempt)
            return attempt, events
        if self._attempts.given_up:
            failure = attrs.evolve(failure, detail=self._attempts.given_up)
        self._attempts.log_end(
            "abandoned" if self._attempts.caller_disconnected else "broken-off", 200, failure.detail
        )
        raise ConnectionAbortedError("response is incomplete")

    def _check_resumed(self, attempt: AnyAttempt) -> None:
        exchange = attempt.exchange
        if isinstance(attempt, PeerAttempt):
            refusal = self._attempts.read_peer_head(attempt)
            if refusal is not None:
                raise AttemptError(
                    AttemptFailure(FailureCause.NOT_RUN, refusal.verdict, refusal.reason)
                )
        else:
            self._read_head(attempt)
        if not _is_success(exchange):
            raise exchange.error(
                FailureCause.STATUS, f"status {exchange.status} for a resumed stream"
            )

    def _log_refusal(self, refusal: Refusal) -> Refusal:
        self._attempts.log_end("refused", refusal.status, refusal.reason)
        return refusal


def _is_success(exchange: Exchange) -> bool:
    return 200 <= exchange.status < 300

"""The life of one request: attempts at backend servers, the answer, or a true refusal."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator

import attrs
from result import Err, Ok, Result

from hickoryloom.catalog import CatalogFollower, Customer, RequestKind, Route
from hickoryloom.clock import Clock
from hickoryloom.discovery import Discovery
from hickoryloom.gateway.budget import RetryWindow
from hickoryloom.gateway.events import EventCutter, EventGapError
from hickoryloom.gateway.messages import AnswerHead, CallerRequest, Refusal, Reply
from hickoryloom.gateway.ports import BackendCodec
from hickoryloom.gateway.refusals import refuse
from hickoryloom.gateway.request_log import RequestLog
from hickoryloom.metering import UsageMeter
from hickoryloom.metrics import MetricsRecorder
from hickoryloom.placing import Ending, Placement, Placer, Work
from hickoryloom.upstream import (
    AttemptError,
    AttemptFailed,
    Connections,
    Exchange,
    FailureCause,
    request_head,
)
from hickoryloom.verdict import Verdict

__all__ = ["Forwarding", "GatewayParts"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bound of an answer that is read whole before it is passed on."""

MAX_CONNECTS = 4
"""Connections tried for one request; nothing was sent on those that failed."""

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses by which a caller is told that its request has not run."""

SERVER_ERROR = 500
RETRY_TARGETS = 2.5
"""A repeatable request unanswered for so many targets is sent to another backend server."""

ENGINE_RETRY_TARGETS = 8.0
"""The same for model engines, where a late first token mostly means a queue, not a fault."""

SILENCE_GAPS = 6.0
SILENCE_MIN_S = 1.2
"""A resumable stream silent for so many allowed pauses, and this long, goes on elsewhere."""

HIGHEST_URGENCY = 9


@attrs.frozen
class GatewayParts:
    """What all requests of a gateway share."""

    clock: Clock
    rng: random.Random
    catalog: CatalogFollower
    discovery: Discovery
    placer: Placer
    connections: Connections
    backends: BackendCodec
    meter: UsageMeter
    metrics: MetricsRecorder
    retries: Callable[[str], RetryWindow]


@attrs.define
class _Attempt:
    placement: Placement
    exchange: Exchange
    sent: float
    prompt_read: bool = False
    ended: bool = False


class Forwarding:
    """Serves one request whose route and customer are known.

    Args:
        parts: What all requests share.
        request: The request.
        route: Its route.
        service: The service chosen among the route's targets.
        customer: Who pays; None on a route open to all.
        arrived: Monotonic time of its arrival, in seconds.
    """

    def __init__(
        self,
        parts: GatewayParts,
        request: CallerRequest,
        route: Route,
        service: str,
        customer: Customer | None,
        arrived: float,
    ) -> None:
        self._parts = parts
        self._request = request
        self._route = route
        self._customer = customer
        self._arrived = arrived
        waits_s = route.timeout_s if request.wait_s is None else request.wait_s
        self._caller_deadline = arrived + waits_s
        self._deadline = arrived + min(waits_s, route.timeout_s)
        shared = request.prompt_parts[:-1]
        self._work = Work(service, request.prompt_tokens, shared)
        self._verdict = Verdict.NOT_RUN
        self._sends = 0
        self._connects = 0
        self._tried: set[str] = set()
        self._attempt: _Attempt | None = None
        self._left = False
        self._cause = ""
        self._log = RequestLog(
            parts.clock,
            parts.catalog,
            parts.metrics,
            parts.meter,
            request.id,
            route,
            customer,
            arrived,
        )

    @property
    def verdict(self) -> Verdict:
        """Whether a backend server may have run the request."""
        return self._verdict

    def leave(self) -> None:
        """Take in that the caller has closed its connection; safe from any greenlet."""
        self._left = True
        if self._attempt is not None:
            self._attempt.exchange.interrupt(FailureCause.CANCELLED)

    def run(self) -> Reply | Refusal:
        """Make attempts until one has an answer for the caller, or no further one is allowed."""
        while True:
            begun = self._begin(None)
            if isinstance(begun, Err):
                return self._give_up(begun.err_value)
            attempt = begun.ok_value
            try:
                reply = self._answer(attempt)
            except AttemptError as error:
                self._fail(attempt, error.failed)
                if not self._may_go_on(error.failed):
                    return self._give_up(self._refuse(self._failure_reason(error.failed)))
                continue
            if reply is not None:
                return reply

    def _begin(self, resume_after: int | None) -> Result[_Attempt, Refusal]:
        """Send the request to the best backend server that can be reached."""
        parts = self._parts
        while True:
            now = parts.clock.monotonic()
            refusal = self._why_not(now)
            if refusal is not None:
                return Err(refusal)
            placement = parts.placer.choose(self._work, frozenset(self._tried), now)
            if placement is None:
                parts.meter.note_refused(self._work.service)
                return Err(self._refuse("no-backend-server"))
            server = placement.server
            try:
                exchange = self._open(placement)
            except AttemptError as error:
                self._tried.add(server.id)
                self._connects += 1
                parts.placer.started(placement, self._work, now)
                parts.placer.finished(placement, self._work, Ending.UNREACHABLE, False, now)
                self._log.attempt(placement, self._sends, "unreachable", error.failed.detail)
                continue
            if not parts.discovery.is_usable(server):
                parts.connections.close(exchange)
                self._tried.add(server.id)
                continue
            refusal = self._why_not(parts.clock.monotonic())
            if refusal is not None:
                parts.connections.close(exchange)
                return Err(refusal)
            return self._send(placement, exchange, resume_after)

    def _open(self, placement: Placement) -> Exchange:
        """Return a connection; a kept one only while the backend server surely keeps it too."""
        address = placement.server.address
        return self._parts.connections.open(
            address, self._request.id, self._request.method, fresh=False
        )

    def _send(
        self, placement: Placement, exchange: Exchange, resume_after: int | None
    ) -> Result[_Attempt, Refusal]:
        parts = self._parts
        now = parts.clock.monotonic()
        attempt = _Attempt(placement, exchange, now)
        budget = parts.retries(self._work.service)
        if self._sends == 0:
            budget.note_first(now)
        elif not budget.take(now):
            parts.connections.close(exchange)
            return Err(self._refuse("retry-budget"))
        self._sends += 1
        self._attempt = attempt
        parts.meter.note_demand(self._work.service, placement.prefill_tokens)
        parts.placer.started(placement, self._work, now)
        headers = parts.backends.request_headers(
            self._request,
            placement.server,
            self._customer,
            self._urgency(),
            self._deadline - now,
            self._request.resume_after if resume_after is None else resume_after,
        )
        exchange.read_until = self._deadline
        try:
            head = request_head(
                self._request.method,
                self._request.target,
                self._request.host,
                headers,
                len(self._request.body),
            )
            exchange.send(head, self._request.body)
        except ValueError as error:
            self._end(attempt, Ending.ABANDONED)
            return Err(refuse(400, str(error), self._verdict))
        except AttemptError as error:
            self._fail(attempt, error.failed)
            if self._may_go_on(error.failed):
                return self._begin(resume_after)
            return Err(self._refuse(self._failure_reason(error.failed)))
        self._log.attempt(placement, self._sends, "sent", placement.reason)
        return Ok(attempt)

    def _urgency(self) -> int:
        rank = self._route.priority
        if self._customer is not None and self._customer.priority is not None:
            rank = self._customer.priority
        return min(max(rank, 0), HIGHEST_URGENCY)

    def _why_not(self, now: float) -> Refusal | None:
        """Return why the request must not be sent now, None when it may be."""
        if self._left:
            return self._refuse("caller-left")
        if now >= self._deadline:
            return self._refuse("timeout")
        if self._sends >= max(1, self._route.max_attempts):
            return self._refuse(self._cause or "attempts")
        if self._connects >= MAX_CONNECTS:
            return self._refuse("unreachable")
        if self._customer is None:
            return None
        catalog = self._parts.catalog
        if not catalog.view.trusts_keys(now):
            return self._refuse("stale-view")
        if self._request.key_hash not in catalog.catalog.customers:
            return refuse(401, "key-withdrawn", self._verdict)
        return None

    def _answer(self, attempt: _Attempt) -> Reply | None:
        """Read the answer; None when another attempt is to be made.

        Raises:
            AttemptError: There is no sound answer.
        """
        exchange = attempt.exchange
        exchange.read_until = self._head_deadline(attempt)
        exchange.read_head(skip_foreign=True)
        exchange.check_id()
        exchange.read_until = self._deadline
        head = self._parts.backends.read_head(exchange.status, exchange.headers)
        self._note_head(attempt, head)
        if head.not_run or head.misdirected:
            detail = f"status {exchange.status}"
            raise AttemptError(AttemptFailed(FailureCause.NOT_RUN, Verdict.NOT_RUN, detail))
        self._verdict = Verdict.MAY_HAVE_RUN
        success = 200 <= exchange.status < 300
        if success and not (head.signed and exchange.confirmed):
            raise exchange.error(FailureCause.MALFORMED, "success without signature or id")
        if exchange.header("content-encoding"):
            raise exchange.error(FailureCause.MALFORMED, "an encoded body was not asked for")
        if exchange.status in PROMISES:
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status} without a promise")
        if success and self._route.kind is RequestKind.STREAM:
            return self._begin_stream(attempt)
        if exchange.status >= SERVER_ERROR and self._may_try_other():
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status}")
        return self._whole(attempt)

    def _head_deadline(self, attempt: _Attempt) -> float:
        """Return until when the head of an answer is waited for."""
        if not self._route.repeatable or not self._may_try_other():
            return self._deadline
        targets = ENGINE_RETRY_TARGETS if self._work.prompt_tokens else RETRY_TARGETS
        patience_s = targets * self._route.target_s
        return min(self._deadline, attempt.sent + patience_s)

    def _may_try_other(self) -> bool:
        return self._route.repeatable and self._sends < self._route.max_attempts

    def _note_head(self, attempt: _Attempt, head: AnswerHead) -> None:
        attempt.exchange.keep_s = head.keep_s
        if head.load is not None:
            now = self._parts.clock.monotonic()
            self._parts.placer.report(attempt.placement.server.id, head.load, now)

    def _whole(self, attempt: _Attempt) -> Reply:
        """Read an answer to its end before any of it is passed on."""
        exchange = attempt.exchange
        status, headers = exchange.status, exchange.headers
        blocks: list[bytes] = []
        size = 0
        while block := exchange.read():
            blocks.append(block)
            size += len(block)
            if size > MAX_ANSWER_BYTES:
                raise exchange.error(FailureCause.TOO_LARGE, "answer is too large")
        self._verdict = Verdict.RAN
        self._log.began(attempt.sent)
        failed = status >= SERVER_ERROR
        self._end(attempt, Ending.FAILED if failed else Ending.DONE)
        self._log_end("answered", status)
        kept = self._parts.backends.answer_headers(headers)
        return Reply(status, kept, iter(blocks), size)

    def _begin_stream(self, attempt: _Attempt) -> Reply:
        """Read up to the first whole event; the caller gets the rest as it comes."""
        exchange = attempt.exchange
        status, headers = exchange.status, exchange.headers
        cutter = EventCutter(self._request.resume_after)
        exchange.read_until = self._head_deadline(attempt)
        first = self._read_events(attempt, cutter)
        self._note_first_event(attempt)
        kept = self._parts.backends.answer_headers(headers)
        return Reply(status, kept, self._stream(attempt, cutter, first))

    def _note_first_event(self, attempt: _Attempt) -> None:
        now = self._parts.clock.monotonic()
        if not attempt.prompt_read:
            attempt.prompt_read = True
            self._parts.placer.first_token(attempt.placement, now - attempt.sent)
        self._log.first_event(now)

    def _stream(self, attempt: _Attempt, cutter: EventCutter, first: bytes) -> Iterator[bytes]:
        """Yield events to the end, going on at another backend server where that is allowed."""
        current = attempt
        events = first
        try:
            while events:
                yield events
                try:
                    events = self._read_events(current, cutter)
                except AttemptError as error:
                    self._fail(current, error.failed)
                    current, events = self._resume(cutter, error.failed)
            if cutter.rest:
                yield cutter.rest
            self._verdict = Verdict.RAN
            self._end(current, Ending.DONE)
            self._log_end("answered", 200)
        finally:
            # The caller may have left between two events.
            if not current.ended:
                self._end(current, Ending.ABANDONED)
                self._log_end("abandoned", 0)

    def _read_events(self, attempt: _Attempt, cutter: EventCutter) -> bytes:
        """Return the next whole events, empty at the end of the stream.

        Raises:
            AttemptError: The stream is cut, silent or unsound.
        """
        exchange = attempt.exchange
        began = self._parts.clock.monotonic()
        if self._may_try_other() and attempt.prompt_read:
            silence_s = max(SILENCE_MIN_S, SILENCE_GAPS * self._route.max_gap_s)
            exchange.read_until = min(self._deadline, began + silence_s)
        else:
            exchange.read_until = self._deadline
        while block := exchange.read():
            try:
                events = cutter.feed(block)
            except EventGapError as error:
                raise exchange.error(FailureCause.MALFORMED, str(error))
            if events:
                self._log.gap(self._parts.clock.monotonic() - began)
                return events
        return b""

    def _resume(self, cutter: EventCutter, failed: AttemptFailed) -> tuple[_Attempt, bytes]:
        """Go on after the last event at another backend server.

        Raises:
            ConnectionAbortedError: There is none; the caller sees that its answer is not whole.
        """
        while self._route.resumable and not self._left:
            cutter.drop_rest()
            begun = self._begin(cutter.last_id)
            if isinstance(begun, Err):
                failed = attrs.evolve(failed, detail=f"{failed.detail}; {begun.err_value.reason}")
                break
            attempt = begun.ok_value
            try:
                self._check_resumed(attempt)
                events = self._read_events(attempt, cutter)
            except AttemptError as error:
                self._fail(attempt, error.failed)
                failed = error.failed
                continue
            self._note_first_event(attempt)
            return attempt, events
        self._log_end("abandoned" if self._left else "broken-off", 200, failed.detail)
        raise ConnectionAbortedError("the answer is not whole")

    def _check_resumed(self, attempt: _Attempt) -> None:
        exchange = attempt.exchange
        exchange.read_head(skip_foreign=True)
        exchange.check_id()
        head = self._parts.backends.read_head(exchange.status, exchange.headers)
        self._note_head(attempt, head)
        if head.not_run or head.misdirected:
            detail = f"status {exchange.status}"
            raise AttemptError(AttemptFailed(FailureCause.NOT_RUN, Verdict.NOT_RUN, detail))
        if not 200 <= exchange.status < 300 or not (head.signed and exchange.confirmed):
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status} to a resumption")

    def _fail(self, attempt: _Attempt, failed: AttemptFailed) -> None:
        self._cause = failed.cause.value
        if failed.verdict is not Verdict.NOT_RUN:
            self._verdict = Verdict.MAY_HAVE_RUN
            if failed.cause is not FailureCause.CANCELLED:
                self._log.began(attempt.sent)
        self._tried.add(attempt.placement.server.id)
        self._end(attempt, _ending_of(failed))
        self._log.attempt(attempt.placement, self._sends, failed.cause.value, failed.detail)

    def _may_go_on(self, failed: AttemptFailed) -> bool:
        if self._left:
            return False
        return failed.verdict is Verdict.NOT_RUN or self._route.repeatable

    def _failure_reason(self, failed: AttemptFailed) -> str:
        return "timeout" if failed.cause is FailureCause.SILENT else failed.cause.value

    def _end(self, attempt: _Attempt, ending: Ending) -> None:
        if attempt.ended:
            return
        attempt.ended = True
        self._attempt = None
        now = self._parts.clock.monotonic()
        self._parts.connections.close(attempt.exchange)
        self._parts.placer.finished(attempt.placement, self._work, ending, attempt.prompt_read, now)

    def _log_end(self, outcome: str, status: int, detail: str = "") -> None:
        self._log.end(outcome, status, self._verdict, self._sends, detail)

    def _refuse(self, reason: str) -> Refusal:
        left_s = self._caller_deadline - self._parts.clock.monotonic()
        return refuse(0, reason, self._verdict, left_s, self._parts.rng)

    def _give_up(self, refusal: Refusal) -> Refusal:
        self._log_end("refused", refusal.status, refusal.reason)
        return refusal


def _ending_of(failed: AttemptFailed) -> Ending:
    if failed.cause in (FailureCause.CANCELLED, FailureCause.PREEMPTED):
        return Ending.ABANDONED
    if failed.cause is FailureCause.NOT_RUN:
        return Ending.REFUSED
    return Ending.FAILED

"""Attempts of one request: where it is sent, when again, and what is known when one has failed."""

from __future__ import annotations

import random
from collections.abc import Callable

import attrs
from result import Err, Ok, Result

from hickoryloom.catalog import CatalogFollower, Customer, Route
from hickoryloom.clock import Clock
from hickoryloom.discovery import Discovery
from hickoryloom.gateway.budget import RetryWindow
from hickoryloom.gateway.messages import AnswerHead, CallerRequest, Refusal
from hickoryloom.gateway.ports import BackendCodec
from hickoryloom.gateway.progress import Progress
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

__all__ = ["Attempt", "Attempts", "GatewayParts"]

RETRY_TARGETS = 2.5
"""A repeatable request unanswered for so many targets is sent to another backend server."""

ENGINE_RETRY_TARGETS = 8.0
"""The same for model engines, where a late first token mostly means a queue, not a fault."""


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
class Attempt:
    """One attempt that has been sent.

    Attributes:
        placement: Where, and why there.
        exchange: The connection that carries it.
        sent: Monotonic time of the send, in seconds.
        prompt_read: Whether the first event of its stream has come.
        ended: Whether its connection has been given back.
    """

    placement: Placement
    exchange: Exchange
    sent: float
    prompt_read: bool = False
    ended: bool = False


class Attempts:
    """Makes attempts at backend servers for one request, and knows when another is allowed.

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
        self._progress = Progress(route, self._deadline)
        self._attempt: Attempt | None = None
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
    def deadline(self) -> float:
        """Monotonic time at which the request is given up, in seconds."""
        return self._deadline

    @property
    def left(self) -> bool:
        """Whether the caller has closed its connection."""
        return self._progress.left

    @property
    def retryable(self) -> bool:
        """Whether another backend server may get the request, whatever became of it here."""
        return self._progress.retryable

    @property
    def log(self) -> RequestLog:
        """Where the request's events are told."""
        return self._log

    def leave(self) -> None:
        """Take in that the caller has closed its connection; safe from any greenlet."""
        self._progress.left = True
        if self._attempt is not None:
            self._attempt.exchange.interrupt(FailureCause.CANCELLED)

    def begin(self, resume_after: int | None) -> Result[Attempt, Refusal]:
        """Send the request to the best backend server that can be reached.

        Args:
            resume_after: Id of the last event passed on; None for an answer from its start.
        """
        parts = self._parts
        while True:
            now = parts.clock.monotonic()
            refusal = self._why_not(now)
            if refusal is not None:
                return Err(refusal)
            placement = parts.placer.choose(self._work, frozenset(self._progress.tried), now)
            if placement is None:
                parts.meter.note_refused(self._work.service)
                return Err(self.refuse("no-backend-server"))
            server = placement.server
            try:
                exchange = self._open(placement)
            except AttemptError as error:
                self._progress.note_unreachable(server.id)
                parts.placer.started(placement, self._work, now)
                parts.placer.finished(placement, self._work, Ending.UNREACHABLE, False, now)
                self._log.attempt(
                    placement, self._progress.sends, "unreachable", error.failed.detail
                )
                continue
            if not parts.discovery.is_usable(server):
                parts.connections.close(exchange)
                self._progress.tried.add(server.id)
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
    ) -> Result[Attempt, Refusal]:
        parts = self._parts
        now = parts.clock.monotonic()
        attempt = Attempt(placement, exchange, now)
        budget = parts.retries(self._work.service)
        if self._progress.sends == 0:
            budget.note_first(now)
        elif not budget.take(now):
            parts.connections.close(exchange)
            return Err(self.refuse("retry-budget"))
        self._progress.note_sent()
        self._attempt = attempt
        parts.meter.note_demand(self._work.service, placement.prefill_tokens)
        parts.placer.started(placement, self._work, now)
        headers = parts.backends.request_headers(
            self._request,
            placement.server,
            self._customer,
            parts.catalog.urgency.rank(self._route, self._customer),
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
            self.end(attempt, Ending.ABANDONED)
            return Err(refuse(400, str(error), self._progress.verdict))
        except AttemptError as error:
            self.fail(attempt, error.failed)
            if self.may_follow(error.failed):
                return self.begin(resume_after)
            return Err(self.refuse())
        self._log.attempt(placement, self._progress.sends, "sent", placement.reason)
        return Ok(attempt)

    def _why_not(self, now: float) -> Refusal | None:
        """Return why the request must not be sent now, None when it may be."""
        reason = self._progress.blocked(now)
        if reason:
            return self.refuse(reason)
        if self._customer is None:
            return None
        catalog = self._parts.catalog
        if not catalog.view.trusts_keys(now):
            return self.refuse("stale-view")
        if self._request.key_hash not in catalog.catalog.customers:
            return refuse(401, "key-withdrawn", self._progress.verdict)
        return None

    def head_deadline(self, attempt: Attempt) -> float:
        """Return until when the head of an answer is waited for."""
        if not self._progress.retryable:
            return self._deadline
        targets = ENGINE_RETRY_TARGETS if self._work.prompt_tokens else RETRY_TARGETS
        patience_s = targets * self._route.target_s
        return min(self._deadline, attempt.sent + patience_s)

    def note_head(self, attempt: Attempt, head: AnswerHead) -> None:
        """Take in what the head of an answer tells of its backend server."""
        attempt.exchange.keep_s = head.keep_s
        if head.load is not None:
            now = self._parts.clock.monotonic()
            self._parts.placer.report(attempt.placement.server.id, head.load, now)

    def accept(self) -> None:
        """Take in that a backend server has answered as one that runs the request."""
        self._progress.note_accepted()

    def complete(self, attempt: Attempt, ending: Ending, status: int) -> None:
        """End the request with an answer that was read to its end."""
        self._progress.note_answered()
        self._log.began(attempt.sent)
        self.end(attempt, ending)
        self.log_end("answered", status)

    def fail(self, attempt: Attempt, failed: AttemptFailed) -> None:
        """End an attempt that has failed."""
        progress = self._progress
        progress.note_failed(attempt.placement.server.id, failed)
        if failed.verdict is not Verdict.NOT_RUN and failed.cause is not FailureCause.CANCELLED:
            self._log.began(attempt.sent)
        self.end(attempt, _ending_of(failed))
        self._log.attempt(attempt.placement, progress.sends, failed.cause.value, failed.detail)

    def may_follow(self, failed: AttemptFailed) -> bool:
        """Return whether another attempt may follow one that failed so."""
        return self._progress.may_follow(failed)

    def end(self, attempt: Attempt, ending: Ending) -> None:
        """Give an attempt's connection back, once."""
        if attempt.ended:
            return
        attempt.ended = True
        self._attempt = None
        now = self._parts.clock.monotonic()
        self._parts.connections.close(attempt.exchange)
        self._parts.placer.finished(attempt.placement, self._work, ending, attempt.prompt_read, now)

    def log_end(self, outcome: str, status: int, detail: str = "") -> None:
        """Write the request's end."""
        self._log.end(outcome, status, self._progress.verdict, self._progress.sends, detail)

    def refuse(self, reason: str = "") -> Refusal:
        """Return the final answer that is true for all attempts so far.

        Args:
            reason: Short name of the cause; that of the last failure when it is empty.
        """
        left_s = self._caller_deadline - self._parts.clock.monotonic()
        progress = self._progress
        return refuse(0, reason or progress.cause, progress.verdict, left_s, self._parts.rng)


def _ending_of(failed: AttemptFailed) -> Ending:
    if failed.cause in (FailureCause.CANCELLED, FailureCause.PREEMPTED):
        return Ending.ABANDONED
    if failed.cause is FailureCause.NOT_RUN:
        return Ending.REFUSED
    return Ending.FAILED

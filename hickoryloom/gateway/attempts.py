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

MAX_CONNECTS = 4
"""Connections tried for one request; nothing was sent on those that failed."""

RETRY_TARGETS = 2.5
"""A repeatable request unanswered for so many targets is sent to another backend server."""

ENGINE_RETRY_TARGETS = 8.0
"""The same for model engines, where a late first token mostly means a queue, not a fault."""

HIGHEST_URGENCY = 9
"""Ranks that engines tell apart; a route may have a higher number."""


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
        self._verdict = Verdict.NOT_RUN
        self._sends = 0
        self._connects = 0
        self._tried: set[str] = set()
        self._attempt: Attempt | None = None
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
            placement = parts.placer.choose(self._work, frozenset(self._tried), now)
            if placement is None:
                parts.meter.note_refused(self._work.service)
                return Err(self.refuse("no-backend-server"))
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
    ) -> Result[Attempt, Refusal]:
        parts = self._parts
        now = parts.clock.monotonic()
        attempt = Attempt(placement, exchange, now)
        budget = parts.retries(self._work.service)
        if self._sends == 0:
            budget.note_first(now)
        elif not budget.take(now):
            parts.connections.close(exchange)
            return Err(self.refuse("retry-budget"))
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
            self.end(attempt, Ending.ABANDONED)
            return Err(refuse(400, str(error), self._verdict))
        except AttemptError as error:
            self.fail(attempt, error.failed)
            if self.may_go_on(error.failed):
                return self.begin(resume_after)
            return Err(self.refuse(self.failure_reason(error.failed)))
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
            return self.refuse("caller-left")
        if now >= self._deadline:
            return self.refuse("timeout")
        if self._sends >= max(1, self._route.max_attempts):
            return self.refuse(self._cause or "attempts")
        if self._connects >= MAX_CONNECTS:
            return self.refuse("unreachable")
        if self._customer is None:
            return None
        catalog = self._parts.catalog
        if not catalog.view.trusts_keys(now):
            return self.refuse("stale-view")
        if self._request.key_hash not in catalog.catalog.customers:
            return refuse(401, "key-withdrawn", self._verdict)
        return None

    def head_deadline(self, attempt: Attempt) -> float:
        """Return until when the head of an answer is waited for."""
        if not self._route.repeatable or not self.may_try_other():
            return self._deadline
        targets = ENGINE_RETRY_TARGETS if self._work.prompt_tokens else RETRY_TARGETS
        patience_s = targets * self._route.target_s
        return min(self._deadline, attempt.sent + patience_s)

    def may_try_other(self) -> bool:
        """Return whether the route allows another backend server, whatever became of this one."""
        return self._route.repeatable and self._sends < self._route.max_attempts

    def note_head(self, attempt: Attempt, head: AnswerHead) -> None:
        """Take in what the head of an answer tells of its backend server."""
        attempt.exchange.keep_s = head.keep_s
        if head.load is not None:
            now = self._parts.clock.monotonic()
            self._parts.placer.report(attempt.placement.server.id, head.load, now)

    def fail(self, attempt: Attempt, failed: AttemptFailed) -> None:
        """End an attempt that has failed."""
        self._cause = failed.cause.value
        if failed.verdict is not Verdict.NOT_RUN:
            self._verdict = Verdict.MAY_HAVE_RUN
            if failed.cause is not FailureCause.CANCELLED:
                self._log.began(attempt.sent)
        self._tried.add(attempt.placement.server.id)
        self.end(attempt, _ending_of(failed))
        self._log.attempt(attempt.placement, self._sends, failed.cause.value, failed.detail)

    def may_go_on(self, failed: AttemptFailed) -> bool:
        """Return whether another attempt may follow one that failed so."""
        if self._left:
            return False
        return failed.verdict is Verdict.NOT_RUN or self._route.repeatable

    def failure_reason(self, failed: AttemptFailed) -> str:
        """Return the short name of a failure, for the caller and the log."""
        return "timeout" if failed.cause is FailureCause.SILENT else failed.cause.value

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
        self._log.end(outcome, status, self._verdict, self._sends, detail)

    def refuse(self, reason: str) -> Refusal:
        """Return the final answer that is true for all attempts so far."""
        left_s = self._caller_deadline - self._parts.clock.monotonic()
        return refuse(0, reason, self._verdict, left_s, self._parts.rng)


def _ending_of(failed: AttemptFailed) -> Ending:
    if failed.cause in (FailureCause.CANCELLED, FailureCause.PREEMPTED):
        return Ending.ABANDONED
    if failed.cause is FailureCause.NOT_RUN:
        return Ending.REFUSED
    return Ending.FAILED

"""Attempts of one request: retry decisions and the final verdict."""

from __future__ import annotations

import random
from collections.abc import Callable
from functools import cached_property
from typing import TYPE_CHECKING

import attrs
import gevent
import logbook
from result import Err, Ok, Result

from hickoryloom.admission.messages import RefusalReason, Refused, Request
from hickoryloom.clock import Clock
from hickoryloom.http import Call
from hickoryloom.logs import log_event
from hickoryloom.quarantine import Quarantine, digest_request, part_keys, request_key
from hickoryloom.reach import EndWitness, Reach
from hickoryloom.relay.attempt import Attempt, attempt_id
from hickoryloom.relay.engine import EngineControl
from hickoryloom.relay.headers import (
    backend_request_headers,
    backend_request_target,
    is_engine_call,
)
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing.messages import AttemptEnd, AttemptOutcome
from hickoryloom.upstream import (
    AttemptError,
    AttemptFailure,
    BufferBudget,
    BufferReservation,
    ConnectionPool,
    FailureCause,
    request_head,
)
from hickoryloom.verdict import Verdict

if TYPE_CHECKING:
    from hickoryloom.routing import Router

__all__ = ["Attempts", "ReadmitCallback", "RelayContext"]

log = logbook.Logger("hickoryloom.relay")

MAX_ATTEMPTS = 5
MAX_LOST_SERVERS = 3
"""Servers whose connection may be lost under one request before it is no longer sent: it may be
what ends them."""

RETRY_AFTER_S = 1.0
CANCEL_WAIT_S = 0.5
UNAUTHORIZED = 401
SERVER_ERROR = 500
UNAVAILABLE = 503
ReadmitCallback = Callable[[int], Refused | None]
"""Blocks until the request is readmitted, given the number of tokens delivered so far.

Returns None on readmission, else the refusal.
"""

PROMPT_ANSWERED_S = 0.1
"""Time after the first token from which a further one shows that no part of the prompt crashes the
engine."""

REQUEST_ANSWERED_S = 1.0
"""The same for the request as a whole, which may crash the engine at any later token."""

QUARANTINE_JITTER = 0.5
"""Largest random fraction added to the `Retry-After` of a request in quarantine."""

BUDGET_EXEMPT_CAUSES = frozenset((FailureCause.CONNECT, FailureCause.CONNECTION_LOST))
"""Failures of the connection, whose retries are not charged to the retry budget."""


@attrs.frozen
class RelayContext:
    """Dependencies and state that all requests of a relay share."""

    router: Router
    clock: Clock
    connections: ConnectionPool
    engine: EngineControl
    credential: str
    quarantine: Quarantine
    reach: Reach
    witness: EndWitness
    buffers: BufferBudget
    rng: random.Random = attrs.field(factory=random.Random)
    open: dict[str, Attempts] = attrs.field(factory=dict)


class Attempts:
    """Makes the attempts of one request and records their results.

    Args:
        context: What all requests of the relay share.
        request: The request.
        call: The HTTP call to forward.
        may_send: Checked immediately before the first byte of each attempt; None to always send.
    """

    def __init__(
        self,
        context: RelayContext,
        request: Request,
        call: Call,
        may_send: Callable[[], bool] | None = None,
    ) -> None:
        self._may_send = may_send
        self._context = context
        self._request = request
        self._call = call
        self._for_engine = is_engine_call(call)
        hashes = (request.prefix_hash, request.prompt_hash)
        self._parts = part_keys(request.pool, (hash for hash in hashes if hash))
        self._tried_backend_ids: set[str] = set()
        self._attempt_count = 0
        self._resumed_count = 0
        self._verdict = Verdict.NOT_RUN
        self._lost_servers = 0
        self._cancel_reason: RefusalReason | None = None
        self._readmit: ReadmitCallback | None = None
        self._preemptions = 0
        self._cancel_tasks: list[gevent.Greenlet] = []
        self._wasted_tokens = 0
        self._last_backend_id = ""
        self._begun_by: str | None = None
        self.current: Attempt | None = None
        context.open[request.id] = self

    @property
    def for_engine(self) -> bool:
        """Whether the call is addressed to a model engine."""
        return self._for_engine

    @property
    def cancel_reason(self) -> RefusalReason | None:
        """Why the request was cancelled; None if it was not."""
        return self._cancel_reason

    @property
    def verdict(self) -> Verdict:
        """Whether a backend server may have run the request, according to all attempts so far."""
        return self._verdict

    def reserve_buffer(self) -> BufferReservation:
        """Return a reservation for the parts of the response that are buffered."""
        return self._context.buffers.reserve()

    def cancel(self, reason: RefusalReason) -> None:
        """Cancel the request immediately; may be called from any greenlet."""
        if self._cancel_reason is not None:
            return
        self._cancel_reason = reason
        attempt = self.current
        if attempt is not None and attempt.exchange is not None:
            attempt.exchange.interrupt(FailureCause.CANCELLED)
            self._schedule_engine_cancel(attempt)

    def preempt(self, readmit: ReadmitCallback) -> None:
        """Interrupt the current attempt immediately; continue once `readmit` returns None.

        May be called from any greenlet; `readmit` runs in the request's own greenlet. A request
        that is not idempotent is cancelled instead.
        """
        if not self._request.idempotent:
            self.cancel(RefusalReason.PREEMPTED)
            return
        if self._cancel_reason is not None or self._readmit is not None:
            return
        self._readmit = readmit
        attempt = self.current
        if attempt is not None and attempt.exchange is not None:
            attempt.exchange.interrupt(FailureCause.PREEMPTED)
            self._schedule_engine_cancel(attempt)

    def begin(self, body: bytes, first_position: int = 0) -> Result[Attempt, Refused]:
        """Make attempts until one returns a usable response head.

        Args:
            body: Request body.
            first_position: Event position from which the response is resumed.

        Returns:
            The attempt whose response can be read, or a refusal.
        """
        while True:
            quarantined_s = self._quarantined_s()
            if quarantined_s:
                return Err(self._refuse_quarantined(quarantined_s))
            if self._context.reach.is_cut_off(self._request.pool):
                return Err(self.refusal(RefusalReason.UNREACHABLE, ""))
            attempt = self._choose_backend(first_position)
            if attempt is None:
                return Err(self.refusal(RefusalReason.NO_BACKEND, "no backend server is left"))
            try:
                self._start_attempt(attempt, body)
                return Ok(attempt)
            except AttemptError as error:
                refused = self.fail(error.failure)
            if refused is not None:
                return Err(refused)

    def fail(self, failure: AttemptFailure, resumable: bool = False) -> Refused | None:
        """End the current attempt as failed.

        Args:
            failure: The failure.
            resumable: Whether another attempt would continue where this one ended.

        Returns:
            None if another attempt may be made, else the refusal.
        """
        attempt = self.current
        assert attempt is not None
        if failure.verdict is not Verdict.NOT_RUN:
            self._verdict = Verdict.MAY_HAVE_RUN
        if failure.cause is FailureCause.CONNECTION_LOST and not attempt.answered:
            self._lost_servers += 1
            self._record_server_end(attempt)
        self._log_failure(attempt, failure)
        self._finish_attempt(attempt, _attempt_end(failure))
        if failure.cause is not FailureCause.PREEMPTED:
            self._tried_backend_ids.add(attempt.choice.backend.id)
        if self._cancel_reason is None and self._readmit is not None:
            return self._wait_for_readmission(attempt.next_position)
        return self._check_retry_allowed(failure, resumable)

    def succeed(self) -> None:
        """End the current attempt after its response was read completely."""
        attempt = self.current
        assert attempt is not None and attempt.exchange is not None
        is_server_error = attempt.exchange.status >= SERVER_ERROR
        self._verdict = Verdict.MAY_HAVE_RUN if is_server_error else Verdict.RAN
        if not is_server_error:
            self._record_answered(attempt)
        self._finish_attempt(attempt, AttemptEnd.FAILED if is_server_error else AttemptEnd.DONE)

    def abandon(self) -> None:
        """End the current attempt, if any, because its response is no longer needed."""
        if self.current is not None:
            if self.current.bytes_sent:
                self._verdict = Verdict.MAY_HAVE_RUN
            self._finish_attempt(self.current, AttemptEnd.ABANDONED)

    def record_progress(self) -> None:
        """Record that further tokens of the current attempt's stream have arrived."""
        attempt = self.current
        if attempt is None or attempt.first_token_at is None:
            return
        if self._begun_by is None:
            self._begun_by = attempt.choice.backend.software
        if attempt.answered:
            return
        now = self._context.clock.monotonic()
        if now - attempt.first_token_at >= REQUEST_ANSWERED_S:
            self._record_answered(attempt)
        elif now - attempt.first_token_at >= PROMPT_ANSWERED_S and not attempt.prompt_answered:
            attempt.prompt_answered = True
            self._context.quarantine.record_answer(self._parts, now)

    def mark_ran(self) -> None:
        """Record that a backend server ran the request, as its response shows."""
        self._verdict = Verdict.RAN

    def close(self) -> None:
        """Remove the request from the open requests."""
        self._context.open.pop(self._request.id, None)

    def refusal(self, reason: RefusalReason, detail: str) -> Refused:
        """Return a refusal that carries the verdict of all attempts."""
        return Refused(self._cancel_reason or reason, self._verdict, RETRY_AFTER_S, detail)

    def outcome(self, complete: bool, duplicates: int = 0, **figures: object) -> Outcome:
        """Close the request and return how it ended.

        Waits up to `CANCEL_WAIT_S` for pending cancels, so that their wasted tokens are counted.
        """
        self.close()
        gevent.joinall(self._cancel_tasks, timeout=CANCEL_WAIT_S)
        return Outcome(
            verdict=self._verdict,
            complete=complete,
            backend_id=self._last_backend_id,
            wasted_tokens=self._wasted_tokens + duplicates,
            finished_at=self._context.clock.monotonic(),
            attempts=self._attempt_count,
            resumed=self._resumed_count,
            **figures,  # type: ignore[arg-type]
        )

    @cached_property
    def _digest(self) -> str:
        """Digest of the request, the same whenever its caller sends it again."""
        call, request = self._call, self._request
        target = backend_request_target(request, call)
        return digest_request(request.pool, call.method, target, request.customer, call.body)

    @property
    def _request_key(self) -> str:
        return request_key(self._request.pool, self._digest)

    @property
    def _keys(self) -> tuple[str, ...]:
        """Keys under which the request may be held back now."""
        if not self._context.quarantine.watches_requests:
            return self._parts
        return (self._request_key, *self._parts)

    def _quarantined_s(self) -> float:
        return self._context.quarantine.wait_s(self._keys, self._context.clock.monotonic())

    def _refuse_quarantined(self, wait_s: float) -> Refused:
        now = self._context.clock.monotonic()
        self._context.quarantine.record_refused(self._keys, now)
        # Spread, so that refused callers don't return together.
        spread_s = wait_s * (1.0 + QUARANTINE_JITTER * self._context.rng.random())
        return attrs.evolve(self.refusal(RefusalReason.QUARANTINED, ""), retry_after_s=spread_s)

    def _record_answered(self, attempt: Attempt) -> None:
        if not attempt.answered:
            attempt.prompt_answered = attempt.answered = True
            self._context.quarantine.record_answer(self._keys, self._context.clock.monotonic())

    def _record_server_end(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        if exchange is None or exchange.last_wait_started_at is None:
            return
        backend, now = attempt.choice.backend, self._context.clock.monotonic()
        self._context.witness.examine(
            self._request.pool,
            backend.id,
            0,
            backend.address,
            lambda: self._report_server_end(attempt, exchange.status != 0, now),
        )

    def _report_server_end(self, attempt: Attempt, begun: bool, now: float) -> None:
        server, quarantine = attempt.choice.backend.id, self._context.quarantine
        quarantine.record_cut_off(server, self._request_key, attempt.started, now)
        if not attempt.prompt_answered:
            quarantine.record_end(server, self._parts, begun, attempt.started, now)

    def _choose_backend(self, first_position: int) -> Attempt | None:
        router = self._context.router
        excluded: frozenset[str] = frozenset()
        if first_position and self._begun_by is not None:
            excluded = router.ids_of_other_software(self._request.pool, self._begun_by)
        choice = router.choose(self._request, excluded.union(self._tried_backend_ids))
        if choice is None and self._tried_backend_ids:
            choice = router.choose(self._request, excluded)
        if choice is None:
            return None
        self._attempt_count += 1
        if self._attempt_count == 1:
            router.deposit_retry(self._request)
        if first_position:
            self._resumed_count += 1
        self._last_backend_id = choice.backend.id
        started = router.start_attempt(choice, self._request)
        id = attempt_id(self._request.id, self._attempt_count)
        self.current = Attempt(id, choice, started, first_position=first_position)
        return self.current

    def _start_attempt(self, attempt: Attempt, body: bytes) -> None:
        address = attempt.choice.backend.address
        new_connection = not self._request.idempotent
        head = self._build_head(attempt, address, len(body))
        try:
            exchange = self._context.connections.open(
                address, attempt.id, self._call.method, new_connection
            )
        except AttemptError:
            self._record_unreachable(attempt)
            raise
        attempt.exchange = exchange
        if self._cancel_reason is not None:
            exchange.interrupt(FailureCause.CANCELLED)
        elif self._readmit is not None:
            exchange.interrupt(FailureCause.PREEMPTED)
        self._check_send_permission()
        if self._quarantined_s():
            detail = "request was put in quarantine"
            raise AttemptError(AttemptFailure(FailureCause.NOT_RUN, Verdict.NOT_RUN, detail))
        self._context.quarantine.record_sent(self._keys, self._context.clock.monotonic())
        exchange.send(head, body)
        sent_at = self._context.clock.monotonic()
        exchange.read_head()
        self._context.reach.record_contact(
            self._request.pool, sent_at, self._context.clock.monotonic()
        )
        exchange.check_id()
        self._check_status(attempt)

    def _record_unreachable(self, attempt: Attempt) -> None:
        pool = self._request.pool
        servers = len(self._context.router.usable_addresses(pool))
        now = self._context.clock.monotonic()
        self._context.reach.record_unreachable(pool, attempt.choice.backend.id, servers, now)

    def _check_send_permission(self) -> None:
        """Cancel the request if `may_send` no longer allows sending it."""
        if self._may_send is None or self._may_send():
            return
        self.cancel(RefusalReason.PLATFORM_UNAVAILABLE)
        detail = "permission to send the request has expired"
        raise AttemptError(AttemptFailure(FailureCause.CANCELLED, Verdict.NOT_RUN, detail))

    def _build_head(self, attempt: Attempt, address: str, length: int) -> bytes:
        headers = backend_request_headers(
            self._request, self._call, attempt.id, self._context.credential
        )
        target = backend_request_target(self._request, self._call)
        try:
            return request_head(self._call.method, target, address, headers, length)
        except ValueError as error:
            failure = AttemptFailure(FailureCause.MALFORMED, Verdict.NOT_RUN, str(error))
            raise AttemptError(failure)

    def _check_status(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        assert exchange is not None
        if exchange.status == UNAVAILABLE and exchange.header("x-not-run").lower() == "true":
            raise AttemptError(AttemptFailure(FailureCause.NOT_RUN, Verdict.NOT_RUN, "not run"))
        unauthorized = exchange.status == UNAUTHORIZED
        if unauthorized or exchange.status >= SERVER_ERROR and self._request.idempotent:
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status}")

    def _wait_for_readmission(self, delivered: int) -> Refused | None:
        readmit, self._readmit = self._readmit, None
        assert readmit is not None
        self._preemptions += 1
        refused = readmit(delivered)
        if self._cancel_reason is not None:
            return self.refusal(self._cancel_reason, "")
        return refused and attrs.evolve(refused, verdict=self._verdict)

    def _check_retry_allowed(self, failure: AttemptFailure, resumable: bool) -> Refused | None:
        if self._cancel_reason is not None:
            return self.refusal(self._cancel_reason, "")
        repeatable = failure.verdict is Verdict.NOT_RUN or self._request.idempotent
        if self._lost_servers >= MAX_LOST_SERVERS:
            return self.refusal(RefusalReason.BACKEND_FAILED, failure.detail)
        if not repeatable or self._attempt_count - self._preemptions >= MAX_ATTEMPTS:
            unreachable = failure.cause is FailureCause.CONNECT
            reason = RefusalReason.UNREACHABLE if unreachable else RefusalReason.BACKEND_FAILED
            return self.refusal(reason, failure.detail)
        budget_exempt = resumable or failure.cause in BUDGET_EXEMPT_CAUSES
        if not budget_exempt and not self._context.router.try_withdraw_retry(self._request):
            return self.refusal(RefusalReason.RETRY_BUDGET, "too many retries in this pool")
        return None

    def _finish_attempt(self, attempt: Attempt, end: AttemptEnd) -> None:
        self.current = None
        self._schedule_engine_cancel(attempt)
        if attempt.exchange is not None:
            self._context.connections.close(attempt.exchange)
        now = self._context.clock.monotonic()
        outcome = AttemptOutcome(end, attempt.started, now, attempt.first_token_at, attempt.tokens)
        self._context.router.finish_attempt(attempt.choice, self._request, outcome)

    def _schedule_engine_cancel(self, attempt: Attempt) -> None:
        """Send one cancel to the engine unless its response was read completely."""
        exchange = attempt.exchange
        if exchange is None or exchange.ended or attempt.cancelling:
            return
        if self._for_engine and exchange.bytes_sent:
            attempt.cancelling = True
            self._cancel_tasks.append(gevent.spawn(self._cancel_on_engine, attempt))

    def _cancel_on_engine(self, attempt: Attempt) -> None:
        address = attempt.choice.backend.address
        self._context.engine.cancel(address, attempt.id)
        status = self._context.engine.status(address, attempt.id)
        self._wasted_tokens += max(0, status.position - attempt.next_position)

    def _log_failure(self, attempt: Attempt, failure: AttemptFailure) -> None:
        log_event(
            log,
            "attempt-failed",
            request=self._request.id,
            attempt=self._attempt_count,
            backend=attempt.choice.backend.id,
            cause=failure.cause.value,
            verdict=failure.verdict.value,
            framing=_framing_of(attempt),
            digest=self._digest,
            detail=failure.detail,
        )


def _framing_of(attempt: Attempt) -> str | None:
    framing = attempt.exchange.framing if attempt.exchange is not None else None
    return framing.value if framing is not None else None


def _attempt_end(failure: AttemptFailure) -> AttemptEnd:
    if failure.cause in (FailureCause.CANCELLED, FailureCause.PREEMPTED):
        return AttemptEnd.ABANDONED
    if failure.cause is FailureCause.NOT_RUN:
        return AttemptEnd.REFUSED
    return AttemptEnd.FAILED

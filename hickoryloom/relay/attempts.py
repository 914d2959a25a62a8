"""All attempts of one request: when another is allowed, and what is known at the end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

import attrs
import gevent
import logbook
from result import Err, Ok, Result

from hickoryloom.admission.messages import RefusalReason, Refused, Request
from hickoryloom.clock import Clock
from hickoryloom.http import Call
from hickoryloom.logs import log_event
from hickoryloom.relay.attempt import Attempt, attempt_id
from hickoryloom.relay.engine import EngineControl
from hickoryloom.relay.headers import call_headers, call_target, is_engine_call
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing.messages import AttemptEnd, AttemptOutcome
from hickoryloom.upstream import (
    AttemptError,
    AttemptFailed,
    Connections,
    FailureCause,
    request_head,
)
from hickoryloom.verdict import Verdict

if TYPE_CHECKING:
    from hickoryloom.routing import Router

__all__ = ["Attempts", "Readmit", "RelayParts"]

log = logbook.Logger("hickoryloom.relay")

MAX_ATTEMPTS = 5
RETRY_AFTER_S = 1.0
CANCEL_WAIT_S = 0.5
UNAUTHORIZED = 401
SERVER_ERROR = 500
UNAVAILABLE = 503
Readmit = Callable[[int], Refused | None]
"""Waits for leave to go on, given the tokens delivered so far; None is leave."""

FREE_RETRIES = frozenset((FailureCause.CONNECT, FailureCause.CUT))


@attrs.frozen
class RelayParts:
    """What all requests of a relay share."""

    router: Router
    clock: Clock
    connections: Connections
    engine: EngineControl
    credential: str
    open: dict[str, Attempts] = attrs.field(factory=dict)


class Attempts:
    """Makes attempts for one request and keeps count of them.

    Args:
        parts: What all requests share.
        request: The request.
        call: The call to pass on.
        may_send: Asked right before the first byte of each attempt; None for always.
    """

    def __init__(
        self,
        parts: RelayParts,
        request: Request,
        call: Call,
        may_send: Callable[[], bool] | None = None,
    ) -> None:
        self._may_send = may_send
        self._parts = parts
        self._request = request
        self._call = call
        self._for_engine = is_engine_call(call)
        self._tried: set[str] = set()
        self._number = 0
        self._resumed = 0
        self._verdict = Verdict.NOT_RUN
        self._reason: RefusalReason | None = None
        self._readmit: Readmit | None = None
        self._preemptions = 0
        self._cancels: list[gevent.Greenlet] = []
        self._wasted = 0
        self._last_backend = ""
        self.current: Attempt | None = None
        parts.open[request.id] = self

    @property
    def for_engine(self) -> bool:
        """Whether the call is for a model engine."""
        return self._for_engine

    @property
    def reason(self) -> RefusalReason | None:
        """Why the request was cancelled, None while it is wanted."""
        return self._reason

    @property
    def verdict(self) -> Verdict:
        """Whether a backend server may have run the request, by all attempts so far."""
        return self._verdict

    def cancel(self, reason: RefusalReason) -> None:
        """Give the request up; safe from any greenlet, and at once."""
        if self._reason is not None:
            return
        self._reason = reason
        attempt = self.current
        if attempt is not None and attempt.exchange is not None:
            attempt.exchange.interrupt(FailureCause.CANCELLED)
            self._stop_at_engine(attempt)

    def preempt(self, readmit: Readmit) -> None:
        """Give the backend server up at once; go on when `readmit` gives leave.

        Safe from any greenlet; `readmit` is called in the request's own. A request that may not be
        repeated is cancelled instead.
        """
        if not self._request.idempotent:
            self.cancel(RefusalReason.PREEMPTED)
            return
        if self._reason is not None or self._readmit is not None:
            return
        self._readmit = readmit
        attempt = self.current
        if attempt is not None and attempt.exchange is not None:
            attempt.exchange.interrupt(FailureCause.PREEMPTED)
            self._stop_at_engine(attempt)

    def begin(self, body: bytes, first_position: int = 0) -> Result[Attempt, Refused]:
        """Make attempts until one has the head of a response worth reading.

        Args:
            body: Body to send.
            first_position: Position from which the answer is resumed.

        Returns:
            The attempt that goes on, or why there is none.
        """
        while True:
            attempt = self._choose(first_position)
            if attempt is None:
                return Err(self.refusal(RefusalReason.NO_BACKEND, "no backend server is left"))
            try:
                self._start(attempt, body)
                return Ok(attempt)
            except AttemptError as error:
                refused = self.fail(error.failed)
            if refused is not None:
                return Err(refused)

    def fail(self, failed: AttemptFailed, resumable: bool = False) -> Refused | None:
        """End the current attempt as failed.

        Args:
            failed: Why.
            resumable: Whether another attempt would go on where this one ended.

        Returns:
            None when another attempt may be made, else the refusal.
        """
        attempt = self.current
        assert attempt is not None
        if failed.verdict is not Verdict.NOT_RUN:
            self._verdict = Verdict.MAY_HAVE_RUN
        self._log_failure(attempt, failed)
        self._finish(attempt, _end_of(failed))
        if failed.cause is not FailureCause.PREEMPTED:
            self._tried.add(attempt.choice.backend.id)
        if self._reason is None and self._readmit is not None:
            return self._await_readmission(attempt.next_position)
        return self._judge(failed, resumable)

    def succeed(self) -> None:
        """End the current attempt after its response was read to the end."""
        attempt = self.current
        assert attempt is not None and attempt.exchange is not None
        broken = attempt.exchange.status >= SERVER_ERROR
        self._verdict = Verdict.MAY_HAVE_RUN if broken else Verdict.RAN
        self._finish(attempt, AttemptEnd.FAILED if broken else AttemptEnd.DONE)

    def abandon(self) -> None:
        """End the current attempt, if any, because nobody wants its answer."""
        if self.current is not None:
            if self.current.wrote:
                self._verdict = Verdict.MAY_HAVE_RUN
            self._finish(self.current, AttemptEnd.ABANDONED)

    def note_ran(self) -> None:
        """Keep in mind that a backend server's answer was seen."""
        self._verdict = Verdict.RAN

    def close(self) -> None:
        """Forget the request."""
        self._parts.open.pop(self._request.id, None)

    def refusal(self, reason: RefusalReason, detail: str) -> Refused:
        """Return a final answer with the verdict of all attempts."""
        return Refused(self._reason or reason, self._verdict, RETRY_AFTER_S, detail)

    def outcome(self, whole: bool, duplicates: int = 0, **figures: object) -> Outcome:
        """Close the request and return how it ended.

        Waits for a moment until abandoned attempts are cancelled, so as to count their tokens.
        """
        self.close()
        gevent.joinall(self._cancels, timeout=CANCEL_WAIT_S)
        return Outcome(
            verdict=self._verdict,
            whole=whole,
            backend_id=self._last_backend,
            wasted_tokens=self._wasted + duplicates,
            finished_at=self._parts.clock.monotonic(),
            attempts=self._number,
            resumed=self._resumed,
            **figures,  # type: ignore[arg-type]
        )

    def _choose(self, first_position: int) -> Attempt | None:
        router = self._parts.router
        choice = router.choose(self._request, frozenset(self._tried))
        if choice is None and self._tried:
            choice = router.choose(self._request)
        if choice is None:
            return None
        self._number += 1
        if self._number == 1:
            router.earn_retry(self._request)
        if first_position:
            self._resumed += 1
        self._last_backend = choice.backend.id
        started = router.started(choice, self._request)
        id = attempt_id(self._request.id, self._number)
        self.current = Attempt(id, choice, started, first_position=first_position)
        return self.current

    def _start(self, attempt: Attempt, body: bytes) -> None:
        address = attempt.choice.backend.address
        fresh = not self._request.idempotent
        head = self._head(attempt, address, len(body))
        exchange = self._parts.connections.open(address, attempt.id, self._call.method, fresh)
        attempt.exchange = exchange
        if self._reason is not None:
            exchange.interrupt(FailureCause.CANCELLED)
        elif self._readmit is not None:
            exchange.interrupt(FailureCause.PREEMPTED)
        self._check_right_to_send()
        exchange.send(head, body)
        exchange.read_head()
        exchange.check_id()
        self._check_status(attempt)

    def _check_right_to_send(self) -> None:
        """Give the request up when the right to send it has ended."""
        if self._may_send is None or self._may_send():
            return
        self.cancel(RefusalReason.PLATFORM_UNAVAILABLE)
        detail = "the right to send has ended"
        raise AttemptError(AttemptFailed(FailureCause.CANCELLED, Verdict.NOT_RUN, detail))

    def _head(self, attempt: Attempt, address: str, length: int) -> bytes:
        headers = call_headers(self._request, self._call, attempt.id, self._parts.credential)
        target = call_target(self._request, self._call)
        try:
            return request_head(self._call.method, target, address, headers, length)
        except ValueError as error:
            failed = AttemptFailed(FailureCause.MALFORMED, Verdict.NOT_RUN, str(error))
            raise AttemptError(failed)

    def _check_status(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        assert exchange is not None
        if exchange.status == UNAVAILABLE and exchange.header("x-not-run").lower() == "true":
            raise AttemptError(AttemptFailed(FailureCause.NOT_RUN, Verdict.NOT_RUN, "not run"))
        unauthorized = exchange.status == UNAUTHORIZED
        if unauthorized or exchange.status >= SERVER_ERROR and self._request.idempotent:
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status}")

    def _await_readmission(self, delivered: int) -> Refused | None:
        readmit, self._readmit = self._readmit, None
        assert readmit is not None
        self._preemptions += 1
        refused = readmit(delivered)
        if self._reason is not None:
            return self.refusal(self._reason, "")
        return refused and attrs.evolve(refused, verdict=self._verdict)

    def _judge(self, failed: AttemptFailed, resumable: bool) -> Refused | None:
        if self._reason is not None:
            return self.refusal(self._reason, "")
        repeatable = failed.verdict is Verdict.NOT_RUN or self._request.idempotent
        if not repeatable or self._number - self._preemptions >= MAX_ATTEMPTS:
            return self.refusal(RefusalReason.BACKEND_FAILED, failed.detail)
        free = resumable or failed.cause in FREE_RETRIES
        if not free and not self._parts.router.may_retry(self._request):
            return self.refusal(RefusalReason.RETRY_BUDGET, "too many retries in this pool")
        return None

    def _finish(self, attempt: Attempt, end: AttemptEnd) -> None:
        self.current = None
        self._stop_at_engine(attempt)
        if attempt.exchange is not None:
            self._parts.connections.close(attempt.exchange)
        now = self._parts.clock.monotonic()
        outcome = AttemptOutcome(end, attempt.started, now, attempt.first_token_at, attempt.tokens)
        self._parts.router.finished(attempt.choice, self._request, outcome)

    def _stop_at_engine(self, attempt: Attempt) -> None:
        """Send a cancel to the engine, once, unless its response has been read to the end."""
        exchange = attempt.exchange
        if exchange is None or exchange.ended or attempt.cancelling:
            return
        if self._for_engine and exchange.wrote:
            attempt.cancelling = True
            self._cancels.append(gevent.spawn(self._cancel_at_engine, attempt))

    def _cancel_at_engine(self, attempt: Attempt) -> None:
        address = attempt.choice.backend.address
        self._parts.engine.cancel(address, attempt.id)
        status = self._parts.engine.status(address, attempt.id)
        self._wasted += max(0, status.position - attempt.next_position)

    def _log_failure(self, attempt: Attempt, failed: AttemptFailed) -> None:
        log_event(
            log,
            "attempt-failed",
            request=self._request.id,
            attempt=self._number,
            backend=attempt.choice.backend.id,
            cause=failed.cause.value,
            verdict=failed.verdict.value,
            detail=failed.detail,
        )


def _end_of(failed: AttemptFailed) -> AttemptEnd:
    if failed.cause in (FailureCause.CANCELLED, FailureCause.PREEMPTED):
        return AttemptEnd.ABANDONED
    if failed.cause is FailureCause.NOT_RUN:
        return AttemptEnd.REFUSED
    return AttemptEnd.FAILED

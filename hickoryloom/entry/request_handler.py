"""The life of one request: admit, claim, relay, account."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs
import logbook
from gevent.event import Event
from result import Err, Result

from hickoryloom.admission import Admission, Admitted, RefusalReason, Refused, Request
from hickoryloom.claims import Claim, Claims, StoredAnswer
from hickoryloom.clock import Clock
from hickoryloom.configuration import ConfigurationFollower
from hickoryloom.entry.accounting import Accounting
from hickoryloom.entry.errors import (
    answer_for_refusal,
    error_body,
    error_event,
    error_headers,
)
from hickoryloom.entry.messages import ErrorAnswer, Reply
from hickoryloom.http import Call
from hickoryloom.keys import OpenCalls, ViewGuard
from hickoryloom.relay import Outcome, Relay, RelayedResponse
from hickoryloom.verdict import Verdict

__all__ = ["Exchange", "Slices", "reply_with_error"]

log = logbook.Logger("hickoryloom.entry")

FAULT_RETRY_S = 1.0
PREEMPTED_RETRY_S = 1.0
READMISSION_WAIT_S = 15.0
MS_PER_S = 1000.0


@attrs.frozen
class Slices:
    """The parts of an entry that a request passes through."""

    clock: Clock
    follower: ConfigurationFollower
    view_guard: ViewGuard
    open_calls: OpenCalls
    admission: Admission
    claims: Claims
    relay: Relay
    accounting: Accounting


class Exchange:
    """Serves one identified request from admission to its last byte.

    Args:
        slices: The parts of the entry.
        request: The request.
        call: The call without the caller's key.
        key_hash: Hash of the caller's key, empty on a route open to all.
    """

    def __init__(self, slices: Slices, request: Request, call: Call, key_hash: str) -> None:
        self._slices = slices
        self._request = request
        self._call = call
        self._cancelled = Event()
        self._cancel_reason: RefusalReason | None = None
        self._admitted: Admitted | None = None
        self._first_admitted: Admitted | None = None
        self._settled_tokens = 0
        self._claim: Claim | None = None
        self._ended = False
        self._on_end: Callable[[], None] | None = None
        self._handle = slices.open_calls.register(key_hash, self.withdraw)

    def on_end(self, callback: Callable[[], None]) -> None:
        """Call back once when the request has ended."""
        self._on_end = callback

    def run(self) -> Reply:
        """Admit the request and begin its answer; return what to send.

        A fault of this program ends the request too, so that it holds nothing any more.
        """
        try:
            return self._run()
        except Exception:
            log.exception("request_id={} ended by a fault of this program", self._request.id)
            return self._refuse(self._fault())
        except BaseException:
            self._refuse(self._fault())
            raise

    def _fault(self) -> Refused:
        verdict = Verdict.NOT_RUN if self._first_admitted is None else Verdict.MAY_HAVE_RUN
        if self._claim is not None:
            self._slices.claims.lose(self._claim)
        return Refused(RefusalReason.INTERNAL, verdict, FAULT_RETRY_S)

    def _run(self) -> Reply:
        self._slices.accounting.arrived(self._request)
        admitted = self._slices.admission.admit(self._request, self._cancelled)
        if isinstance(admitted, Err):
            return self._refuse(self._with_cancel_reason(admitted.err_value))
        self._first_admitted = admitted.ok_value
        self._slices.accounting.started(admitted.ok_value)
        self._hold(admitted.ok_value)
        if self._request.idempotent:
            return self._relay()
        return self._run_at_most_once()

    def _hold(self, admitted: Admitted) -> None:
        self._admitted = admitted
        self._slices.admission.on_preempt(admitted, self.preempt)

    def withdraw(self) -> None:
        """End the request because its key has been withdrawn."""
        self._cancel(RefusalReason.KEY_WITHDRAWN)

    def leave(self) -> None:
        """End the request because its caller left."""
        self._cancel(RefusalReason.CALLER_LEFT)

    def preempt(self) -> None:
        """Give the slot to a request of a higher tier; go on later where the class allows it."""
        found = self._slices.follower.snapshot.classes.get(self._request.request_class)
        if found is not None and found.resumable and self._request.idempotent:
            self._slices.relay.preempt(self._request.id, self._readmit)
        else:
            self._cancel(RefusalReason.PREEMPTED)

    def _readmit(self, delivered: int) -> Refused | None:
        """Give the slot back and wait for another; return the refusal if there is none."""
        self._give_back(delivered)
        request = attrs.evolve(self._request, deadline=self._readmission_deadline())
        again = self._slices.admission.admit(request, self._cancelled)
        if isinstance(again, Err):
            return attrs.evolve(again.err_value, reason=RefusalReason.PREEMPTED, detail="")
        self._hold(again.ok_value)
        return None

    def _readmission_deadline(self) -> float:
        """Return how long an answer already begun may wait: to its class's target for the whole."""
        found = self._slices.follower.snapshot.classes.get(self._request.request_class)
        answer_s = found.answer_ms / MS_PER_S if found is not None else 0.0
        latest = self._request.arrived + answer_s
        return max(latest, self._slices.clock.monotonic() + READMISSION_WAIT_S)

    def _give_back(self, delivered: int) -> None:
        admitted, self._admitted = self._admitted, None
        if admitted is None:
            return
        now = self._slices.clock.monotonic()
        tokens = delivered - self._settled_tokens
        self._settled_tokens = delivered
        outcome = Outcome(Verdict.MAY_HAVE_RUN, whole=False, output_tokens=tokens, finished_at=now)
        self._slices.admission.finish(admitted, outcome)

    def _cancel(self, reason: RefusalReason) -> None:
        if self._ended or self._cancel_reason is not None:
            return
        if self._claim is not None and reason is not RefusalReason.KEY_WITHDRAWN:
            # A call that can't be repeated is heard to its end, so that a repeat gets its outcome.
            return
        self._cancel_reason = reason
        self._cancelled.set()
        self._slices.relay.cancel(self._request.id, reason)

    def _with_cancel_reason(self, refused: Refused) -> Refused:
        if self._cancel_reason is None:
            return refused
        return attrs.evolve(refused, reason=self._cancel_reason, detail="")

    def _relay(self) -> Reply:
        opened = self._open()
        if isinstance(opened, Err):
            return self._refuse(opened.err_value)
        answer = opened.ok_value
        return Reply(answer.status, self._headers(answer), _Body(self, answer))

    def _open(self, may_send: Callable[[], bool] | None = None) -> Result[RelayedResponse, Refused]:
        assert self._admitted is not None
        if self._cancel_reason is not None:
            return Err(Refused(self._cancel_reason, Verdict.NOT_RUN, self._retry_after_s()))
        return self._slices.relay.open(self._admitted, self._call, may_send)

    def _retry_after_s(self) -> float:
        return PREEMPTED_RETRY_S if self._cancel_reason is RefusalReason.PREEMPTED else 0.0

    def _headers(self, answer: RelayedResponse) -> list[tuple[str, str]]:
        own = [("X-Request-Id", self._request.id)]
        return [*answer.headers, *own]

    def _run_at_most_once(self) -> Reply:
        begun = self._slices.claims.begin(self._request, self._call)
        if isinstance(begun, Err):
            return self._refuse(begun.err_value)
        if isinstance(begun.ok_value, StoredAnswer):
            return self._replay(begun.ok_value)
        sent = self._slices.claims.mark_sent(begun.ok_value)
        if isinstance(sent, Err):
            return self._refuse(sent.err_value)
        self._claim = sent.ok_value
        return self._relay_claimed(sent.ok_value)

    def _relay_claimed(self, claim: Claim) -> Reply:
        opened = self._open(lambda: claim.may_send(self._slices.clock.monotonic()))
        if isinstance(opened, Err):
            self._end_claim(claim, opened.err_value.verdict)
            return self._refuse(opened.err_value)
        answer = opened.ok_value
        body = b"".join(answer)
        outcome = _outcome_of(answer)
        if not outcome.whole:
            self._end_claim(claim, outcome.verdict)
            return self._refuse(self._failure(answer, outcome), outcome)
        headers = self._headers(answer)
        self._slices.claims.complete(claim, StoredAnswer(answer.status, tuple(headers), body))
        self._end(outcome)
        return Reply(answer.status, [*headers, ("X-Verdict", outcome.verdict.value)], [body])

    def _end_claim(self, claim: Claim, verdict: Verdict) -> None:
        """End a claim without a whole answer, so that only what never ran may run again."""
        if verdict is Verdict.NOT_RUN:
            self._slices.claims.abandon(claim)
        else:
            self._slices.claims.lose(claim)

    def _replay(self, stored: StoredAnswer) -> Reply:
        now = self._slices.clock.monotonic()
        self._end(Outcome(Verdict.NOT_RUN, whole=True, finished_at=now))
        replayed = [("Idempotency-Replayed", "true"), ("X-Verdict", Verdict.RAN.value)]
        return Reply(stored.status, [*stored.headers, *replayed], [stored.body])

    def _failure(self, answer: RelayedResponse, outcome: Outcome) -> Refused:
        if self._cancel_reason is not None:
            return Refused(self._cancel_reason, outcome.verdict, self._retry_after_s())
        if answer.failure is not None:
            return answer.failure
        return Refused(RefusalReason.BACKEND_FAILED, outcome.verdict, 1.0)

    def _refuse(self, refused: Refused, outcome: Outcome | None = None) -> Reply:
        ended = outcome or Outcome(
            refused.verdict, whole=False, finished_at=self._slices.clock.monotonic()
        )
        self._slices.accounting.refused(self._request, refused)
        self._end(ended)
        return reply_with_error(answer_for_refusal(refused, self._request.id))

    def _end(self, outcome: Outcome) -> None:
        """Give back all that the request holds, once."""
        if self._ended:
            return
        self._ended = True
        if self._on_end is not None:
            self._on_end()
        self._slices.open_calls.release(self._handle)
        if self._admitted is not None:
            tokens = max(0, outcome.output_tokens - self._settled_tokens)
            unsettled = attrs.evolve(outcome, output_tokens=tokens)
            self._slices.admission.finish(self._admitted, unsettled)
        self._slices.accounting.ended(self._request, self._first_admitted, outcome)

    def finish_stream(self, answer: RelayedResponse) -> bytes:
        """Account for an answer that has been relayed; return what is still to be sent."""
        outcome = _outcome_of(answer)
        if outcome.whole:
            self._end(outcome)
            return b""
        failure = self._failure(answer, outcome)
        self._slices.accounting.refused(self._request, failure)
        self._end(outcome)
        return error_event(answer_for_refusal(failure, self._request.id))

    def abort_stream(self, answer: RelayedResponse) -> None:
        """Account for an answer whose caller left."""
        if self._ended:
            return
        self.leave()
        answer.close()
        self._end(_outcome_of(answer))


class _Body:
    """A relayed answer as WSGI iterates over it."""

    def __init__(self, exchange: Exchange, answer: RelayedResponse) -> None:
        self._exchange = exchange
        self._answer = answer

    def __iter__(self) -> Iterator[bytes]:
        yield from self._answer
        tail = self._exchange.finish_stream(self._answer)
        if tail:
            if not _is_event_stream(self._answer):
                raise ConnectionAbortedError("the answer is not whole")
            yield tail

    def close(self) -> None:
        """End the request if it has not ended, since its caller left."""
        self._exchange.abort_stream(self._answer)


def _outcome_of(answer: RelayedResponse) -> Outcome:
    assert answer.outcome is not None, "an answer that was read or closed has an outcome"
    return answer.outcome


def _is_event_stream(answer: RelayedResponse) -> bool:
    return any(
        name.lower() == "content-type" and value.startswith("text/event-stream")
        for name, value in answer.headers
    )


def reply_with_error(answer: ErrorAnswer) -> Reply:
    """Return an error as a reply that is complete at once."""
    return Reply(answer.status, error_headers(answer), [error_body(answer)])

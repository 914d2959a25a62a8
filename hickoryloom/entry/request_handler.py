"""Handling of one request: admission, claim, relay and accounting."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs
import logbook
from gevent.event import Event
from result import Err, Result

from hickoryloom.admission import Admission, Admitted, RefusalReason, Refused, Request
from hickoryloom.claims import Claim, Claims, StoredResponse
from hickoryloom.clock import Clock
from hickoryloom.configuration import ConfigurationFollower
from hickoryloom.entry.accounting import Accounting
from hickoryloom.entry.errors import error_event, reply_with_error, response_for_refusal
from hickoryloom.entry.hand_over import EntryHandOvers, HandOverCall
from hickoryloom.entry.messages import Reply
from hickoryloom.handover import HandOverReceiver
from hickoryloom.http import Call
from hickoryloom.keys import OpenCalls, ViewGuard
from hickoryloom.reach import Reach
from hickoryloom.relay import Outcome, Relay, RelayedResponse
from hickoryloom.verdict import Verdict

__all__ = ["EntryComponents", "RequestHandler"]

log = logbook.Logger("hickoryloom.entry")

MAX_CLAIMED_BODY_BYTES = 16 * 1024 * 1024
"""Largest body of a call that runs at most once; it is read whole before any of it is delivered."""

INTERNAL_ERROR_RETRY_S = 1.0
PREEMPTED_RETRY_S = 1.0
READMISSION_WAIT_S = 15.0
MS_PER_S = 1000.0


@attrs.frozen
class EntryComponents:
    """The components of an entry that handle a request."""

    clock: Clock
    follower: ConfigurationFollower
    view_guard: ViewGuard
    open_calls: OpenCalls
    admission: Admission
    claims: Claims
    relay: Relay
    accounting: Accounting
    reach: Reach
    hand_overs: EntryHandOvers
    receiver: HandOverReceiver


class RequestHandler:
    """Handles one request from admission to the last byte of its response.

    Args:
        components: The components of the entry.
        request: The request.
        call: The HTTP call, without the caller's key.
        key_hash: Hash of the caller's key; empty for a public route without a key.
        hand_over: Hands the call over to another entry; None if it may not be.
    """

    def __init__(
        self,
        components: EntryComponents,
        request: Request,
        call: Call,
        key_hash: str,
        hand_over: HandOverCall | None = None,
    ) -> None:
        self._hand_over = hand_over
        self._handed_over = False
        self._components = components
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
        self._open_call_handle = components.open_calls.register(
            key_hash, self.cancel_for_withdrawn_key
        )

    def on_end(self, callback: Callable[[], None]) -> None:
        """Set the callback that is called once when the request has ended."""
        self._on_end = callback

    def run(self) -> Reply:
        """Admit the request and start its response; return the reply.

        An unexpected exception ends the request too, so that it releases everything it holds.
        """
        try:
            return self._run()
        except Exception:
            log.exception("request_id={} failed with an internal error", self._request.id)
            return self._refuse(self._build_internal_error())
        except BaseException:
            self._refuse(self._build_internal_error())
            raise

    def _build_internal_error(self) -> Refused:
        verdict = Verdict.NOT_RUN if self._first_admitted is None else Verdict.MAY_HAVE_RUN
        if self._claim is not None:
            self._components.claims.mark_outcome_unknown(self._claim)
        return Refused(RefusalReason.INTERNAL, verdict, INTERNAL_ERROR_RETRY_S)

    def _run(self) -> Reply:
        if self._components.reach.is_cut_off(self._request.pool):
            reply = self._forward()
            if reply is not None:
                return reply
        self._components.accounting.record_arrival(self._request)
        admitted = self._components.admission.admit(self._request, self._cancelled)
        if isinstance(admitted, Err):
            return self._refuse(self._with_cancel_reason(admitted.err_value))
        self._first_admitted = admitted.ok_value
        self._components.accounting.record_start(admitted.ok_value)
        self._hold_slot(admitted.ok_value)
        if self._request.idempotent:
            return self._relay()
        return self._run_at_most_once()

    def _hold_slot(self, admitted: Admitted) -> None:
        self._admitted = admitted
        self._components.admission.on_preempt(admitted, self.preempt)

    def cancel_for_withdrawn_key(self) -> None:
        """Cancel the request because its key has been withdrawn."""
        self._cancel(RefusalReason.KEY_WITHDRAWN)

    def cancel_for_disconnect(self) -> None:
        """Cancel the request because its caller disconnected."""
        self._cancel(RefusalReason.CALLER_DISCONNECTED)

    def preempt(self) -> None:
        """Yield the slot to a higher tier.

        The request resumes later if it is idempotent and its class is resumable; otherwise it is
        cancelled.
        """
        request_class = self._components.follower.snapshot.classes.get(self._request.request_class)
        if request_class is not None and request_class.resumable and self._request.idempotent:
            self._components.relay.preempt(self._request.id, self._readmit)
        else:
            self._cancel(RefusalReason.PREEMPTED)

    def _readmit(self, delivered: int) -> Refused | None:
        """Release the slot and wait for readmission; return the refusal if it is denied."""
        self._release_slot(delivered)
        request = attrs.evolve(self._request, deadline=self._readmission_deadline())
        readmitted = self._components.admission.admit(request, self._cancelled)
        if isinstance(readmitted, Err):
            return attrs.evolve(readmitted.err_value, reason=RefusalReason.PREEMPTED, detail="")
        self._hold_slot(readmitted.ok_value)
        return None

    def _readmission_deadline(self) -> float:
        """Return the deadline of a readmission: the class's target for the complete response.

        It is at least `READMISSION_WAIT_S` from now.
        """
        request_class = self._components.follower.snapshot.classes.get(self._request.request_class)
        answer_s = request_class.answer_ms / MS_PER_S if request_class is not None else 0.0
        latest = self._request.arrived + answer_s
        return max(latest, self._components.clock.monotonic() + READMISSION_WAIT_S)

    def _release_slot(self, delivered: int) -> None:
        admitted, self._admitted = self._admitted, None
        if admitted is None:
            return
        now = self._components.clock.monotonic()
        tokens = delivered - self._settled_tokens
        self._settled_tokens = delivered
        outcome = Outcome(
            Verdict.MAY_HAVE_RUN, complete=False, output_tokens=tokens, finished_at=now
        )
        self._components.admission.finish(admitted, outcome)

    def _cancel(self, reason: RefusalReason) -> None:
        if self._ended or self._cancel_reason is not None:
            return
        if self._claim is not None and reason is not RefusalReason.KEY_WITHDRAWN:
            # A non-idempotent call is read to completion, so that a repeat gets its outcome.
            return
        self._cancel_reason = reason
        self._cancelled.set()
        self._components.relay.cancel(self._request.id, reason)

    def _with_cancel_reason(self, refused: Refused) -> Refused:
        if self._cancel_reason is None:
            return refused
        return attrs.evolve(refused, reason=self._cancel_reason, detail="")

    def _relay(self) -> Reply:
        opened = self._open_response()
        if isinstance(opened, Err):
            return self._refuse(opened.err_value)
        response = opened.ok_value
        return Reply(response.status, self._headers(response), _StreamBody(self, response))

    def _open_response(
        self, may_send: Callable[[], bool] | None = None
    ) -> Result[RelayedResponse, Refused]:
        assert self._admitted is not None
        if self._cancel_reason is not None:
            return Err(Refused(self._cancel_reason, Verdict.NOT_RUN, self._retry_after_s()))
        return self._components.relay.open(self._admitted, self._call, may_send)

    def _retry_after_s(self) -> float:
        return PREEMPTED_RETRY_S if self._cancel_reason is RefusalReason.PREEMPTED else 0.0

    def _headers(self, response: RelayedResponse) -> list[tuple[str, str]]:
        added = [("X-Request-Id", self._request.id)]
        return [*response.headers, *added]

    def _run_at_most_once(self) -> Reply:
        claimed = self._components.claims.begin(self._request, self._call)
        if isinstance(claimed, Err):
            return self._refuse(claimed.err_value)
        if isinstance(claimed.ok_value, StoredResponse):
            return self._replay(claimed.ok_value)
        marked = self._components.claims.mark_sent(claimed.ok_value)
        if isinstance(marked, Err):
            return self._refuse(marked.err_value)
        self._claim = marked.ok_value
        return self._relay_claimed(marked.ok_value)

    def _relay_claimed(self, claim: Claim) -> Reply:
        opened = self._open_response(lambda: claim.may_send(self._components.clock.monotonic()))
        if isinstance(opened, Err):
            self._end_claim(claim, opened.err_value.verdict)
            return self._refuse(opened.err_value)
        response = opened.ok_value
        body = _read_body(response)
        outcome = _require_outcome(response)
        if not outcome.complete:
            self._end_claim(claim, outcome.verdict)
            return self._refuse(self._failure(response, outcome), outcome)
        headers = self._headers(response)
        self._components.claims.complete(
            claim, StoredResponse(response.status, tuple(headers), body)
        )
        self._finalize(outcome)
        return Reply(response.status, [*headers, ("X-Verdict", outcome.verdict.value)], [body])

    def _end_claim(self, claim: Claim, verdict: Verdict) -> None:
        """End the claim of an incomplete call; only a call that did not run may run again."""
        if verdict is Verdict.NOT_RUN:
            self._components.claims.discard(claim)
        else:
            self._components.claims.mark_outcome_unknown(claim)

    def _replay(self, stored: StoredResponse) -> Reply:
        now = self._components.clock.monotonic()
        self._finalize(Outcome(Verdict.NOT_RUN, complete=True, finished_at=now))
        replayed = [("Idempotency-Replayed", "true"), ("X-Verdict", Verdict.RAN.value)]
        return Reply(stored.status, [*stored.headers, *replayed], [stored.body])

    def _failure(self, response: RelayedResponse, outcome: Outcome) -> Refused:
        if self._cancel_reason is not None:
            return Refused(self._cancel_reason, outcome.verdict, self._retry_after_s())
        if response.failure is not None:
            return response.failure
        return Refused(RefusalReason.BACKEND_FAILED, outcome.verdict, 1.0)

    def _forward(self) -> Reply | None:
        """Hand the call over; return None if no other entry can serve it."""
        if self._hand_over is None:
            return None
        reply = self._hand_over(self._request.pool, self._request.id)
        if reply is not None:
            self._handed_over = True
            now = self._components.clock.monotonic()
            self._finalize(Outcome(Verdict.NOT_RUN, complete=False, finished_at=now))
        return reply

    def _refuse(self, refused: Refused, outcome: Outcome | None = None) -> Reply:
        if refused.reason is RefusalReason.UNREACHABLE and refused.verdict is Verdict.NOT_RUN:
            reply = self._forward()
            if reply is not None:
                return reply
        ended = outcome or Outcome(
            refused.verdict, complete=False, finished_at=self._components.clock.monotonic()
        )
        self._components.accounting.record_refusal(self._request, refused)
        self._finalize(ended)
        return reply_with_error(response_for_refusal(refused, self._request.id))

    def _finalize(self, outcome: Outcome) -> None:
        """Release all resources of the request; does nothing after the first call."""
        if self._ended:
            return
        self._ended = True
        if self._on_end is not None:
            self._on_end()
        self._components.open_calls.release(self._open_call_handle)
        if self._admitted is not None:
            tokens = max(0, outcome.output_tokens - self._settled_tokens)
            unsettled = attrs.evolve(outcome, output_tokens=tokens)
            self._components.admission.finish(self._admitted, unsettled)
        if not self._handed_over:
            self._components.accounting.record_end(self._request, self._first_admitted, outcome)

    def finish_stream(self, response: RelayedResponse) -> bytes:
        """Account for a relayed response; return the error event to append, if any."""
        outcome = _require_outcome(response)
        if outcome.complete:
            self._finalize(outcome)
            return b""
        failure = self._failure(response, outcome)
        self._components.accounting.record_refusal(self._request, failure)
        self._finalize(outcome)
        return error_event(response_for_refusal(failure, self._request.id))

    def abort_stream(self, response: RelayedResponse) -> None:
        """Account for a response whose caller disconnected."""
        if self._ended:
            return
        self.cancel_for_disconnect()
        response.close()
        self._finalize(_require_outcome(response))


class _StreamBody:
    """WSGI body iterable of a relayed response."""

    def __init__(self, handler: RequestHandler, response: RelayedResponse) -> None:
        self._handler = handler
        self._response = response

    def __iter__(self) -> Iterator[bytes]:
        yield from self._response
        error_block = self._handler.finish_stream(self._response)
        if error_block:
            if not self._response.delivers_whole_events:
                raise ConnectionAbortedError("the response is incomplete")
            yield error_block

    def close(self) -> None:
        """End the request if the caller disconnected before its end."""
        self._handler.abort_stream(self._response)


def _read_body(response: RelayedResponse) -> bytes:
    """Read a response that is kept for repetitions; one that is too large is cancelled."""
    chunks: list[bytes] = []
    size = 0
    for chunk in response:
        chunks.append(chunk)
        size += len(chunk)
        if size > MAX_CLAIMED_BODY_BYTES:
            response.cancel(RefusalReason.BACKEND_FAILED)
            response.close()
            return b""
    return b"".join(chunks)


def _require_outcome(response: RelayedResponse) -> Outcome:
    assert response.outcome is not None, "a response that was read or closed has an outcome"
    return response.outcome

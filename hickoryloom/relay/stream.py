"""A streamed completion, resumed on another engine when its stream fails."""

from __future__ import annotations

import json
from collections.abc import Generator
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from hickoryloom.admission.messages import RefusalReason, Refused
from hickoryloom.clock import Clock
from hickoryloom.http import Call
from hickoryloom.relay.assembly import StreamAssembler, StreamFault
from hickoryloom.relay.attempt import Attempt
from hickoryloom.relay.attempts import Attempts
from hickoryloom.relay.response import RelayedResponse, read_count
from hickoryloom.upstream import AttemptError, AttemptFailure, Exchange, FailureCause
from hickoryloom.verdict import Verdict

if TYPE_CHECKING:
    from hickoryloom.routing import Router

__all__ = ["StreamedResponse"]

FAULT_CAUSES = {
    StreamFault.WRONG_RESPONSE: FailureCause.WRONG_RESPONSE,
    StreamFault.TOO_LARGE: FailureCause.TOO_LARGE,
    StreamFault.ENGINE_ERROR: FailureCause.STATUS,
}


class StreamedResponse(RelayedResponse):
    """Relays one completion, stitched together from one or more attempts.

    Args:
        attempts: The request's attempts; the response head of the current one has been read.
        assembler: Merges the streams of the attempts.
        call: The HTTP call, from which the bodies of further attempts are built.
        headers: Headers for the caller.
        router: Notified of first tokens.
        clock: Source of time.
    """

    delivers_whole_events = True

    def __init__(
        self,
        attempts: Attempts,
        assembler: StreamAssembler,
        call: Call,
        headers: tuple[tuple[str, str], ...],
        router: Router,
        clock: Clock,
    ) -> None:
        super().__init__(attempts, 200, headers)
        self._assembler = assembler
        self._call = call
        self._router = router
        self._monotonic = clock.monotonic
        self._first_block = b""
        self._first_token_at: float | None = None
        self._last_token_at = 0.0
        self._worst_gap_s = 0.0

    def prefetch(self) -> Result[None, Refused]:
        """Read up to the first bytes for the caller, while the request can still be refused."""
        self._begin_stream()
        while not self._first_block and not self._assembler.complete:
            self._first_block = self._next_block()
            if self.failure is not None:
                self._finalize()
                return Err(self.failure)
        return Ok(None)

    def _produce(self) -> Generator[bytes, None, None]:
        try:
            if self._first_block:
                yield self._first_block
            assembler = self._assembler
            while not assembler.complete:
                block = self._next_block()
                if block:
                    yield block
                if self.failure is not None:
                    return
        finally:
            self._finalize()

    def _begin_stream(self) -> None:
        attempt = self._attempts.current
        assert attempt is not None
        self._assembler.begin_attempt(attempt.id)

    def _next_block(self) -> bytes:
        """Return the next bytes for the caller; empty with `failure` set if there are none."""
        assembler = self._assembler
        while True:
            attempt = self._attempts.current
            assert attempt is not None and attempt.exchange is not None
            exchange = attempt.exchange
            try:
                raw = exchange.read()
                if not raw:
                    raise exchange.error(
                        FailureCause.CONNECTION_LOST, "ended before its terminator"
                    )
                position = assembler.next_position
                block = assembler.feed(raw)
                self._record_tokens(attempt, assembler.next_position - position)
            except AttemptError as error:
                block = self._recover(error.failure)
            else:
                if assembler.fault is not None:
                    block += self._recover(self._describe_fault(assembler.fault))
            if block or self.failure is not None or assembler.complete:
                return block

    def _record_tokens(self, attempt: Attempt, tokens: int) -> None:
        if not tokens:
            return
        now = self._monotonic()
        attempt.tokens += tokens
        if attempt.first_token_at is None:
            attempt.first_token_at = now
            self._router.record_first_token(attempt.choice, attempt.started)
        if self._first_token_at is None:
            self._first_token_at = now
        elif now - self._last_token_at > self._worst_gap_s:
            self._worst_gap_s = now - self._last_token_at
        self._last_token_at = now
        self._attempts.record_progress()

    def _describe_fault(self, fault: StreamFault) -> AttemptFailure:
        cause = FAULT_CAUSES.get(fault, FailureCause.MALFORMED)
        return AttemptFailure(cause, Verdict.MAY_HAVE_RUN, f"stream fault: {fault.value}")

    def _recover(self, failure: AttemptFailure) -> bytes:
        """Continue after a failed attempt; return the terminator if only that was missing."""
        refused = self._attempts.fail(failure, resumable=self._assembler.next_position > 0)
        end = self._assembler.finish()
        if end:
            self._attempts.mark_ran()
            return end
        if refused is not None:
            self.failure = refused
            return b""
        self._resume()
        return b""

    def _resume(self) -> None:
        position = self._assembler.next_position
        body = self._build_body()
        if body is None:
            self.failure = self._attempts.refusal(
                RefusalReason.BACKEND_FAILED, "the text so far can't be resumed"
            )
            return
        next_attempt = self._attempts.begin(body, position)
        if isinstance(next_attempt, Err):
            self.failure = next_attempt.err_value
            return
        exchange = next_attempt.ok_value.exchange
        assert exchange is not None
        if exchange.status != 200:
            self.failure = self._attempts.refusal(
                RefusalReason.BACKEND_FAILED, f"resume answered with status {exchange.status}"
            )
            return
        self._begin_stream()

    def _build_body(self) -> bytes | None:
        if not self._assembler.next_position:
            return self._call.body
        try:
            text = self._assembler.text
            body: dict[str, Any] = json.loads(self._call.body)
        except ValueError:
            return None
        body["resume"] = {"position": self._assembler.next_position, "text": text}
        return json.dumps(body).encode()

    def _finalize(self) -> None:
        if self.outcome is not None:
            return
        assembler = self._assembler
        current = self._attempts.current
        if assembler.complete and current is not None and current.exchange is not None:
            self._finish_exchange(current.exchange)
        else:
            self._attempts.abandon()
        if self.failure is None and not assembler.complete:
            self.failure = self._attempts.refusal(RefusalReason.CALLER_DISCONNECTED, "")
        usage = assembler.usage or {}
        self.outcome = self._attempts.outcome(
            assembler.complete,
            duplicates=assembler.duplicates,
            prompt_tokens=read_count(usage, "prompt_tokens"),
            output_tokens=read_count(usage, "completion_tokens", assembler.next_position),
            first_token_at=self._first_token_at,
            worst_gap_s=self._worst_gap_s,
        )

    def _finish_exchange(self, exchange: Exchange) -> None:
        exchange.id_confirmed = True
        exchange.read_remainder()
        self._attempts.succeed()

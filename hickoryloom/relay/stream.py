"""A streamed answer of an engine, resumed on another one when its stream fails."""

from __future__ import annotations

import json
from collections.abc import Generator
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from hickoryloom.admission.messages import RefusalReason, Refused
from hickoryloom.clock import Clock
from hickoryloom.http import Call
from hickoryloom.relay.assembly import AnswerAssembly, StreamFault
from hickoryloom.relay.attempt import Attempt
from hickoryloom.relay.attempts import Attempts
from hickoryloom.relay.response import Answer, read_count
from hickoryloom.upstream import AttemptError, AttemptFailed, Exchange, FailureCause
from hickoryloom.verdict import Verdict

if TYPE_CHECKING:
    from hickoryloom.routing import Router

__all__ = ["StreamAnswer"]

FAULT_CAUSES = {
    StreamFault.CROSSED: FailureCause.CROSSED,
    StreamFault.TOO_LARGE: FailureCause.TOO_LARGE,
    StreamFault.ENGINE_ERROR: FailureCause.STATUS,
}


class StreamAnswer(Answer):
    """Relays one answer from as many attempts as it takes.

    Args:
        attempts: The request's attempts, the current one with the head of its response read.
        assembly: Puts the answer together.
        call: The call, for another attempt's body.
        headers: Headers for the caller.
        router: Is told of first tokens.
        clock: Source of time.
    """

    def __init__(
        self,
        attempts: Attempts,
        assembly: AnswerAssembly,
        call: Call,
        headers: tuple[tuple[str, str], ...],
        router: Router,
        clock: Clock,
    ) -> None:
        super().__init__(attempts, 200, headers)
        self._assembly = assembly
        self._call = call
        self._router = router
        self._monotonic = clock.monotonic
        self._first_block = b""
        self._first_token_at: float | None = None
        self._last_token_at = 0.0
        self._worst_gap_s = 0.0

    def read_first(self) -> Result[None, Refused]:
        """Read up to the first bytes for the caller, so that it may still be refused."""
        self._expect()
        while not self._first_block and not self._assembly.complete:
            self._first_block = self._next_block()
            if self.failure is not None:
                self._end()
                return Err(self.failure)
        return Ok(None)

    def _produce(self) -> Generator[bytes, None, None]:
        try:
            if self._first_block:
                yield self._first_block
            assembly = self._assembly
            while not assembly.complete:
                block = self._next_block()
                if self.failure is not None:
                    return
                yield block
        finally:
            self._end()

    def _expect(self) -> None:
        attempt = self._attempts.current
        assert attempt is not None
        self._assembly.begin_attempt(attempt.id)

    def _next_block(self) -> bytes:
        """Return the next bytes for the caller; empty with `failure` set when there are none."""
        assembly = self._assembly
        while True:
            attempt = self._attempts.current
            assert attempt is not None and attempt.exchange is not None
            exchange = attempt.exchange
            try:
                raw = exchange.read()
                if not raw:
                    raise exchange.error(FailureCause.CUT, "ended before its terminator")
                position = assembly.next_position
                block = assembly.feed(raw)
                self._count(attempt, assembly.next_position - position)
            except AttemptError as error:
                block = self._recover(error.failed)
            else:
                if assembly.fault is not None:
                    block += self._recover(self._describe(assembly.fault))
            if block or self.failure is not None or assembly.complete:
                return block

    def _count(self, attempt: Attempt, tokens: int) -> None:
        if not tokens:
            return
        now = self._monotonic()
        attempt.tokens += tokens
        if attempt.first_token_at is None:
            attempt.first_token_at = now
            self._router.first_token(attempt.choice, attempt.started)
        if self._first_token_at is None:
            self._first_token_at = now
        elif now - self._last_token_at > self._worst_gap_s:
            self._worst_gap_s = now - self._last_token_at
        self._last_token_at = now

    def _describe(self, fault: StreamFault) -> AttemptFailed:
        cause = FAULT_CAUSES.get(fault, FailureCause.MALFORMED)
        return AttemptFailed(cause, Verdict.MAY_HAVE_RUN, f"stream fault: {fault.value}")

    def _recover(self, failed: AttemptFailed) -> bytes:
        """Go on after a failed attempt; return the terminator if only that was missing."""
        refused = self._attempts.fail(failed, resumable=self._assembly.next_position > 0)
        end = self._assembly.finish()
        if end:
            self._attempts.note_ran()
            return end
        if refused is not None:
            self.failure = refused
            return b""
        self._resume()
        return b""

    def _resume(self) -> None:
        position = self._assembly.next_position
        body = self._body()
        if body is None:
            self.failure = self._attempts.refusal(
                RefusalReason.BACKEND_FAILED, "the text so far can't be resumed"
            )
            return
        begun = self._attempts.begin(body, position)
        if isinstance(begun, Err):
            self.failure = begun.err_value
            return
        exchange = begun.ok_value.exchange
        assert exchange is not None
        if exchange.status != 200:
            self.failure = self._attempts.refusal(
                RefusalReason.BACKEND_FAILED, f"resume answered with status {exchange.status}"
            )
            return
        self._expect()

    def _body(self) -> bytes | None:
        if not self._assembly.next_position:
            return self._call.body
        try:
            text = self._assembly.text
            body: dict[str, Any] = json.loads(self._call.body)
        except ValueError:
            return None
        body["resume"] = {"position": self._assembly.next_position, "text": text}
        return json.dumps(body).encode()

    def _end(self) -> None:
        if self.outcome is not None:
            return
        assembly = self._assembly
        current = self._attempts.current
        if assembly.complete and current is not None and current.exchange is not None:
            self._close_whole(current.exchange)
        else:
            self._attempts.abandon()
        if self.failure is None and not assembly.complete:
            self.failure = self._attempts.refusal(RefusalReason.CALLER_LEFT, "")
        usage = assembly.usage or {}
        self.outcome = self._attempts.outcome(
            assembly.complete,
            duplicates=assembly.duplicates,
            prompt_tokens=read_count(usage, "prompt_tokens"),
            output_tokens=read_count(usage, "completion_tokens", assembly.next_position),
            first_token_at=self._first_token_at,
            worst_gap_s=self._worst_gap_s,
        )

    def _close_whole(self, exchange: Exchange) -> None:
        exchange.confirmed = True
        exchange.read_end()
        self._attempts.succeed()

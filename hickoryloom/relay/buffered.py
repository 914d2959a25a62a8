"""An answer that is not a stream of events: whole at once, or passed on as it comes."""

from __future__ import annotations

import json
from collections.abc import Generator
from typing import Any

from result import Err, Ok, Result

from hickoryloom.admission.messages import RefusalReason, Refused, Request
from hickoryloom.clock import Clock
from hickoryloom.http import Call
from hickoryloom.relay.attempt import Attempt
from hickoryloom.relay.attempts import Attempts
from hickoryloom.relay.headers import answer_headers
from hickoryloom.relay.response import Answer, read_count
from hickoryloom.upstream import AttemptError, Exchange, FailureCause

__all__ = ["WholeAnswer"]

BUFFERED_BYTES = 1024 * 1024
MAX_MODEL_ANSWER_BYTES = 16 * 1024 * 1024


class WholeAnswer(Answer):
    """Relays one response, read to its end first unless it is large.

    Args:
        attempts: The request's attempts, the current one with the head of its response read.
        request: The request.
        call: The call, for another attempt.
        clock: Source of time.
    """

    def __init__(self, attempts: Attempts, request: Request, call: Call, clock: Clock) -> None:
        super().__init__(attempts, 0, ())
        self._request = request
        self._call = call
        self._clock = clock
        self._body: list[bytes] = []
        self._usage: dict[str, Any] = {}
        self._first_byte_at: float | None = None
        self._whole = False

    def read_first(self) -> Result[None, Refused]:
        """Read the response, or of a large one the beginning, so that it may still be refused."""
        while True:
            attempt = self._attempts.current
            assert attempt is not None
            try:
                self._read_beginning(attempt)
                return Ok(None)
            except AttemptError as error:
                refused = self._attempts.fail(error.failed)
            if refused is None:
                begun = self._attempts.begin(self._call.body)
                refused = begun.err_value if isinstance(begun, Err) else None
            if refused is not None:
                self.failure = refused
                self._end()
                return Err(refused)

    def _read_beginning(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        assert exchange is not None
        self.status = exchange.status
        self.headers = answer_headers(exchange.headers)
        for_model = self._attempts.for_engine and exchange.status == 200
        limit = MAX_MODEL_ANSWER_BYTES if for_model else BUFFERED_BYTES
        self._body = []
        size = 0
        while size <= limit and (block := exchange.read()):
            self._body.append(block)
            size += len(block)
            self._note_first(attempt)
        if for_model:
            self._check_model_answer(attempt, exchange, size)
        if exchange.ended:
            self.headers += (("content-length", str(sum(map(len, self._body)))),)

    def _check_model_answer(self, attempt: Attempt, exchange: Exchange, size: int) -> None:
        if size > MAX_MODEL_ANSWER_BYTES:
            raise exchange.error(FailureCause.TOO_LARGE, "answer is too large")
        raw = b"".join(self._body)
        try:
            answer = json.loads(raw)
            answer_id = answer["id"]
        except (KeyError, RecursionError, TypeError, ValueError) as error:
            raise exchange.error(FailureCause.MALFORMED, f"not an answer: {error}")
        if answer_id != attempt.id:
            raise exchange.error(FailureCause.CROSSED, "answer to another request")
        exchange.confirmed = True
        usage = answer.get("usage")
        self._usage = usage if isinstance(usage, dict) else {}
        self._body = [raw.replace(attempt.id.encode(), self._request.id.encode(), 1)]

    def _note_first(self, attempt: Attempt) -> None:
        if attempt.first_token_at is None:
            attempt.first_token_at = self._clock.monotonic()
            self._first_byte_at = attempt.first_token_at

    def _produce(self) -> Generator[bytes, None, None]:
        try:
            exchange = self._attempts.current.exchange if self._attempts.current else None
            assert exchange is not None
            body, self._body = self._body, []
            yield from body
            while block := exchange.read():
                yield block
            self._whole = True
        except AttemptError as error:
            refused = self._attempts.fail(error.failed)
            self.failure = refused or self._attempts.refusal(
                RefusalReason.BACKEND_FAILED, error.failed.detail
            )
        finally:
            self._end()

    def _end(self) -> None:
        if self.outcome is not None:
            return
        if self._whole:
            self._attempts.succeed()
        else:
            self._attempts.abandon()
        if self.failure is None and not self._whole:
            self.failure = self._attempts.refusal(RefusalReason.CALLER_LEFT, "")
        self.outcome = self._attempts.outcome(
            self._whole,
            prompt_tokens=read_count(self._usage, "prompt_tokens"),
            output_tokens=read_count(self._usage, "completion_tokens") if self._whole else 0,
            first_token_at=self._first_byte_at,
        )

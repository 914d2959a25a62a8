"""A response that is not an event stream: buffered completely, or streamed if it is large."""

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
from hickoryloom.relay.headers import caller_response_headers
from hickoryloom.relay.response import RelayedResponse, read_count
from hickoryloom.upstream import (
    TAIL_BYTES,
    AttemptError,
    Exchange,
    FailureCause,
    check_end_of_events,
)

__all__ = ["BufferedResponse"]

BUFFERED_BYTES = 1024 * 1024
MAX_COMPLETION_BYTES = 16 * 1024 * 1024


class BufferedResponse(RelayedResponse):
    """Relays one response, buffered completely before delivery unless it is large.

    Args:
        attempts: The request's attempts; the response head of the current one has been read.
        request: The request.
        call: The HTTP call, resent by further attempts.
        clock: Source of time.
    """

    def __init__(self, attempts: Attempts, request: Request, call: Call, clock: Clock) -> None:
        super().__init__(attempts, 0, ())
        self._request = request
        self._call = call
        self._clock = clock
        self._blocks: list[bytes] = []
        self._buffered = attempts.reserve_buffer()
        self._usage: dict[str, Any] = {}
        self._first_byte_at: float | None = None
        self._tail = b""
        self._complete = False

    def prefetch(self) -> Result[None, Refused]:
        """Buffer the response, or the start of a large one, while it can still be refused."""
        while True:
            attempt = self._attempts.current
            assert attempt is not None
            try:
                self._read_prefix(attempt)
                return Ok(None)
            except AttemptError as error:
                refused = self._attempts.fail(error.failure)
            if refused is None:
                next_attempt = self._attempts.begin(self._call.body)
                refused = next_attempt.err_value if isinstance(next_attempt, Err) else None
            if refused is not None:
                self.failure = refused
                self._finalize()
                return Err(refused)

    def _read_prefix(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        assert exchange is not None
        self.status = exchange.status
        self.headers = caller_response_headers(exchange.headers)
        is_completion = self._attempts.for_engine and exchange.status == 200
        limit = MAX_COMPLETION_BYTES if is_completion else BUFFERED_BYTES
        self._blocks = []
        self._tail = b""
        size = 0
        self._buffered.release()
        while size <= limit and (block := self._read_block(exchange)):
            self._blocks.append(block)
            size += len(block)
            self._record_first_byte(attempt)
            if not self._buffered.resize(size):
                raise exchange.error(FailureCause.TOO_LARGE, f"response of {size} bytes or more")
        if is_completion:
            self._check_completion(attempt, exchange, size)
        if exchange.ended:
            self.headers += (("content-length", str(sum(map(len, self._blocks)))),)

    def _read_block(self, exchange: Exchange) -> bytes:
        """Return the next bytes of the body, or an empty string at its end.

        Raises:
            AttemptError: The response is truncated or malformed.
        """
        block = exchange.read()
        self._tail = (self._tail + block)[-TAIL_BYTES:]
        if exchange.ended:
            check_end_of_events(exchange, self._tail)
        return block

    def _check_completion(self, attempt: Attempt, exchange: Exchange, size: int) -> None:
        if size > MAX_COMPLETION_BYTES:
            raise exchange.error(FailureCause.TOO_LARGE, "answer is too large")
        raw = b"".join(self._blocks)
        try:
            completion = json.loads(raw)
            completion_id = completion["id"]
        except (KeyError, RecursionError, TypeError, ValueError) as error:
            raise exchange.error(FailureCause.MALFORMED, f"not an answer: {error}")
        if completion_id != attempt.id:
            raise exchange.error(FailureCause.WRONG_RESPONSE, "answer to another request")
        exchange.id_confirmed = True
        usage = completion.get("usage")
        self._usage = usage if isinstance(usage, dict) else {}
        self._blocks = [raw.replace(attempt.id.encode(), self._request.id.encode(), 1)]

    def _record_first_byte(self, attempt: Attempt) -> None:
        if attempt.first_token_at is None:
            attempt.first_token_at = self._clock.monotonic()
            self._first_byte_at = attempt.first_token_at

    def _produce(self) -> Generator[bytes, None, None]:
        try:
            exchange = self._attempts.current.exchange if self._attempts.current else None
            assert exchange is not None
            body, self._blocks = self._blocks, []
            yield from body
            self._buffered.release()
            while block := self._read_block(exchange):
                yield block
            self._complete = True
        except AttemptError as error:
            refused = self._attempts.fail(error.failure)
            self.failure = refused or self._attempts.refusal(
                RefusalReason.BACKEND_FAILED, error.failure.detail
            )
        finally:
            self._finalize()

    def _finalize(self) -> None:
        if self.outcome is not None:
            return
        self._buffered.release()
        if self._complete:
            self._attempts.succeed()
        else:
            self._attempts.abandon()
        if self.failure is None and not self._complete:
            self.failure = self._attempts.refusal(RefusalReason.CALLER_DISCONNECTED, "")
        self.outcome = self._attempts.outcome(
            self._complete,
            prompt_tokens=read_count(self._usage, "prompt_tokens"),
            output_tokens=read_count(self._usage, "completion_tokens") if self._complete else 0,
            first_token_at=self._first_byte_at,
        )

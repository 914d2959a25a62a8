"""The life of one request: its answer, whole or as a stream, or a true refusal."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from result import Err

from hickoryloom.catalog import Customer, RequestKind, Route
from hickoryloom.gateway.attempts import Attempt, Attempts, GatewayParts
from hickoryloom.gateway.events import EventCutter, EventGapError
from hickoryloom.gateway.messages import CallerRequest, Refusal, Reply
from hickoryloom.placing import Ending
from hickoryloom.upstream import AttemptError, AttemptFailed, Exchange, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["Forwarding"]

MAX_ANSWER_BYTES = 16 * 1024 * 1024
"""Bound of an answer that is read whole before it is passed on."""

PROMISES = frozenset((408, 421, 429, 503))
"""Statuses by which a caller is told that its request has not run."""

SERVER_ERROR = 500

SILENCE_GAPS = 6.0
"""Allowed pauses after which a silent resumable stream goes on at another backend server."""

SILENCE_MIN_S = 1.2
"""Shortest such silence: callers wait for two seconds."""


class Forwarding:
    """Serves one request whose route and customer are known.

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
        self._attempts = Attempts(parts, request, route, service, customer, arrived)

    def leave(self) -> None:
        """Take in that the caller has closed its connection; safe from any greenlet."""
        self._attempts.leave()

    def run(self) -> Reply | Refusal:
        """Make attempts until one has an answer for the caller, or no further one is allowed."""
        while True:
            begun = self._attempts.begin(None)
            if isinstance(begun, Err):
                return self._give_up(begun.err_value)
            attempt = begun.ok_value
            try:
                return self._answer(attempt)
            except AttemptError as error:
                self._attempts.fail(attempt, error.failed)
                if not self._attempts.may_follow(error.failed):
                    return self._give_up(self._attempts.refuse())

    def _answer(self, attempt: Attempt) -> Reply:
        """Read the answer, a stream's up to its first event.

        Raises:
            AttemptError: There is no sound answer.
        """
        exchange = attempt.exchange
        exchange.read_until = self._attempts.head_deadline(attempt)
        self._read_head(attempt)
        exchange.read_until = self._attempts.deadline
        if exchange.status in PROMISES:
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status} without a promise")
        if _is_success(exchange) and self._route.kind is RequestKind.STREAM:
            return self._begin_stream(attempt)
        if exchange.status >= SERVER_ERROR and self._attempts.retryable:
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status}")
        return self._whole(attempt)

    def _read_head(self, attempt: Attempt) -> None:
        """Read the head of an answer and take in what it tells.

        Raises:
            AttemptError: The backend server has not run the request, or the answer is not sound.
        """
        exchange = attempt.exchange
        exchange.read_head(skip_foreign=True)
        exchange.check_id()
        head = self._parts.backends.read_head(exchange.status, exchange.headers)
        self._attempts.note_head(attempt, head)
        if head.not_run or head.misdirected:
            detail = f"status {exchange.status}"
            raise AttemptError(AttemptFailed(FailureCause.NOT_RUN, Verdict.NOT_RUN, detail))
        self._attempts.accept()
        if _is_success(exchange) and not (head.signed and exchange.confirmed):
            raise exchange.error(FailureCause.MALFORMED, "success without signature or id")
        if exchange.header("content-encoding"):
            raise exchange.error(FailureCause.MALFORMED, "an encoded body was not asked for")

    def _whole(self, attempt: Attempt) -> Reply:
        """Read an answer to its end before any of it is passed on."""
        exchange = attempt.exchange
        status, headers = exchange.status, exchange.headers
        blocks: list[bytes] = []
        size = 0
        while block := exchange.read():
            blocks.append(block)
            size += len(block)
            if size > MAX_ANSWER_BYTES:
                raise exchange.error(FailureCause.TOO_LARGE, "answer is too large")
        failed = status >= SERVER_ERROR
        self._attempts.complete(attempt, Ending.FAILED if failed else Ending.DONE, status)
        kept = self._parts.backends.answer_headers(headers)
        return Reply(status, kept, iter(blocks), size)

    def _begin_stream(self, attempt: Attempt) -> Reply:
        """Read up to the first whole event; the caller gets the rest as it comes."""
        exchange = attempt.exchange
        status, headers = exchange.status, exchange.headers
        cutter = EventCutter(self._request.resume_after)
        exchange.read_until = self._attempts.head_deadline(attempt)
        first = self._read_events(attempt, cutter)
        self._note_first_event(attempt)
        kept = self._parts.backends.answer_headers(headers)
        return Reply(status, kept, self._stream(attempt, cutter, first))

    def _note_first_event(self, attempt: Attempt) -> None:
        now = self._parts.clock.monotonic()
        if not attempt.prompt_read:
            attempt.prompt_read = True
            self._parts.placer.first_token(attempt.placement, now - attempt.sent)
        self._attempts.log.first_event(now)

    def _stream(self, attempt: Attempt, cutter: EventCutter, first: bytes) -> Iterator[bytes]:
        """Yield events to the end, going on at another backend server where that is allowed."""
        current = attempt
        events = first
        try:
            while events:
                yield events
                try:
                    events = self._read_events(current, cutter)
                except AttemptError as error:
                    self._attempts.fail(current, error.failed)
                    current, events = self._resume(cutter, error.failed)
            if cutter.rest:
                yield cutter.rest
            self._attempts.complete(current, Ending.DONE, 200)
        finally:
            # The caller may have left between two events.
            if not current.ended:
                self._attempts.end(current, Ending.ABANDONED)
                self._attempts.log_end("abandoned", 0)

    def _read_events(self, attempt: Attempt, cutter: EventCutter) -> bytes:
        """Return the next whole events, empty at the end of the stream.

        Raises:
            AttemptError: The stream is cut, silent or unsound.
        """
        exchange = attempt.exchange
        began = self._parts.clock.monotonic()
        if self._attempts.retryable and attempt.prompt_read:
            silence_s = max(SILENCE_MIN_S, SILENCE_GAPS * self._route.max_gap_s)
            exchange.read_until = min(self._attempts.deadline, began + silence_s)
        else:
            exchange.read_until = self._attempts.deadline
        while block := exchange.read():
            try:
                events = cutter.feed(block)
            except EventGapError as error:
                raise exchange.error(FailureCause.MALFORMED, str(error))
            if events:
                self._attempts.log.gap(self._parts.clock.monotonic() - began)
                return events
        return b""

    def _resume(self, cutter: EventCutter, failed: AttemptFailed) -> tuple[Attempt, bytes]:
        """Go on after the last event at another backend server.

        Raises:
            ConnectionAbortedError: There is none; the caller sees that its answer is not whole.
        """
        while self._route.resumable and not self._attempts.left:
            cutter.drop_rest()
            begun = self._attempts.begin(cutter.last_id)
            if isinstance(begun, Err):
                failed = attrs.evolve(failed, detail=f"{failed.detail}; {begun.err_value.reason}")
                break
            attempt = begun.ok_value
            try:
                self._check_resumed(attempt)
                events = self._read_events(attempt, cutter)
            except AttemptError as error:
                self._attempts.fail(attempt, error.failed)
                failed = error.failed
                continue
            self._note_first_event(attempt)
            return attempt, events
        self._attempts.log_end(
            "abandoned" if self._attempts.left else "broken-off", 200, failed.detail
        )
        raise ConnectionAbortedError("the answer is not whole")

    def _check_resumed(self, attempt: Attempt) -> None:
        self._read_head(attempt)
        exchange = attempt.exchange
        if not _is_success(exchange):
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status} to a resumption")

    def _give_up(self, refusal: Refusal) -> Refusal:
        self._attempts.log_end("refused", refusal.status, refusal.reason)
        return refusal


def _is_success(exchange: Exchange) -> bool:
    return 200 <= exchange.status < 300

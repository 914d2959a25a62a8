"""The life of one request: its answer, whole or as a stream, or a true refusal."""

from __future__ import annotations

from collections.abc import Iterator

import attrs
from result import Err

from hickoryloom.catalog import RequestKind
from hickoryloom.gateway.attempts import Attempt, Attempts
from hickoryloom.gateway.events import EventCutter, EventGapError
from hickoryloom.gateway.messages import Refusal, Reply
from hickoryloom.placing import Ending
from hickoryloom.upstream import AttemptError, AttemptFailed, FailureCause
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


class Forwarding(Attempts):
    """Serves one request whose route and customer are known."""

    def run(self) -> Reply | Refusal:
        """Make attempts until one has an answer for the caller, or no further one is allowed."""
        while True:
            begun = self.begin(None)
            if isinstance(begun, Err):
                return self._give_up(begun.err_value)
            attempt = begun.ok_value
            try:
                return self._answer(attempt)
            except AttemptError as error:
                self.fail(attempt, error.failed)
                if not self.may_go_on(error.failed):
                    return self._give_up(self.refuse(self.failure_reason(error.failed)))

    def _answer(self, attempt: Attempt) -> Reply:
        """Read the answer, a stream's up to its first event.

        Raises:
            AttemptError: There is no sound answer.
        """
        exchange = attempt.exchange
        exchange.read_until = self.head_deadline(attempt)
        exchange.read_head(skip_foreign=True)
        exchange.check_id()
        exchange.read_until = self._deadline
        head = self._parts.backends.read_head(exchange.status, exchange.headers)
        self.note_head(attempt, head)
        if head.not_run or head.misdirected:
            detail = f"status {exchange.status}"
            raise AttemptError(AttemptFailed(FailureCause.NOT_RUN, Verdict.NOT_RUN, detail))
        self._verdict = Verdict.MAY_HAVE_RUN
        success = 200 <= exchange.status < 300
        if success and not (head.signed and exchange.confirmed):
            raise exchange.error(FailureCause.MALFORMED, "success without signature or id")
        if exchange.header("content-encoding"):
            raise exchange.error(FailureCause.MALFORMED, "an encoded body was not asked for")
        if exchange.status in PROMISES:
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status} without a promise")
        if success and self._route.kind is RequestKind.STREAM:
            return self._begin_stream(attempt)
        if exchange.status >= SERVER_ERROR and self.may_try_other():
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status}")
        return self._whole(attempt)

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
        self._verdict = Verdict.RAN
        self._log.began(attempt.sent)
        failed = status >= SERVER_ERROR
        self.end(attempt, Ending.FAILED if failed else Ending.DONE)
        self.log_end("answered", status)
        kept = self._parts.backends.answer_headers(headers)
        return Reply(status, kept, iter(blocks), size)

    def _begin_stream(self, attempt: Attempt) -> Reply:
        """Read up to the first whole event; the caller gets the rest as it comes."""
        exchange = attempt.exchange
        status, headers = exchange.status, exchange.headers
        cutter = EventCutter(self._request.resume_after)
        exchange.read_until = self.head_deadline(attempt)
        first = self._read_events(attempt, cutter)
        self._note_first_event(attempt)
        kept = self._parts.backends.answer_headers(headers)
        return Reply(status, kept, self._stream(attempt, cutter, first))

    def _note_first_event(self, attempt: Attempt) -> None:
        now = self._parts.clock.monotonic()
        if not attempt.prompt_read:
            attempt.prompt_read = True
            self._parts.placer.first_token(attempt.placement, now - attempt.sent)
        self._log.first_event(now)

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
                    self.fail(current, error.failed)
                    current, events = self._resume(cutter, error.failed)
            if cutter.rest:
                yield cutter.rest
            self._verdict = Verdict.RAN
            self.end(current, Ending.DONE)
            self.log_end("answered", 200)
        finally:
            # The caller may have left between two events.
            if not current.ended:
                self.end(current, Ending.ABANDONED)
                self.log_end("abandoned", 0)

    def _read_events(self, attempt: Attempt, cutter: EventCutter) -> bytes:
        """Return the next whole events, empty at the end of the stream.

        Raises:
            AttemptError: The stream is cut, silent or unsound.
        """
        exchange = attempt.exchange
        began = self._parts.clock.monotonic()
        if self.may_try_other() and attempt.prompt_read:
            silence_s = max(SILENCE_MIN_S, SILENCE_GAPS * self._route.max_gap_s)
            exchange.read_until = min(self._deadline, began + silence_s)
        else:
            exchange.read_until = self._deadline
        while block := exchange.read():
            try:
                events = cutter.feed(block)
            except EventGapError as error:
                raise exchange.error(FailureCause.MALFORMED, str(error))
            if events:
                self._log.gap(self._parts.clock.monotonic() - began)
                return events
        return b""

    def _resume(self, cutter: EventCutter, failed: AttemptFailed) -> tuple[Attempt, bytes]:
        """Go on after the last event at another backend server.

        Raises:
            ConnectionAbortedError: There is none; the caller sees that its answer is not whole.
        """
        while self._route.resumable and not self._left:
            cutter.drop_rest()
            begun = self.begin(cutter.last_id)
            if isinstance(begun, Err):
                failed = attrs.evolve(failed, detail=f"{failed.detail}; {begun.err_value.reason}")
                break
            attempt = begun.ok_value
            try:
                self._check_resumed(attempt)
                events = self._read_events(attempt, cutter)
            except AttemptError as error:
                self.fail(attempt, error.failed)
                failed = error.failed
                continue
            self._note_first_event(attempt)
            return attempt, events
        self.log_end("abandoned" if self._left else "broken-off", 200, failed.detail)
        raise ConnectionAbortedError("the answer is not whole")

    def _check_resumed(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        exchange.read_head(skip_foreign=True)
        exchange.check_id()
        head = self._parts.backends.read_head(exchange.status, exchange.headers)
        self.note_head(attempt, head)
        if head.not_run or head.misdirected:
            detail = f"status {exchange.status}"
            raise AttemptError(AttemptFailed(FailureCause.NOT_RUN, Verdict.NOT_RUN, detail))
        if not 200 <= exchange.status < 300 or not (head.signed and exchange.confirmed):
            raise exchange.error(FailureCause.STATUS, f"status {exchange.status} to a resumption")

    def _give_up(self, refusal: Refusal) -> Refusal:
        self.log_end("refused", refusal.status, refusal.reason)
        return refusal

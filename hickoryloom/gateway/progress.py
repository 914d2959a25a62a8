"""Execution state of one request, and the rules for retrying it. Performs no I/O.

A request that must run at most once is retried only while it is certain that it has not run. The
same state determines the error response: a caller is told that its request has not run only if that
is certain.
"""

from __future__ import annotations

import attrs

from hickoryloom.catalog import Route
from hickoryloom.upstream import AttemptFailure, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["MAX_FAILED_CONNECTS", "NO_MEMORY", "STOPPING", "RequestProgress"]

NO_MEMORY = "no-memory"
"""Cause of refusals of requests for which there is no memory left."""

STOPPING = "stopping"
"""Cause of refusals of requests that are not completed since their process stops."""

MAX_FAILED_CONNECTS = 4
"""Maximum number of failed connection attempts per request. They are counted apart from
sends, since nothing was sent on them."""


@attrs.define
class RequestProgress:
    """Execution state of one request.

    Attributes:
        route: Its route.
        deadline: Monotonic time after which no attempt is sent, in seconds.
        verdict: Whether a backend server may have run the request.
        sends: Number of attempts that were sent.
        failed_connects: Number of failed connection attempts.
        excluded: Ids of the backend servers that must not be chosen again.
        caller_disconnected: Whether the caller has closed its connection.
        given_up: Whether the request has been ended by this instance.
        given_up_because: Cause of that.
        handed_over: Whether it may have been sent to another instance.
        cause: Cause of the last failed attempt; empty if none has failed.
    """

    route: Route
    deadline: float
    verdict: Verdict = Verdict.NOT_RUN
    sends: int = 0
    failed_connects: int = 0
    excluded: set[str] = attrs.field(factory=set)
    caller_disconnected: bool = False
    given_up: bool = False
    given_up_because: str = NO_MEMORY
    handed_over: bool = False
    cause: str = ""

    @property
    def retryable(self) -> bool:
        """Whether the request may be retried even if the current attempt may have run it."""
        return self.route.repeatable and self.sends < self._max_sends

    @property
    def _max_sends(self) -> int:
        return max(1, self.route.max_attempts)

    def blocking_reason(self, now: float) -> str:
        """Return the reason why the request must not be sent now, or an empty string."""
        if self.caller_disconnected:
            return "caller-left"
        if self.given_up:
            return self.given_up_because
        if now >= self.deadline:
            return "timeout"
        if self.verdict is not Verdict.NOT_RUN and not self.route.repeatable:
            return self.cause or "may-have-run"
        if self.sends >= self._max_sends:
            return self.cause or "attempts"
        return ""

    @property
    def is_unreachable(self) -> bool:
        """Whether no further connection to a backend server is tried."""
        return self.failed_connects >= MAX_FAILED_CONNECTS

    def may_retry(self, failure: AttemptFailure) -> bool:
        """Return whether the request may be retried after this failure."""
        if self.caller_disconnected or self.given_up:
            return False
        return failure.verdict is Verdict.NOT_RUN or self.route.repeatable

    def record_unreachable(self, server: str) -> None:
        """Record a failed connection attempt to a backend server."""
        self.excluded.add(server)
        self.failed_connects += 1

    def record_sent(self) -> None:
        """Record that an attempt is about to be sent."""
        self.sends += 1

    def record_unsent(self) -> None:
        """Record that nothing was written of the attempt that was about to be sent."""
        self.sends -= 1
        self.failed_connects += 1

    def record_accepted(self) -> None:
        """Record that a backend server has accepted the request for execution."""
        self.verdict = Verdict.MAY_HAVE_RUN

    def record_completed(self) -> None:
        """Record that the response was read completely."""
        self.verdict = Verdict.RAN

    def record_failed(self, server: str, failure: AttemptFailure) -> None:
        """Record a failed attempt at a backend server."""
        self.cause = "timeout" if failure.cause is FailureCause.TIMED_OUT else failure.cause.value
        if self.given_up:
            self.cause = self.given_up_because
        self.excluded.add(server)
        if failure.verdict is not Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN

"""How far one request has come at backend servers, and what may follow; pure.

A request that must run once is sent again only while it surely has not run. What is known of it
decides the final answer too: a caller is told that its request has not run only if that is sure.
"""

from __future__ import annotations

import attrs

from hickoryloom.catalog import Route
from hickoryloom.upstream import AttemptFailed, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["MAX_CONNECTS", "Progress"]

MAX_CONNECTS = 4
"""Connections tried for one request; nothing was sent on those that failed."""


@attrs.define
class Progress:
    """What has become of a request so far.

    Attributes:
        route: Its route.
        deadline: Monotonic time after which nothing is sent, in seconds.
        verdict: Whether a backend server may have run it.
        sends: Attempts that were sent.
        connects: Connections that could not be made.
        tried: Ids of the backend servers that it does not go to again.
        left: Whether its caller has closed the connection.
        cause: Why the last attempt failed; empty before.
    """

    route: Route
    deadline: float
    verdict: Verdict = Verdict.NOT_RUN
    sends: int = 0
    connects: int = 0
    tried: set[str] = attrs.field(factory=set)
    left: bool = False
    cause: str = ""

    @property
    def retryable(self) -> bool:
        """Whether another backend server may get it, whatever became of it at this one."""
        return self.route.repeatable and self.sends < self._most_sends

    @property
    def _most_sends(self) -> int:
        return max(1, self.route.max_attempts)

    def blocked(self, now: float) -> str:
        """Return why the request must not be sent now, empty when it may be."""
        if self.left:
            return "caller-left"
        if now >= self.deadline:
            return "timeout"
        if self.verdict is not Verdict.NOT_RUN and not self.route.repeatable:
            return self.cause or "may-have-run"
        if self.sends >= self._most_sends:
            return self.cause or "attempts"
        if self.connects >= MAX_CONNECTS:
            return "unreachable"
        return ""

    def may_follow(self, failed: AttemptFailed) -> bool:
        """Return whether another attempt may follow one that failed so."""
        if self.left:
            return False
        return failed.verdict is Verdict.NOT_RUN or self.route.repeatable

    def note_unreachable(self, server: str) -> None:
        """Take in that no connection to a backend server could be made."""
        self.tried.add(server)
        self.connects += 1

    def note_sent(self) -> None:
        """Take in that an attempt is about to be sent."""
        self.sends += 1

    def note_accepted(self) -> None:
        """Take in that a backend server has answered as one that runs the request."""
        self.verdict = Verdict.MAY_HAVE_RUN

    def note_answered(self) -> None:
        """Take in that the answer has been read to its end."""
        self.verdict = Verdict.RAN

    def note_failed(self, server: str, failed: AttemptFailed) -> None:
        """Take in how an attempt at a backend server failed."""
        self.cause = "timeout" if failed.cause is FailureCause.SILENT else failed.cause.value
        self.tried.add(server)
        if failed.verdict is not Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN

"""What a router remembers of one backend server."""

from __future__ import annotations

import attrs

from hickoryloom.routing.messages import (
    AttemptEnd,
    AttemptOutcome,
    BackendView,
    LoadReport,
    RoutingParts,
)

__all__ = ["TrackedBackend"]

AVERAGE_WEIGHT = 0.2
DEFAULT_SERVICE_S = 2.0
DEFAULT_FIRST_TOKEN_S = 0.1
REPORT_HALF_LIFE_S = 4.0
SLOW_START_S = 10.0
SLOW_START_PART = 0.2
FAILURES_TO_EJECT = 3
EJECTION_S = 5.0
MAX_EJECTION_S = 60.0


@attrs.define(eq=False)
class TrackedBackend:
    """One backend server with the entry's own measurements of it.

    Attributes:
        view: What the directory says.
        since: Monotonic time at which it was first seen or came back, in seconds.
        in_flight: Own attempts that it runs now.
        service_s: Average seconds of an attempt.
        first_token_s: Average seconds to the first token.
        ejected_until: Monotonic time until which it gets no work after failures.
        ejected: Whether it is ejected; past `ejected_until` it gets one probe at a time.
        probing: Whether a probe is under way.
        parts: Which parts of the policy are in use.
    """

    view: BackendView
    since: float
    in_flight: int = 0
    service_s: float = DEFAULT_SERVICE_S
    first_token_s: float = DEFAULT_FIRST_TOKEN_S
    ejected_until: float = 0.0
    ejected: bool = False
    probing: bool = False
    parts: RoutingParts = RoutingParts()
    _failures: int = 0
    _ejections: int = 0
    _others: float = 0.0
    _report_at: float | None = None
    _waiting_first: dict[float, int] = attrs.field(factory=dict)

    def apply_report(self, report: LoadReport) -> None:
        """Take a load report unless a newer one is known."""
        if self._report_at is not None and report.measured < self._report_at:
            return
        self._others = max(0.0, report.running + report.waiting - self.in_flight)
        self._report_at = report.measured

    def load(self, now: float) -> float:
        """Return the requests it probably has: own ones, and others' by an aging report."""
        if self._report_at is None or not self.parts.reports:
            return float(self.in_flight)
        age_s = max(0.0, now - self._report_at)
        return self.in_flight + self._others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)

    def expected_wait_s(self, now: float) -> float:
        """Return the seconds that a new request probably waits for its first token."""
        slots = self.view.slots * self._ramp(now)
        load = self.load(now) + 1.0
        queue_s = max(0.0, load - slots) / slots * self.service_s
        return queue_s + self._first_token_s(now) * (1.0 + load / slots)

    def usable(self, now: float) -> bool:
        """Return whether it may get work now; an ejected one gets a probe when its time is up."""
        if not self.ejected:
            return True
        return now >= self.ejected_until and not self.probing

    def start(self, now: float, stream: bool) -> None:
        """Count an attempt; a streamed one is expected to show its first token soon."""
        self.in_flight += 1
        if stream:
            self._waiting_first[now] = self._waiting_first.get(now, 0) + 1
        if self.ejected:
            self.probing = True

    def first_token(self, started: float, now: float) -> None:
        """Learn from the first token of an attempt that began at `started`."""
        self._forget_waiting(started)
        if not self.parts.response_times:
            return
        self.first_token_s += AVERAGE_WEIGHT * (now - started - self.first_token_s)

    def finish(self, outcome: AttemptOutcome, now: float) -> None:
        """Count an attempt's end and learn from it."""
        self.in_flight -= 1
        self._forget_waiting(outcome.started)
        if outcome.end is AttemptEnd.DONE:
            self.service_s += AVERAGE_WEIGHT * (outcome.finished - outcome.started - self.service_s)
            self._succeed(now)
        elif outcome.end is AttemptEnd.FAILED:
            self._fail(now)
        elif self.ejected:
            self.probing = False

    def _learn_service(self, seconds: float) -> None:
        if self.parts.response_times:
            self.service_s += AVERAGE_WEIGHT * (seconds - self.service_s)

    def _first_token_s(self, now: float) -> float:
        if not self._waiting_first or not self.parts.response_times:
            return self.first_token_s
        oldest_s = now - next(iter(self._waiting_first))
        return max(self.first_token_s, oldest_s)

    def _forget_waiting(self, started: float) -> None:
        count = self._waiting_first.pop(started, 0)
        if count > 1:
            self._waiting_first[started] = count - 1

    def _ramp(self, now: float) -> float:
        age_s = now - self.since
        if age_s >= SLOW_START_S or not self.parts.slow_start:
            return 1.0
        return max(SLOW_START_PART, age_s / SLOW_START_S)

    def _succeed(self, now: float) -> None:
        self._failures = 0
        if self.ejected:
            self.ejected = False
            self.probing = False
            self._ejections = 0
            self.since = now

    def _fail(self, now: float) -> None:
        self._failures += 1
        if not self.parts.ejection:
            return
        if not self.ejected and self._failures < FAILURES_TO_EJECT:
            return
        if self.ejected and not self.probing:
            return
        self.ejected = True
        self.probing = False
        self.ejected_until = now + min(MAX_EJECTION_S, EJECTION_S * 2.0**self._ejections)
        self._ejections += 1

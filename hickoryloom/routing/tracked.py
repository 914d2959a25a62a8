"""What a router remembers of one backend server."""

from __future__ import annotations

import bisect
from collections import deque

import attrs

from hickoryloom.routing.messages import (
    AttemptEnd,
    AttemptOutcome,
    BackendView,
    LoadReport,
    RoutingParts,
)
from hickoryloom.routing.pool_load import PoolLoad, unit_seconds

__all__ = ["TrackedBackend"]

AVERAGE_WEIGHT = 0.2
NORMAL_SLOWNESS = 1.5
STUCK_FACTOR = 4.0
REPORT_HALF_LIFE_PART = 0.1
MIN_HALF_LIFE_S = 0.1
MAX_CHANGES = 512
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
        unit_s: Average seconds of one token, or of a whole attempt without tokens; 0 before any.
        ejected_until: Monotonic time until which it gets no work after failures.
        ejected: Whether it is ejected; past `ejected_until` it gets one probe at a time.
        probing: Whether a probe is under way.
        parts: Which parts of the policy are in use.
        pool_load: What is known of the whole pool.
    """

    view: BackendView
    since: float
    in_flight: int = 0
    unit_s: float = 0.0
    ejected_until: float = 0.0
    ejected: bool = False
    probing: bool = False
    parts: RoutingParts = RoutingParts()
    pool_load: PoolLoad = attrs.field(factory=PoolLoad)
    _failures: int = 0
    _ejections: int = 0
    _others: float | None = None
    _report_at: float = 0.0
    _changes: deque[tuple[float, int]] = attrs.field(factory=lambda: deque(maxlen=MAX_CHANGES))
    _waiting_first: dict[float, int] = attrs.field(factory=dict)

    def apply_report(self, report: LoadReport) -> None:
        """Take a load report unless a newer one is known."""
        if self._others is not None and report.measured < self._report_at:
            return
        own = self._own_at(report.measured)
        others = max(0.0, float(report.running + report.waiting - own))
        self.pool_load.replace(self._others, others)
        self._others = others
        self._report_at = report.measured

    def forget(self) -> None:
        """Take its load out of the pool's, because it is gone."""
        self.pool_load.replace(self._others, None)
        self.pool_load.own -= self.in_flight
        self.pool_load = PoolLoad()
        self._others = None

    def load(self, now: float) -> float:
        """Return the requests it probably has: own ones, and others' by the last report.

        As the report ages, others' load is expected to come near the pool's mean.
        """
        if not self.parts.reports:
            return float(self.in_flight)
        mean = self.pool_load.mean
        if self._others is None:
            return self.in_flight + mean
        half_life_s = max(MIN_HALF_LIFE_S, self.pool_load.service_s * REPORT_HALF_LIFE_PART)
        weight = 0.5 ** (max(0.0, now - self._report_at) / half_life_s)
        return self.in_flight + mean + (self._others - mean) * weight

    def expected_wait_s(self, now: float) -> float:
        """Return the seconds that a new request probably waits for its first token."""
        slots = self.view.slots * self._ramp(now)
        load = self.load(now) + 1.0
        pool = self.pool_load
        queue_s = max(0.0, load - slots) / slots * pool.service_s
        wait_s = (queue_s + pool.first_token_s * (1.0 + load / slots)) * self._slowness()
        return max(wait_s, self._stuck_s(now, wait_s))

    def usable(self, now: float) -> bool:
        """Return whether it may get work now; an ejected one gets a probe when its time is up."""
        if not self.ejected:
            return True
        return now >= self.ejected_until and not self.probing

    def start(self, now: float, stream: bool) -> None:
        """Count an attempt; a streamed one is expected to show its first token soon."""
        self._change(1, now)
        if stream:
            self._waiting_first[now] = self._waiting_first.get(now, 0) + 1
        if self.ejected:
            self.probing = True

    def first_token(self, started: float, now: float) -> None:
        """Learn from the first token of an attempt that began at `started`."""
        self._forget_waiting(started)
        self.pool_load.learn_first_token(now - started)

    def finish(self, outcome: AttemptOutcome, now: float) -> None:
        """Count an attempt's end and learn from it."""
        self._change(-1, now)
        self._forget_waiting(outcome.started)
        if outcome.end is AttemptEnd.DONE:
            self._learn(outcome)
            self._succeed(now)
        elif outcome.end is AttemptEnd.FAILED:
            self._fail(now)
        elif self.ejected:
            self.probing = False

    def _change(self, by: int, now: float) -> None:
        self.in_flight += by
        self.pool_load.own += by
        self._changes.append((now, self.in_flight))

    def _own_at(self, time: float) -> int:
        """Return the own attempts that ran at `time`."""
        place = bisect.bisect(self._changes, (time, MAX_CHANGES))
        if place == 0:
            return self.in_flight if not self._changes else 0
        return self._changes[place - 1][1]

    def _learn(self, outcome: AttemptOutcome) -> None:
        self.pool_load.learn_attempt(outcome)
        unit_s = unit_seconds(outcome)
        if unit_s is not None:
            self.unit_s += (AVERAGE_WEIGHT if self.unit_s else 1.0) * (unit_s - self.unit_s)

    def _slowness(self) -> float:
        """Return its times as a multiple of the pool's, 1 while within what is normal."""
        if not self.unit_s or not self.pool_load.unit_s or not self.parts.response_times:
            return 1.0
        ratio = self.unit_s / self.pool_load.unit_s
        return ratio if ratio > NORMAL_SLOWNESS else 1.0

    def _stuck_s(self, now: float, wait_s: float) -> float:
        """Return how long its oldest stream waits for a first token, if that is suspicious."""
        if not self._waiting_first or not self.parts.response_times:
            return 0.0
        oldest_s = now - next(iter(self._waiting_first))
        return oldest_s if oldest_s > STUCK_FACTOR * wait_s else 0.0

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

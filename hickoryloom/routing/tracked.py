"""Per-backend state of the router: load, timing and health."""

from __future__ import annotations

import bisect
from collections import deque

import attrs

from hickoryloom.routing.messages import (
    AttemptEnd,
    AttemptOutcome,
    BackendView,
    LoadReport,
    RoutingFeatures,
)
from hickoryloom.routing.pool_load import PoolLoad, unit_seconds

__all__ = ["TrackedBackend"]

EWMA_WEIGHT = 0.2
MAX_NORMAL_SLOWDOWN = 1.5
STALL_FACTOR = 4.0
REPORT_HALF_LIFE_RATIO = 0.1
MIN_REPORT_HALF_LIFE_S = 0.1
MAX_IN_FLIGHT_CHANGES = 512
SLOW_START_S = 10.0
MIN_SLOW_START_RATIO = 0.2
FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 5.0
MAX_EJECTION_S = 60.0


@attrs.define(eq=False)
class TrackedBackend:
    """A backend server and the measurements that this process has made of it.

    Attributes:
        view: Current view from the directory.
        since: Monotonic time at which it was first seen or recovered, in seconds.
        in_flight: Attempts of this process in flight on it.
        unit_s: Average time per token, or per attempt for attempts without tokens, in seconds;
            0 before the first measurement.
        ejected_until: Monotonic time at which its ejection ends, in seconds.
        ejected: Whether it is ejected; after `ejected_until` it gets one probe at a time until
            a probe succeeds.
        probing: Whether a probe is in progress.
        features: Features of the routing policy to use.
        pool_load: Load and timing of the whole pool.
    """

    view: BackendView
    since: float
    in_flight: int = 0
    unit_s: float = 0.0
    ejected_until: float = 0.0
    ejected: bool = False
    probing: bool = False
    features: RoutingFeatures = RoutingFeatures()
    pool_load: PoolLoad = attrs.field(factory=PoolLoad)
    _consecutive_failures: int = 0
    _consecutive_ejections: int = 0
    _other_load: float | None = None
    _reported_at: float = 0.0
    _in_flight_changes: deque[tuple[float, int]] = attrs.field(
        factory=lambda: deque(maxlen=MAX_IN_FLIGHT_CHANGES)
    )
    _awaiting_first_token: dict[float, int] = attrs.field(factory=dict)

    def apply_report(self, report: LoadReport) -> None:
        """Apply a load report unless a newer one is already known."""
        if self._other_load is not None and report.measured < self._reported_at:
            return
        own_in_flight = self._own_in_flight_at(report.measured)
        other_load = max(0.0, float(report.running + report.waiting - own_in_flight))
        self.pool_load.update_other_load(self._other_load, other_load)
        self._other_load = other_load
        self._reported_at = report.measured

    def leave_pool(self) -> None:
        """Remove its load from the pool's totals after the backend server has gone."""
        self.pool_load.update_other_load(self._other_load, None)
        self.pool_load.own_in_flight -= self.in_flight
        self.pool_load = PoolLoad()
        self._other_load = None

    def estimated_load(self, now: float) -> float:
        """Return the estimated number of requests on it.

        This is the process's own requests in flight plus the load from other processes according
        to the last report. As the report ages, that load decays towards the pool's mean.
        """
        if not self.features.reports:
            return float(self.in_flight)
        mean_load = self.pool_load.mean_other_load
        if self._other_load is None:
            return self.in_flight + mean_load
        half_life_s = max(MIN_REPORT_HALF_LIFE_S, self.pool_load.service_s * REPORT_HALF_LIFE_RATIO)
        weight = 0.5 ** (max(0.0, now - self._reported_at) / half_life_s)
        return self.in_flight + mean_load + (self._other_load - mean_load) * weight

    def expected_wait_s(self, now: float) -> float:
        """Return the expected time to first token of a new request, in seconds."""
        slots = self.view.slots * self._slow_start_ratio(now)
        load = self.estimated_load(now) + 1.0
        pool = self.pool_load
        queue_s = max(0.0, load - slots) / slots * pool.service_s
        wait_s = (queue_s + pool.first_token_s * (1.0 + load / slots)) * self._slowdown()
        return max(wait_s, self._stall_s(now, wait_s))

    def is_usable(self, now: float) -> bool:
        """Return whether it may get a new attempt; after an ejection, only one probe at a time."""
        if not self.ejected:
            return True
        return now >= self.ejected_until and not self.probing

    def start_attempt(self, now: float, stream: bool) -> None:
        """Record the start of an attempt; for a stream, also track the wait for its first token."""
        self._change_in_flight(1, now)
        if stream:
            self._awaiting_first_token[now] = self._awaiting_first_token.get(now, 0) + 1
        if self.ejected:
            self.probing = True

    def record_first_token(self, started: float, now: float) -> None:
        """Record the first token of the attempt started at `started`."""
        self._remove_awaiting(started)
        self.pool_load.record_first_token(now - started)

    def finish_attempt(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the end of an attempt and update timing and health."""
        self._change_in_flight(-1, now)
        self._remove_awaiting(outcome.started)
        if outcome.end is AttemptEnd.DONE:
            self._record_times(outcome)
            self._record_success(now)
        elif outcome.end is AttemptEnd.FAILED:
            self._record_failure(now)
        elif self.ejected:
            self.probing = False

    def _change_in_flight(self, delta: int, now: float) -> None:
        self.in_flight += delta
        self.pool_load.own_in_flight += delta
        self._in_flight_changes.append((now, self.in_flight))

    def _own_in_flight_at(self, time: float) -> int:
        """Return the number of this process's attempts in flight at `time`."""
        index = bisect.bisect(self._in_flight_changes, (time, MAX_IN_FLIGHT_CHANGES))
        if index == 0:
            return self.in_flight if not self._in_flight_changes else 0
        return self._in_flight_changes[index - 1][1]

    def _record_times(self, outcome: AttemptOutcome) -> None:
        self.pool_load.record_attempt(outcome)
        unit_s = unit_seconds(outcome)
        if unit_s is not None:
            self.unit_s += (EWMA_WEIGHT if self.unit_s else 1.0) * (unit_s - self.unit_s)

    def _slowdown(self) -> float:
        """Return its time per token relative to the pool's; 1 within the normal range."""
        if not self.unit_s or not self.pool_load.unit_s or not self.features.response_times:
            return 1.0
        ratio = self.unit_s / self.pool_load.unit_s
        return ratio if ratio > MAX_NORMAL_SLOWDOWN else 1.0

    def _stall_s(self, now: float, wait_s: float) -> float:
        """Return how long its oldest stream has waited for a first token if stalled, else 0."""
        if not self._awaiting_first_token or not self.features.response_times:
            return 0.0
        oldest_s = now - next(iter(self._awaiting_first_token))
        return oldest_s if oldest_s > STALL_FACTOR * wait_s else 0.0

    def _remove_awaiting(self, started: float) -> None:
        count = self._awaiting_first_token.pop(started, 0)
        if count > 1:
            self._awaiting_first_token[started] = count - 1

    def _slow_start_ratio(self, now: float) -> float:
        age_s = now - self.since
        if age_s >= SLOW_START_S or not self.features.slow_start:
            return 1.0
        return max(MIN_SLOW_START_RATIO, age_s / SLOW_START_S)

    def _record_success(self, now: float) -> None:
        self._consecutive_failures = 0
        if self.ejected:
            self.ejected = False
            self.probing = False
            self._consecutive_ejections = 0
            self.since = now

    def _record_failure(self, now: float) -> None:
        self._consecutive_failures += 1
        if not self.features.ejection:
            return
        if not self.ejected and self._consecutive_failures < FAILURES_TO_EJECT:
            return
        if self.ejected and not self.probing:
            return
        self.ejected = True
        self.probing = False
        self.ejected_until = now + min(
            MAX_EJECTION_S, BASE_EJECTION_S * 2.0**self._consecutive_ejections
        )
        self._consecutive_ejections += 1

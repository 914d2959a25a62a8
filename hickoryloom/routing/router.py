"""Chooses a backend server for each attempt, at a cost that doesn't grow with their number."""

from __future__ import annotations

import random as random_module
from collections.abc import Iterable

import attrs

from hickoryloom.admission import Request
from hickoryloom.clock import Clock
from hickoryloom.routing.budget import RetryBudget
from hickoryloom.routing.messages import AttemptOutcome, BackendView, Choice, LoadReport
from hickoryloom.routing.tracked import TrackedBackend

__all__ = ["Router"]

SAMPLES = 2
OTHER_DOMAIN_S = 0.002


@attrs.define
class _Pool:
    everywhere: list[TrackedBackend] = attrs.field(factory=list)
    local: list[TrackedBackend] = attrs.field(factory=list)
    budget: RetryBudget = attrs.field(factory=RetryBudget)


class Router:
    """Weighs backend servers by the wait that a request would have there.

    Args:
        clock: Source of time.
        random: Source of random numbers.
        failure_domain: Where this entry runs; its backend servers win when waits are equal.
    """

    def __init__(
        self, clock: Clock, random: random_module.Random, failure_domain: str = ""
    ) -> None:
        self._clock = clock
        self._random = random
        self._failure_domain = failure_domain
        self._backends: dict[str, TrackedBackend] = {}
        self._pools: dict[str, _Pool] = {}

    def set_views(self, views: Iterable[BackendView]) -> None:
        """Take the directory's newest views; measurements of known backend servers are kept."""
        now = self._clock.monotonic()
        known, self._backends = self._backends, {}
        for view in views:
            tracked = known.get(view.id)
            if tracked is None:
                tracked = TrackedBackend(view, now)
            tracked.view = view
            self._backends[view.id] = tracked
        self._fill_pools()

    def report(self, backend_id: str, report: LoadReport) -> None:
        """Take a backend server's load report."""
        tracked = self._backends.get(backend_id)
        if tracked is not None:
            tracked.apply_report(report)

    def choose(self, request: Request, tried: frozenset[str] = frozenset()) -> Choice | None:
        """Return the backend server for the next attempt, None when there is none.

        Args:
            request: The request.
            tried: Ids of backend servers to avoid.
        """
        pool = self._pools.get(request.pool)
        if pool is None or not pool.everywhere:
            return None
        now = self._clock.monotonic()
        candidates = self._sample(pool.local, tried, now) + self._sample(
            pool.everywhere, tried, now
        )
        if not candidates:
            return self._any_left(pool, tried, now)
        best = min(candidates, key=lambda tracked: self._cost_s(tracked, now))
        return Choice(best.view, "least-expected-wait")

    def started(self, choice: Choice, request: Request) -> float:
        """Count an attempt and return its start, which later calls need."""
        now = self._clock.monotonic()
        tracked = self._backends.get(choice.backend.id)
        if tracked is not None:
            tracked.start(now)
        return now

    def first_token(self, choice: Choice, started: float) -> None:
        """Learn how long an attempt that began at `started` took to its first token."""
        tracked = self._backends.get(choice.backend.id)
        if tracked is not None:
            tracked.first_token(started, self._clock.monotonic())

    def finished(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Learn from an attempt's end."""
        tracked = self._backends.get(choice.backend.id)
        if tracked is not None:
            tracked.finish(outcome, self._clock.monotonic())

    def earn_retry(self, request: Request) -> None:
        """Count a first attempt towards the pool's retry budget."""
        pool = self._pools.get(request.pool)
        if pool is not None:
            pool.budget.earn()

    def may_retry(self, request: Request) -> bool:
        """Take leave for one retry from the pool's budget."""
        pool = self._pools.get(request.pool)
        return pool is not None and pool.budget.spend()

    def in_flight(self) -> int:
        """Return the attempts that run now."""
        return sum(tracked.in_flight for tracked in self._backends.values())

    def _fill_pools(self) -> None:
        for pool in self._pools.values():
            pool.everywhere = []
            pool.local = []
        for tracked in self._backends.values():
            view = tracked.view
            pool = self._pools.setdefault(view.pool, _Pool())
            if view.leaving:
                continue
            pool.everywhere.append(tracked)
            if view.failure_domain == self._failure_domain:
                pool.local.append(tracked)

    def _sample(
        self, backends: list[TrackedBackend], tried: frozenset[str], now: float
    ) -> list[TrackedBackend]:
        if not backends:
            return []
        drawn = self._random.choices(backends, k=SAMPLES)
        return [one for one in drawn if one.view.id not in tried and one.usable(now)]

    def _any_left(self, pool: _Pool, tried: frozenset[str], now: float) -> Choice | None:
        untried = [one for one in pool.everywhere if one.view.id not in tried]
        if not untried:
            return None
        usable = [one for one in untried if one.usable(now)]
        best = min(usable or untried, key=lambda tracked: self._cost_s(tracked, now))
        return Choice(best.view, "only-one-left" if usable else "all-ejected")

    def _cost_s(self, tracked: TrackedBackend, now: float) -> float:
        wait_s = tracked.expected_wait_s(now)
        if tracked.view.failure_domain != self._failure_domain:
            wait_s += OTHER_DOMAIN_S
        return wait_s

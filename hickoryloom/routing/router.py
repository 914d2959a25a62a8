"""Selects a backend server for each attempt.

The cost of a decision is nearly independent of the number of backend servers.
"""

from __future__ import annotations

import random as random_module
from collections.abc import Iterable

import attrs

from hickoryloom.admission.messages import Request
from hickoryloom.clock import Clock
from hickoryloom.routing.affinity import PrefixAffinity
from hickoryloom.routing.budget import RetryBudget
from hickoryloom.routing.messages import (
    AttemptEnd,
    AttemptOutcome,
    BackendView,
    CacheEvent,
    Choice,
    LoadReport,
    RoutingFeatures,
)
from hickoryloom.routing.pool_load import PoolLoad
from hickoryloom.routing.tracked import TrackedBackend

__all__ = ["Router"]

SAMPLE_SIZE = 4
MAX_CACHING_CANDIDATES = 3
MAX_HASHED_CANDIDATES = 2
CROSS_DOMAIN_PENALTY_S = 0.002
PREFILL_S_PER_TOKEN = 0.0001
HASHED_HIT_RATIO = 0.5
LOW_LOAD_SLOT_RATIO = 0.25


@attrs.define
class _PoolState:
    backends: list[TrackedBackend] = attrs.field(factory=list)
    local: list[TrackedBackend] = attrs.field(factory=list)
    affinity: PrefixAffinity = attrs.field(factory=PrefixAffinity)
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    load: PoolLoad = attrs.field(factory=PoolLoad)


@attrs.define(order=True)
class _Candidate:
    cost_s: float
    reason: str = attrs.field(order=False)
    tracked: TrackedBackend = attrs.field(order=False)


class Router:
    """Scores a few backend servers and selects the one with the shortest expected wait.

    These are a random sample and, for a request with a prompt prefix, those that may have the
    prefix cached.

    Args:
        clock: Source of monotonic time.
        random: Source of random numbers.
        failure_domain: Failure domain of this process; its backend servers are preferred when
            expected waits are equal.
        features: Features of the routing policy to use.
    """

    def __init__(
        self,
        clock: Clock,
        random: random_module.Random,
        failure_domain: str = "",
        features: RoutingFeatures | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._failure_domain = failure_domain
        self._features = features or RoutingFeatures()
        self._backends: dict[str, TrackedBackend] = {}
        self._pools: dict[str, _PoolState] = {}

    @property
    def pools(self) -> list[str]:
        """Names of the pools that have, or had, registered backend servers."""
        return list(self._pools)

    def set_views(self, views: Iterable[BackendView]) -> None:
        """Apply the directory's current views, keeping measurements of known backend servers."""
        now = self._clock.monotonic()
        known, self._backends = self._backends, {}
        for view in views:
            tracked = known.get(view.id)
            if tracked is None:
                pool = self._pools.setdefault(view.pool, _PoolState())
                tracked = TrackedBackend(view, now, features=self._features, pool_load=pool.load)
            tracked.view = view
            self._backends[view.id] = tracked
        for id in known.keys() - self._backends.keys():
            known[id].leave_pool()
        self._rebuild_pools()

    def usable_addresses(self, pool: str) -> dict[str, str]:
        """Return the addresses of a pool's backend servers that are not leaving, by id."""
        state = self._pools.get(pool)
        backends = state.backends if state is not None else []
        return {tracked.view.id: tracked.view.address for tracked in backends}

    def is_registered(self, id: str) -> bool:
        """Return whether a backend server is registered, leaving or not."""
        return id in self._backends

    def apply_load_report(self, backend_id: str, report: LoadReport) -> None:
        """Apply a load report of a backend server."""
        tracked = self._backends.get(backend_id)
        if tracked is not None:
            tracked.apply_report(report)

    def apply_cache_event(self, backend_id: str, event: CacheEvent) -> None:
        """Apply an engine's cache event."""
        tracked = self._backends.get(backend_id)
        if tracked is None or not self._features.cache_events:
            return
        affinity = self._pools[tracked.view.pool].affinity
        affinity.record(event.prefix_hash, backend_id, event.cached, self._clock.monotonic())

    def choose(self, request: Request, tried: frozenset[str] = frozenset()) -> Choice | None:
        """Return the backend server for the next attempt, or None if none is available.

        Args:
            request: Request to route.
            tried: IDs of backend servers to exclude.
        """
        pool = self._pools.get(request.pool)
        if pool is None or not pool.backends:
            return None
        now = self._clock.monotonic()
        prefill_s = request.prompt_tokens * PREFILL_S_PER_TOKEN if request.prefix_hash else 0.0
        candidates = self._score_sampled(pool, tried, now, prefill_s)
        if request.prefix_hash and self._features.affinity:
            candidates += self._score_by_prefix(pool, request.prefix_hash, tried, now, prefill_s)
        if not candidates:
            return self._choose_from_all(pool, tried, now)
        best = min(candidates)
        return Choice(best.tracked.view, best.reason)

    def ids_of_other_software(self, pool: str, software: str) -> frozenset[str]:
        """Return the ids of a pool's backend servers whose software is not of a version."""
        state = self._pools.get(pool)
        backends = state.backends if state is not None else []
        return frozenset(
            tracked.view.id for tracked in backends if tracked.view.software != software
        )

    def start_attempt(self, choice: Choice, request: Request) -> float:
        """Record the start of an attempt and return its start time, which later calls require."""
        now = self._clock.monotonic()
        tracked = self._backends.get(choice.backend.id)
        if tracked is not None:
            tracked.start_attempt(now, request.stream)
        return now

    def record_first_token(self, choice: Choice, started: float) -> None:
        """Record that the attempt started at `started` has produced its first token."""
        tracked = self._backends.get(choice.backend.id)
        if tracked is not None:
            tracked.record_first_token(started, self._clock.monotonic())

    def finish_attempt(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Record the outcome of an attempt."""
        tracked = self._backends.get(choice.backend.id)
        if tracked is None:
            return
        now = self._clock.monotonic()
        tracked.finish_attempt(outcome, now)
        if request.prefix_hash and outcome.end is AttemptEnd.DONE:
            affinity = self._pools[tracked.view.pool].affinity
            affinity.record(request.prefix_hash, choice.backend.id, True, now)

    def deposit_retry(self, request: Request) -> None:
        """Credit a first attempt to the pool's retry budget."""
        pool = self._pools.get(request.pool)
        if pool is not None:
            pool.budget.deposit()

    def try_withdraw_retry(self, request: Request) -> bool:
        """Withdraw one retry from the pool's budget; return False if it is exhausted."""
        pool = self._pools.get(request.pool)
        return pool is not None and pool.budget.try_withdraw()

    def in_flight(self) -> int:
        """Return the number of attempts in flight."""
        return sum(tracked.in_flight for tracked in self._backends.values())

    def _rebuild_pools(self) -> None:
        for pool in self._pools.values():
            pool.backends = []
            pool.local = []
        for tracked in self._backends.values():
            view = tracked.view
            pool = self._pools.setdefault(view.pool, _PoolState())
            if view.leaving:
                continue
            pool.backends.append(tracked)
            if view.failure_domain == self._failure_domain:
                pool.local.append(tracked)
        for pool in self._pools.values():
            pool.affinity.set_backends([tracked.view.id for tracked in pool.backends])

    def _score_sampled(
        self, pool: _PoolState, tried: frozenset[str], now: float, prefill_s: float
    ) -> list[_Candidate]:
        sampled = self._sample(pool.backends)
        if self._features.failure_domain:
            sampled += self._sample(pool.local)
        return [
            self._score(tracked, now, prefill_s, "least-expected-wait")
            for tracked in sampled
            if tracked.view.id not in tried and tracked.is_usable(now)
        ]

    def _score_by_prefix(
        self, pool: _PoolState, prefix: str, tried: frozenset[str], now: float, prefill_s: float
    ) -> list[_Candidate]:
        """Score the backend servers that may have the prefix cached.

        Those above both the mean load and the low-load threshold are left out, so that affinity
        does not overload them.
        """
        caching_ids = pool.affinity.caching_backends(prefix, now)[:MAX_CACHING_CANDIDATES]
        costs = dict.fromkeys(caching_ids, 0.0)
        for id in pool.affinity.hashed_backends(prefix)[:MAX_HASHED_CANDIDATES]:
            costs.setdefault(id, prefill_s * (1.0 - HASHED_HIT_RATIO))
        candidates = []
        mean_load = pool.load.mean_other_load + pool.load.own_in_flight / len(pool.backends)
        for id, extra_s in costs.items():
            tracked = self._backends.get(id)
            if tracked is None or id in tried or tracked.view.leaving or not tracked.is_usable(now):
                continue
            if tracked.estimated_load(now) > max(
                mean_load, LOW_LOAD_SLOT_RATIO * tracked.view.slots
            ):
                continue
            reason = "prefix-cached" if id in caching_ids else "prefix-hashed"
            candidates.append(self._score(tracked, now, extra_s, reason))
        return candidates

    def _sample(self, backends: list[TrackedBackend]) -> list[TrackedBackend]:
        return self._random.choices(backends, k=SAMPLE_SIZE) if backends else []

    def _choose_from_all(
        self, pool: _PoolState, tried: frozenset[str], now: float
    ) -> Choice | None:
        """Choose among all backend servers when no sampled one is usable."""
        untried = [tracked for tracked in pool.backends if tracked.view.id not in tried]
        if not untried:
            return None
        usable = [tracked for tracked in untried if tracked.is_usable(now)]
        reason = "only-ones-left" if usable else "all-ejected"
        best = min(self._score(tracked, now, 0.0, reason) for tracked in usable or untried)
        return Choice(best.tracked.view, best.reason)

    def _score(
        self, tracked: TrackedBackend, now: float, extra_s: float, reason: str
    ) -> _Candidate:
        cost_s = tracked.expected_wait_s(now) + extra_s
        if self._features.failure_domain and tracked.view.failure_domain != self._failure_domain:
            cost_s += CROSS_DOMAIN_PENALTY_S
        return _Candidate(cost_s, reason, tracked)

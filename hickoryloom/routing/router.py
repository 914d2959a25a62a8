"""Chooses a backend server for each attempt, at a cost that hardly grows with their number."""

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
    RoutingParts,
)
from hickoryloom.routing.pool_load import PoolLoad
from hickoryloom.routing.tracked import TrackedBackend

__all__ = ["Router"]

SAMPLES = 4
MAX_HOLDERS_WEIGHED = 3
MAX_HASHED_WEIGHED = 2
OTHER_DOMAIN_S = 0.002
PREFILL_S_PER_TOKEN = 0.0001
HASHED_HIT_PART = 0.5
FREE_SLOTS_PART = 0.25


@attrs.define
class _Pool:
    everywhere: list[TrackedBackend] = attrs.field(factory=list)
    local: list[TrackedBackend] = attrs.field(factory=list)
    affinity: PrefixAffinity = attrs.field(factory=PrefixAffinity)
    budget: RetryBudget = attrs.field(factory=RetryBudget)
    load: PoolLoad = attrs.field(factory=PoolLoad)


@attrs.define(order=True)
class _Weighed:
    cost_s: float
    reason: str = attrs.field(order=False)
    tracked: TrackedBackend = attrs.field(order=False)


class Router:
    """Weighs a few backend servers by the wait that a request would have there.

    Args:
        clock: Source of time.
        random: Source of random numbers.
        failure_domain: Where this entry runs; its backend servers win when waits are equal.
        parts: Which parts of the policy are in use.
    """

    def __init__(
        self,
        clock: Clock,
        random: random_module.Random,
        failure_domain: str = "",
        parts: RoutingParts | None = None,
    ) -> None:
        self._clock = clock
        self._random = random
        self._failure_domain = failure_domain
        self._parts = parts or RoutingParts()
        self._backends: dict[str, TrackedBackend] = {}
        self._pools: dict[str, _Pool] = {}

    def set_views(self, views: Iterable[BackendView]) -> None:
        """Take the directory's newest views; measurements of known backend servers are kept."""
        now = self._clock.monotonic()
        known, self._backends = self._backends, {}
        for view in views:
            tracked = known.get(view.id)
            if tracked is None:
                pool = self._pools.setdefault(view.pool, _Pool())
                tracked = TrackedBackend(view, now, parts=self._parts, pool_load=pool.load)
            tracked.view = view
            self._backends[view.id] = tracked
        for id in known.keys() - self._backends.keys():
            known[id].forget()
        self._fill_pools()

    def report(self, backend_id: str, report: LoadReport) -> None:
        """Take a backend server's load report."""
        tracked = self._backends.get(backend_id)
        if tracked is not None:
            tracked.apply_report(report)

    def cache_event(self, backend_id: str, event: CacheEvent) -> None:
        """Take an engine's word on its prefix cache."""
        tracked = self._backends.get(backend_id)
        if tracked is None or not self._parts.cache_events:
            return
        affinity = self._pools[tracked.view.pool].affinity
        affinity.note(event.prefix_hash, backend_id, event.cached, self._clock.monotonic())

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
        prefill_s = request.prompt_tokens * PREFILL_S_PER_TOKEN if request.prefix_hash else 0.0
        weighed = self._weigh_sampled(pool, tried, now, prefill_s)
        if request.prefix_hash and self._parts.affinity:
            weighed += self._weigh_by_prefix(pool, request.prefix_hash, tried, now, prefill_s)
        if not weighed:
            return self._choose_any(pool, tried, now)
        best = min(weighed)
        return Choice(best.tracked.view, best.reason)

    def started(self, choice: Choice, request: Request) -> float:
        """Count an attempt and return its start, which later calls need."""
        now = self._clock.monotonic()
        tracked = self._backends.get(choice.backend.id)
        if tracked is not None:
            tracked.start(now, request.stream)
        return now

    def first_token(self, choice: Choice, started: float) -> None:
        """Learn how long an attempt that began at `started` took to its first token."""
        tracked = self._backends.get(choice.backend.id)
        if tracked is not None:
            tracked.first_token(started, self._clock.monotonic())

    def finished(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Learn from an attempt's end."""
        tracked = self._backends.get(choice.backend.id)
        if tracked is None:
            return
        now = self._clock.monotonic()
        tracked.finish(outcome, now)
        if request.prefix_hash and outcome.end is AttemptEnd.DONE:
            affinity = self._pools[tracked.view.pool].affinity
            affinity.note(request.prefix_hash, choice.backend.id, True, now)

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
        for pool in self._pools.values():
            pool.affinity.set_backends([tracked.view.id for tracked in pool.everywhere])

    def _weigh_sampled(
        self, pool: _Pool, tried: frozenset[str], now: float, prefill_s: float
    ) -> list[_Weighed]:
        sampled = self._sample(pool.everywhere)
        if self._parts.failure_domain:
            sampled += self._sample(pool.local)
        return [
            self._weigh(one, now, prefill_s, "least-expected-wait")
            for one in sampled
            if one.view.id not in tried and one.usable(now)
        ]

    def _weigh_by_prefix(
        self, pool: _Pool, prefix: str, tried: frozenset[str], now: float, prefill_s: float
    ) -> list[_Weighed]:
        """Weigh where the prefix may be cached, but only those without more than mean load."""
        holders = pool.affinity.holders(prefix, now)[:MAX_HOLDERS_WEIGHED]
        costs = dict.fromkeys(holders, 0.0)
        for id in pool.affinity.hashed(prefix)[:MAX_HASHED_WEIGHED]:
            costs.setdefault(id, prefill_s * (1.0 - HASHED_HIT_PART))
        weighed = []
        mean = pool.load.mean + pool.load.own / len(pool.everywhere)
        for id, extra_s in costs.items():
            tracked = self._backends.get(id)
            if tracked is None or id in tried or tracked.view.leaving or not tracked.usable(now):
                continue
            if tracked.load(now) > max(mean, FREE_SLOTS_PART * tracked.view.slots):
                continue
            reason = "prefix-cached" if id in holders else "prefix-hashed"
            weighed.append(self._weigh(tracked, now, extra_s, reason))
        return weighed

    def _sample(self, backends: list[TrackedBackend]) -> list[TrackedBackend]:
        return self._random.choices(backends, k=SAMPLES) if backends else []

    def _choose_any(self, pool: _Pool, tried: frozenset[str], now: float) -> Choice | None:
        """Look at all backend servers, since none of the sampled ones can be used."""
        untried = [one for one in pool.everywhere if one.view.id not in tried]
        if not untried:
            return None
        usable = [one for one in untried if one.usable(now)]
        reason = "only-ones-left" if usable else "all-ejected"
        best = min(self._weigh(one, now, 0.0, reason) for one in usable or untried)
        return Choice(best.tracked.view, best.reason)

    def _weigh(self, tracked: TrackedBackend, now: float, extra_s: float, reason: str) -> _Weighed:
        cost_s = tracked.expected_wait_s(now) + extra_s
        if self._parts.failure_domain and tracked.view.failure_domain != self._failure_domain:
            cost_s += OTHER_DOMAIN_S
        return _Weighed(cost_s, reason, tracked)

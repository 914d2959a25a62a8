"""Experiments on routing: each part of the policy against leaving it out, on the same arrivals.

python -m hickoryloom.bench.routing
python -m hickoryloom.bench.routing slow-engine --seeds 5
"""

from __future__ import annotations

import argparse
import heapq
import random
import sys
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import attrs

from hickoryloom.admission.messages import Request
from hickoryloom.bench.engine import Engine, Job
from hickoryloom.clock import ManualClock
from hickoryloom.routing import (
    AttemptEnd,
    AttemptOutcome,
    BackendView,
    CacheEvent,
    Choice,
    LoadReport,
    Router,
    RoutingParts,
)

__all__ = ["EXPERIMENTS", "Figures", "RoutingExperiment", "run_routing"]

DOMAINS = ("huta-a", "huta-b", "sklad-c")
TOKEN_S = 0.02
PREFILL_S_PER_TOKEN = 0.0001
PROMPT_TOKENS = 2000
CACHED_PART = 0.8
REPORT_INTERVAL_S = 1.0
MAX_ATTEMPTS = 5


@attrs.frozen
class RoutingExperiment:
    """One setting in which a part of the policy should show its worth.

    Attributes:
        name: What the command line calls it.
        leave_out: Parts that are left out, one after the other; `+` joins several.
        engines: Backend servers.
        entries: Entries, each with a router of its own.
        slots: Requests that an engine runs side by side.
        utilization: Demand as a part of the capacity of sound engines.
        duration_s: Seconds of arrivals.
        report_lag_s: Seconds by which load reports lag.
        slow: Factor on the times of engine 0, whose reports lag for `slow_report_lag_s`.
        failing: Whether engine 0 fails every attempt between a fifth and four fifths of the time.
        fail_after_s: Seconds until such an attempt fails.
        late_engine: Whether engine 0 comes up after half of the time, with slow first requests.
        foreign_jobs: Slots of engine 0 that others' work holds all the time.
        prefixes: Different prompt prefixes; 0 for prompts without.
        cached_prefixes: Prefixes that an engine holds.
        event_lag_s: Seconds by which cache events lag.
        event_loss: Part of the cache events that are lost.
        link_s: One-way seconds between failure domains.
    """

    name: str
    leave_out: tuple[str, ...]
    engines: int = 10
    entries: int = 6
    slots: int = 8
    utilization: float = 0.75
    duration_s: float = 120.0
    report_lag_s: float = 1.0
    slow: float = 1.0
    slow_report_lag_s: float = 1.0
    failing: bool = False
    fail_after_s: float = 0.005
    late_engine: bool = False
    foreign_jobs: int = 0
    prefixes: int = 0
    cached_prefixes: int = 8
    event_lag_s: float = 3.0
    event_loss: float = 0.3
    link_s: float = 0.0005


@attrs.frozen
class Figures:
    """What the requests of one run saw."""

    requests: int
    first_mean_ms: float
    first_p50_ms: float
    first_p95_ms: float
    first_p99_ms: float
    failed_attempts: int
    engine0_part: float
    cache_hit_part: float
    other_domain_part: float


EXPERIMENTS = (
    RoutingExperiment("lagged-reports", ("reports", "response_times"), report_lag_s=3.0),
    RoutingExperiment("foreign-load", ("reports", "response_times"), foreign_jobs=7),
    RoutingExperiment(
        "slow-engine", ("response_times", "reports"), slow=5.0, slow_report_lag_s=30.0
    ),
    RoutingExperiment(
        "prefix-affinity", ("affinity", "cache_events", "affinity+cache_events"), prefixes=60
    ),
    RoutingExperiment("failure-domain", ("failure_domain",), utilization=0.5, link_s=0.0015),
    RoutingExperiment("ejection", ("ejection",), failing=True),
    RoutingExperiment("ejection-of-slow-failures", ("ejection",), failing=True, fail_after_s=2.0),
    RoutingExperiment("slow-start", ("slow_start",), late_engine=True, utilization=0.9),
)


@attrs.define(eq=False)
class _Attempt:
    request: Request
    router: Router
    domain: str
    arrived: float
    tokens: int
    tried: frozenset[str] = frozenset()
    choice: Choice | None = None
    started: float = 0.0
    first_at: float | None = None


class _Run:
    """One run of one experiment with one set of parts."""

    def __init__(self, experiment: RoutingExperiment, parts: RoutingParts, seed: int) -> None:
        self._experiment = experiment
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._engines = [self._build_engine(number) for number in range(experiment.engines)]
        self._caches: list[OrderedDict[str, None]] = [OrderedDict() for _ in self._engines]
        self._number_of = {engine.view.id: i for i, engine in enumerate(self._engines)}
        self._routers = [self._build_router(parts, seed, i) for i in range(experiment.entries)]
        self._firsts: list[float] = []
        self._failed = self._hits = self._sent = self._sent_to_0 = self._other_domain = 0
        self._warm_requests = 0

    def run(self) -> Figures:
        """Play all arrivals to their end."""
        self._schedule_arrivals()
        self._at(0.0, self._send_reports)
        for _ in range(self._experiment.foreign_jobs):
            foreign = int(self._experiment.duration_s / TOKEN_S)
            self._engines[0].submit(Job(None, 0.0, 0.0, foreign), 0.0)
        if self._experiment.late_engine:
            self._at(self._experiment.duration_s / 2, self._show_views)
        while self._events:
            time, _, action = heapq.heappop(self._events)
            self._clock.now = max(self._clock.now, time)
            action()
        sent = max(1, self._sent)
        return Figures(
            len(self._firsts),
            round(1000 * sum(self._firsts) / len(self._firsts), 1),
            _quantile_ms(self._firsts, 0.5),
            _quantile_ms(self._firsts, 0.95),
            _quantile_ms(self._firsts, 0.99),
            self._failed,
            round(self._sent_to_0 / sent, 3),
            round(self._hits / sent, 3),
            round(self._other_domain / sent, 3),
        )

    def _build_engine(self, number: int) -> Engine:
        domain = DOMAINS[number % len(DOMAINS)]
        view = BackendView(f"e{number}", f"e{number}:1", domain, "p", slots=self._experiment.slots)
        return Engine(view, 1.0, TOKEN_S, self._at, self._show_first, self._end)

    def _build_router(self, parts: RoutingParts, seed: int, number: int) -> Router:
        domain = DOMAINS[number % len(DOMAINS)]
        router = Router(self._clock, random.Random(seed * 1000 + number), domain, parts)
        self._clock.now = -60.0
        router.set_views(self._views())
        self._clock.now = 0.0
        return router

    def _views(self) -> list[BackendView]:
        hidden = self._experiment.late_engine and self._clock.now < self._experiment.duration_s / 2
        return [engine.view for engine in self._engines[1 if hidden else 0 :]]

    def _show_views(self) -> None:
        for router in self._routers:
            router.set_views(self._views())

    def _at(self, time: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action))

    def _schedule_arrivals(self) -> None:
        experiment = self._experiment
        sound = experiment.engines - (experiment.slow > 1 or experiment.failing)
        mean_tokens = 100
        service_s = mean_tokens * TOKEN_S + PROMPT_TOKENS * PREFILL_S_PER_TOKEN
        slots = sound * experiment.slots - experiment.foreign_jobs
        rate = experiment.utilization * slots / service_s
        time, number = 0.0, 0
        while (time := time + self._rng.expovariate(rate)) < experiment.duration_s:
            number += 1
            tokens = 1 + int(self._rng.expovariate(1 / mean_tokens))
            entry = self._rng.randrange(experiment.entries)
            prefix = self._draw_prefix()
            self._at(time, self._arrival(f"r{number}", time, entry, tokens, prefix))

    def _draw_prefix(self) -> str:
        count = self._experiment.prefixes
        if not count:
            return ""
        return f"p{min(count - 1, int(self._rng.paretovariate(0.8)) - 1)}"

    def _arrival(
        self, id: str, time: float, entry: int, tokens: int, prefix: str
    ) -> Callable[[], None]:
        request = Request(
            *(id, "c", "m", "p", "guest", 1, True, time, time + 10.0),
            prompt_tokens=PROMPT_TOKENS,
            prefix_hash=prefix,
            stream=True,
        )
        domain = DOMAINS[entry % len(DOMAINS)]
        attempt = _Attempt(request, self._routers[entry], domain, time, tokens)
        return lambda: self._send(attempt)

    def _send(self, attempt: _Attempt) -> None:
        choice = attempt.router.choose(attempt.request, attempt.tried)
        choice = choice or attempt.router.choose(attempt.request)
        assert choice is not None
        attempt.choice = choice
        attempt.started = attempt.router.started(choice, attempt.request)
        number = self._number_of[choice.backend.id]
        self._sent += 1
        self._sent_to_0 += number == 0
        now = self._clock.now
        if number == 0 and self._is_failing(now):
            self._at(now + self._experiment.fail_after_s, lambda: self._fail(attempt))
            return
        self._submit(attempt, number, now)

    def _is_failing(self, now: float) -> bool:
        span_s = self._experiment.duration_s
        return self._experiment.failing and 0.2 * span_s < now < 0.8 * span_s

    def _submit(self, attempt: _Attempt, number: int, now: float) -> None:
        assert attempt.choice is not None
        factor = self._experiment.slow if number == 0 else 1.0
        if self._experiment.late_engine and number == 0:
            factor = 1.0 + 4.0 * max(0.0, 1.0 - (now - self._experiment.duration_s / 2) / 10.0)
        link_s = 0.0
        if attempt.choice.backend.failure_domain != attempt.domain:
            link_s = 2 * self._experiment.link_s
            self._other_domain += 1
        prompt_s = PROMPT_TOKENS * PREFILL_S_PER_TOKEN
        if attempt.request.prefix_hash and self._use_cache(number, attempt.request.prefix_hash):
            self._hits += 1
            prompt_s *= 1.0 - CACHED_PART
        tokens = int(attempt.tokens * factor)
        self._engines[number].submit(Job(attempt, 1.0, prompt_s * factor + link_s, tokens), now)

    def _use_cache(self, number: int, prefix: str) -> bool:
        cache = self._caches[number]
        hit = prefix in cache
        cache[prefix] = None
        cache.move_to_end(prefix)
        if not hit:
            self._tell_cache(number, prefix, True)
        if len(cache) > self._experiment.cached_prefixes:
            self._tell_cache(number, cache.popitem(last=False)[0], False)
        return hit

    def _tell_cache(self, number: int, prefix: str, cached: bool) -> None:
        event = CacheEvent(prefix, cached)
        id = self._engines[number].view.id
        for router in self._routers:
            if self._rng.random() >= self._experiment.event_loss:
                late = self._clock.now + self._experiment.event_lag_s
                self._at(late, lambda router=router: router.cache_event(id, event))  # type: ignore

    def _show_first(self, job: Job) -> None:
        attempt: _Attempt | None = job.owner
        if attempt is None:
            return
        assert attempt.choice is not None
        attempt.first_at = self._clock.now
        attempt.router.first_token(attempt.choice, attempt.started)
        self._firsts.append(self._clock.now - attempt.arrived)

    def _end(self, job: Job) -> None:
        if job.owner is not None:
            self._finish(job.owner, AttemptEnd.DONE)

    def _fail(self, attempt: _Attempt) -> None:
        assert attempt.choice is not None
        self._failed += 1
        self._finish(attempt, AttemptEnd.FAILED)
        attempt.tried |= {attempt.choice.backend.id}
        self._send(attempt)

    def _finish(self, attempt: _Attempt, end: AttemptEnd) -> None:
        assert attempt.choice is not None
        now = self._clock.now
        outcome = AttemptOutcome(end, attempt.started, now, attempt.first_at, attempt.tokens)
        attempt.router.finished(attempt.choice, attempt.request, outcome)

    def _send_reports(self) -> None:
        now = self._clock.now
        for number, engine in enumerate(self._engines):
            lag_s = self._experiment.report_lag_s
            if number == 0 and self._experiment.slow > 1:
                lag_s = self._experiment.slow_report_lag_s
            report = LoadReport(engine.running, engine.waiting, 1.0, now)
            id = engine.view.id
            for router in self._routers:
                self._at(now + lag_s, lambda r=router, i=id, w=report: r.report(i, w))  # type: ignore
        if now < self._experiment.duration_s:
            self._at(now + REPORT_INTERVAL_S, self._send_reports)


def run_routing(experiment: RoutingExperiment, leave_out: str, seed: int) -> Figures:
    """Run an experiment once.

    Args:
        experiment: The setting.
        leave_out: Names of parts left out, joined by `+`; empty for the whole policy.
        seed: Seed of the arrivals and of the routers.
    """
    absent = dict.fromkeys(filter(None, leave_out.split("+")), False)
    return _Run(experiment, RoutingParts(**absent), seed).run()


def _quantile_ms(values: list[float], part: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(part * len(ordered)))] * 1000, 1)


def _mean_of(figures: list[Figures]) -> dict[str, float]:
    rows = [attrs.asdict(one) for one in figures]
    return {name: round(sum(row[name] for row in rows) / len(rows), 3) for name in rows[0]}


def _print_table(experiment: RoutingExperiment, seeds: int) -> None:
    print(f"\n{experiment.name} (mean of {seeds} seeds)")
    columns: list[str] = [field.name for field in attrs.fields(Figures)]
    print(f"{'policy':36}" + "".join(f"{name:>18}" for name in columns))
    for leave_out in ("", *experiment.leave_out):
        figures = [run_routing(experiment, leave_out, seed) for seed in range(1, seeds + 1)]
        means: dict[str, Any] = _mean_of(figures)
        label = f"without {leave_out}" if leave_out else "whole policy"
        print(f"{label:36}" + "".join(f"{means[name]:>18}" for name in columns), flush=True)


def main(arguments: list[str] | None = None) -> None:
    """Run experiments and print a table for each."""
    names = [experiment.name for experiment in EXPERIMENTS]
    parser = argparse.ArgumentParser(prog="python -m hickoryloom.bench.routing")
    parser.add_argument("experiments", nargs="*", metavar="NAME", help=", ".join(names))
    parser.add_argument("--seeds", type=int, default=3, help="runs of each (%(default)s)")
    options = parser.parse_args(arguments)
    unknown = set(options.experiments) - set(names)
    if unknown:
        parser.error(f"unknown: {', '.join(sorted(unknown))}; allowed: {', '.join(names)}")
    for experiment in EXPERIMENTS:
        if not options.experiments or experiment.name in options.experiments:
            _print_table(experiment, options.seeds)


if __name__ == "__main__":
    main(sys.argv[1:])

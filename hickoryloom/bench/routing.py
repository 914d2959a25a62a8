"""Ablation experiments on routing: the full policy against runs with some features disabled.

All runs of an experiment with the same seed have the same arrivals.

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
    RoutingFeatures,
)

__all__ = ["EXPERIMENTS", "Figures", "RoutingExperiment", "run_routing"]

DOMAINS = ("huta-a", "huta-b", "sklad-c")
TOKEN_S = 0.02
PREFILL_S_PER_TOKEN = 0.0001
PROMPT_TOKENS = 2000
CACHED_FRACTION = 0.8
REPORT_INTERVAL_S = 1.0
MAX_ATTEMPTS = 5


@attrs.frozen
class RoutingExperiment:
    """A scenario in which one or more features of the routing policy should improve the figures.

    Attributes:
        name: Name on the command line.
        ablations: Features that are disabled, one set per run; `+` joins several features.
        engines: Number of backend servers.
        entries: Number of entries, each with its own router.
        slots: Number of requests that an engine runs concurrently.
        utilization: Offered load as a fraction of the capacity of healthy engines.
        duration_s: Seconds during which requests arrive.
        report_lag_s: Delay of load reports.
        slow: Slowdown factor of engine 0, whose reports are delayed by `slow_report_lag_s`.
        slow_report_lag_s: Delay of the load reports of a slow engine 0.
        failing: Whether engine 0 fails every attempt from 20% to 80% of the duration.
        fail_after_s: Seconds until such an attempt fails.
        late_engine: Whether engine 0 joins after half of the duration, with a slow warm-up.
        foreign_jobs: Slots of engine 0 that requests from other sources occupy permanently.
        prefixes: Number of different prompt prefixes; 0 for prompts without a prefix.
        cached_prefixes: Number of prefixes that an engine caches.
        event_lag_s: Delay of cache events.
        event_loss: Fraction of cache events that are lost.
        link_s: One-way delay between failure domains.
    """

    name: str
    ablations: tuple[str, ...]
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
    """Latency and attempt statistics of one run."""

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
    started_at: float = 0.0
    first_token_at: float | None = None


class _RoutingRun:
    """One run of an experiment with one set of enabled features."""

    def __init__(self, experiment: RoutingExperiment, features: RoutingFeatures, seed: int) -> None:
        self._experiment = experiment
        self._rng = random.Random(seed)
        self._clock = ManualClock()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._engines = [self._build_engine(number) for number in range(experiment.engines)]
        self._caches: list[OrderedDict[str, None]] = [OrderedDict() for _ in self._engines]
        self._engine_numbers = {engine.view.id: i for i, engine in enumerate(self._engines)}
        self._routers = [self._build_router(features, seed, i) for i in range(experiment.entries)]
        self._first_token_s: list[float] = []
        self._failures = self._cache_hits = self._attempts = self._to_engine0 = (
            self._to_other_domain
        ) = 0
        self._warm_requests = 0

    def run(self) -> Figures:
        """Simulate all arrivals until the last request ends."""
        self._schedule_arrivals()
        self._schedule_at(0.0, self._send_reports)
        for _ in range(self._experiment.foreign_jobs):
            foreign = int(self._experiment.duration_s / TOKEN_S)
            self._engines[0].submit(Job(None, 0.0, 0.0, foreign), 0.0)
        if self._experiment.late_engine:
            self._schedule_at(self._experiment.duration_s / 2, self._publish_views)
        while self._events:
            time, _, action = heapq.heappop(self._events)
            self._clock.now = max(self._clock.now, time)
            action()
        sent_attempts = max(1, self._attempts)
        return Figures(
            len(self._first_token_s),
            round(1000 * sum(self._first_token_s) / len(self._first_token_s), 1),
            _quantile_ms(self._first_token_s, 0.5),
            _quantile_ms(self._first_token_s, 0.95),
            _quantile_ms(self._first_token_s, 0.99),
            self._failures,
            round(self._to_engine0 / sent_attempts, 3),
            round(self._cache_hits / sent_attempts, 3),
            round(self._to_other_domain / sent_attempts, 3),
        )

    def _build_engine(self, number: int) -> Engine:
        domain = DOMAINS[number % len(DOMAINS)]
        view = BackendView(f"e{number}", f"e{number}:1", domain, "p", slots=self._experiment.slots)
        return Engine(view, 1.0, TOKEN_S, self._schedule_at, self._on_first_token, self._on_done)

    def _build_router(self, features: RoutingFeatures, seed: int, number: int) -> Router:
        domain = DOMAINS[number % len(DOMAINS)]
        router = Router(self._clock, random.Random(seed * 1000 + number), domain, features)
        self._clock.now = -60.0
        router.set_views(self._visible_views())
        self._clock.now = 0.0
        return router

    def _visible_views(self) -> list[BackendView]:
        engine0_hidden = (
            self._experiment.late_engine and self._clock.now < self._experiment.duration_s / 2
        )
        return [engine.view for engine in self._engines[1 if engine0_hidden else 0 :]]

    def _publish_views(self) -> None:
        for router in self._routers:
            router.set_views(self._visible_views())

    def _schedule_at(self, time: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (time, self._sequence, action))

    def _schedule_arrivals(self) -> None:
        experiment = self._experiment
        healthy_engines = experiment.engines - (experiment.slow > 1 or experiment.failing)
        mean_tokens = 100
        service_s = mean_tokens * TOKEN_S + PROMPT_TOKENS * PREFILL_S_PER_TOKEN
        slots = healthy_engines * experiment.slots - experiment.foreign_jobs
        rate = experiment.utilization * slots / service_s
        time, number = 0.0, 0
        while (time := time + self._rng.expovariate(rate)) < experiment.duration_s:
            number += 1
            tokens = 1 + int(self._rng.expovariate(1 / mean_tokens))
            entry = self._rng.randrange(experiment.entries)
            prefix = self._draw_prefix()
            self._schedule_at(time, self._build_arrival(f"r{number}", time, entry, tokens, prefix))

    def _draw_prefix(self) -> str:
        count = self._experiment.prefixes
        if not count:
            return ""
        return f"p{min(count - 1, int(self._rng.paretovariate(0.8)) - 1)}"

    def _build_arrival(
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
        attempt.started_at = attempt.router.start_attempt(choice, attempt.request)
        number = self._engine_numbers[choice.backend.id]
        self._attempts += 1
        self._to_engine0 += number == 0
        now = self._clock.now
        if number == 0 and self._is_failing(now):
            self._schedule_at(now + self._experiment.fail_after_s, lambda: self._fail(attempt))
            return
        self._submit(attempt, number, now)

    def _is_failing(self, now: float) -> bool:
        duration_s = self._experiment.duration_s
        return self._experiment.failing and 0.2 * duration_s < now < 0.8 * duration_s

    def _submit(self, attempt: _Attempt, number: int, now: float) -> None:
        assert attempt.choice is not None
        factor = self._experiment.slow if number == 0 else 1.0
        if self._experiment.late_engine and number == 0:
            factor = 1.0 + 4.0 * max(0.0, 1.0 - (now - self._experiment.duration_s / 2) / 10.0)
        link_s = 0.0
        if attempt.choice.backend.failure_domain != attempt.domain:
            link_s = 2 * self._experiment.link_s
            self._to_other_domain += 1
        prompt_s = PROMPT_TOKENS * PREFILL_S_PER_TOKEN
        if attempt.request.prefix_hash and self._update_cache(number, attempt.request.prefix_hash):
            self._cache_hits += 1
            prompt_s *= 1.0 - CACHED_FRACTION
        tokens = int(attempt.tokens * factor)
        self._engines[number].submit(Job(attempt, 1.0, prompt_s * factor + link_s, tokens), now)

    def _update_cache(self, number: int, prefix: str) -> bool:
        cache = self._caches[number]
        hit = prefix in cache
        cache[prefix] = None
        cache.move_to_end(prefix)
        if not hit:
            self._send_cache_event(number, prefix, True)
        if len(cache) > self._experiment.cached_prefixes:
            self._send_cache_event(number, cache.popitem(last=False)[0], False)
        return hit

    def _send_cache_event(self, number: int, prefix: str, cached: bool) -> None:
        event = CacheEvent(prefix, cached)
        id = self._engines[number].view.id
        for router in self._routers:
            if self._rng.random() >= self._experiment.event_loss:
                delivered_at = self._clock.now + self._experiment.event_lag_s
                self._schedule_at(
                    delivered_at,
                    lambda router=router: router.apply_cache_event(id, event),  # type: ignore
                )

    def _on_first_token(self, job: Job) -> None:
        attempt: _Attempt | None = job.owner
        if attempt is None:
            return
        assert attempt.choice is not None
        attempt.first_token_at = self._clock.now
        attempt.router.record_first_token(attempt.choice, attempt.started_at)
        self._first_token_s.append(self._clock.now - attempt.arrived)

    def _on_done(self, job: Job) -> None:
        if job.owner is not None:
            self._finish(job.owner, AttemptEnd.DONE)

    def _fail(self, attempt: _Attempt) -> None:
        assert attempt.choice is not None
        self._failures += 1
        self._finish(attempt, AttemptEnd.FAILED)
        attempt.tried |= {attempt.choice.backend.id}
        self._send(attempt)

    def _finish(self, attempt: _Attempt, end: AttemptEnd) -> None:
        assert attempt.choice is not None
        now = self._clock.now
        outcome = AttemptOutcome(
            end, attempt.started_at, now, attempt.first_token_at, attempt.tokens
        )
        attempt.router.finish_attempt(attempt.choice, attempt.request, outcome)

    def _send_reports(self) -> None:
        now = self._clock.now
        for number, engine in enumerate(self._engines):
            lag_s = self._experiment.report_lag_s
            if number == 0 and self._experiment.slow > 1:
                lag_s = self._experiment.slow_report_lag_s
            report = LoadReport(engine.running, engine.waiting, 1.0, now)
            id = engine.view.id
            for router in self._routers:
                self._schedule_at(
                    now + lag_s,
                    lambda r=router, i=id, w=report: r.apply_load_report(i, w),  # type: ignore
                )
        if now < self._experiment.duration_s:
            self._schedule_at(now + REPORT_INTERVAL_S, self._send_reports)


def run_routing(experiment: RoutingExperiment, disabled: str, seed: int) -> Figures:
    """Run an experiment once.

    Args:
        experiment: The experiment to run.
        disabled: Names of the disabled features, joined by `+`; empty for the full policy.
        seed: Random seed of the arrivals and the routers.
    """
    switches = dict.fromkeys(filter(None, disabled.split("+")), False)
    return _RoutingRun(experiment, RoutingFeatures(**switches), seed).run()


def _quantile_ms(values: list[float], fraction: float) -> float:
    ordered = sorted(values)
    return round(ordered[min(len(ordered) - 1, int(fraction * len(ordered)))] * 1000, 1)


def _mean_figures(figures: list[Figures]) -> dict[str, float]:
    rows = [attrs.asdict(run) for run in figures]
    return {name: round(sum(row[name] for row in rows) / len(rows), 3) for name in rows[0]}


def _print_table(experiment: RoutingExperiment, seeds: int) -> None:
    print(f"\n{experiment.name} (mean of {seeds} seeds)")
    columns: list[str] = [field.name for field in attrs.fields(Figures)]
    print(f"{'policy':36}" + "".join(f"{name:>18}" for name in columns))
    for disabled in ("", *experiment.ablations):
        figures = [run_routing(experiment, disabled, seed) for seed in range(1, seeds + 1)]
        means: dict[str, Any] = _mean_figures(figures)
        label = f"without {disabled}" if disabled else "full policy"
        print(f"{label:36}" + "".join(f"{means[name]:>18}" for name in columns), flush=True)


def main(arguments: list[str] | None = None) -> None:
    """Run experiments and print a table of figures for each."""
    names = [experiment.name for experiment in EXPERIMENTS]
    parser = argparse.ArgumentParser(prog="python -m hickoryloom.bench.routing")
    parser.add_argument("experiments", nargs="*", metavar="NAME", help=", ".join(names))
    parser.add_argument(
        "--seeds",
        type=int,
        default=3,
        help="number of seeds per configuration (default: %(default)s)",
    )
    options = parser.parse_args(arguments)
    unknown = set(options.experiments) - set(names)
    if unknown:
        parser.error(
            f"unknown experiments: {', '.join(sorted(unknown))}; choose from: {', '.join(names)}"
        )
    for experiment in EXPERIMENTS:
        if not options.experiments or experiment.name in options.experiments:
            _print_table(experiment, options.seeds)


if __name__ == "__main__":
    main(sys.argv[1:])

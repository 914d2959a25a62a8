"""Policies that experiments compare.

A policy combines an admission with a router for each entry. To add one, write a function that
returns a `Policy` for an entry, register it with `@policy("name")` and list the name in an
experiment's `policies`. An admission has the methods of `AdmissionState`, and a router those of
`RoutingPolicy`, which `hickoryloom.routing.Router` implements. Further policies can be registered
in another module of this package that is imported in `hickoryloom/bench/__init__.py`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from hickoryloom.admission import AdmissionState, Request
from hickoryloom.admission.decisions import Decision
from hickoryloom.admission.shares import equal_share
from hickoryloom.bench.baselines import PassThroughAdmission, StrictPriorityAdmission
from hickoryloom.bench.experiment import Experiment
from hickoryloom.clock import Clock
from hickoryloom.routing import AttemptOutcome, BackendView, Choice, LoadReport, Router

__all__ = ["POLICIES", "EntryContext", "Policy", "RoutingPolicy", "policy"]


class RoutingPolicy(Protocol):
    """Selects a backend server for each attempt of one entry."""

    def set_views(self, views: Iterable[BackendView]) -> None:
        """Set the known backend servers."""

    def apply_load_report(self, backend_id: str, report: LoadReport) -> None:
        """Apply a load report of a backend server."""

    def choose(self, request: Request, tried: frozenset[str]) -> Choice | None:
        """Return a backend server for a request, or None if there is none."""

    def start_attempt(self, choice: Choice, request: Request) -> float:
        """Record the start of an attempt and return its time."""

    def record_first_token(self, choice: Choice, started: float) -> None:
        """Record the first token of an attempt that began at `started`."""

    def finish_attempt(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Record the end of an attempt."""


@attrs.frozen
class EntryContext:
    """Inputs from which the policy of one entry is built."""

    experiment: Experiment
    number: int
    name: str
    clock: Clock
    rng: random.Random


@attrs.frozen
class Policy:
    """Admission and routing of one entry.

    Attributes:
        admission: Decides which requests start, wait, are refused or are preempted.
        router: Selects the backend server of each attempt.
        exchanges_heartbeats: Whether entries exchange their demand in heartbeats.
        engine_priorities: Whether the tier is passed to engines as the priority.
        dispatcher: Whether one entry per pool decides on admission for all entries.
    """

    admission: Any
    router: RoutingPolicy
    exchanges_heartbeats: bool = False
    engine_priorities: bool = True
    dispatcher: bool = False


BuildPolicy = Callable[[EntryContext], Policy]
POLICIES: dict[str, BuildPolicy] = {}


def policy(name: str) -> Callable[[BuildPolicy], BuildPolicy]:
    """Register the decorated function as a policy."""

    def register(build: BuildPolicy) -> BuildPolicy:
        POLICIES[name] = build
        return build

    return register


class RoundRobin:
    """Selects the backend servers of a pool in turn."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._views: list[BackendView] = []
        self._next = 0

    def set_views(self, views: Iterable[BackendView]) -> None:
        """Set the known backend servers."""
        self._views = [view for view in views if not view.leaving]

    def apply_load_report(self, backend_id: str, report: LoadReport) -> None:
        """Ignore the load report."""

    def choose(self, request: Request, tried: frozenset[str]) -> Choice | None:
        """Return the next backend server of the pool."""
        candidates = [v for v in self._views if v.pool == request.pool and v.id not in tried]
        if not candidates:
            return None
        self._next += 1
        return Choice(candidates[self._next % len(candidates)], "round-robin")

    def start_attempt(self, choice: Choice, request: Request) -> float:
        """Return the current time as the start of the attempt."""
        return self._clock.monotonic()

    def record_first_token(self, choice: Choice, started: float) -> None:
        """Ignore the first token."""

    def finish_attempt(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Ignore the end of the attempt."""


class LeastInFlight(RoundRobin):
    """Selects the backend server with the fewest attempts of this entry in flight per slot."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._in_flight: dict[str, int] = {}

    def choose(self, request: Request, tried: frozenset[str]) -> Choice | None:
        """Return the least loaded backend server of the pool."""
        candidates = [v for v in self._views if v.pool == request.pool and v.id not in tried]
        if not candidates:
            return None
        self._next += 1
        offset = self._next % len(candidates)
        rotated = candidates[offset:] + candidates[:offset]
        return Choice(min(rotated, key=self._load), "least-in-flight")

    def start_attempt(self, choice: Choice, request: Request) -> float:
        """Record the start of an attempt and return its time."""
        self._in_flight[choice.backend.id] = self._in_flight.get(choice.backend.id, 0) + 1
        return super().start_attempt(choice, request)

    def finish_attempt(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Record the end of an attempt."""
        self._in_flight[choice.backend.id] -= 1

    def _load(self, view: BackendView) -> float:
        return self._in_flight.get(view.id, 0) / view.slots


def _build_router(context: EntryContext) -> Router:
    domains = sorted({g.domain for pool in context.experiment.pools for g in pool.groups})
    return Router(context.clock, context.rng, domains[context.number % len(domains)])


class IndependentSharesAdmission(AdmissionState):
    """Admits requests independently within an equal share of each pool."""

    def __init__(self, incarnation: str, rng: random.Random, context: EntryContext) -> None:
        super().__init__(incarnation, rng)
        self._context = context

    def set_backends(self, views: Iterable[BackendView], now: float) -> list[Decision]:
        """Set this entry's share of the slots."""
        slots: dict[str, int] = {}
        for view in views:
            slots[view.pool] = slots.get(view.pool, 0) + view.slots
        entries = self._context.experiment.entries
        shares = [
            BackendView(pool, "", "", pool, slots=equal_share(count, self._context.number, entries))
            for pool, count in slots.items()
        ]
        return super().set_backends(shares, now)


@policy("chosen")
def build_chosen(context: EntryContext) -> Policy:
    """Demand-based shares with pressure, reserves, fair queueing and early refusal."""
    admission = AdmissionState(context.name, context.rng)
    return Policy(admission, _build_router(context), exchanges_heartbeats=True)


@policy("independent-shares")
def build_independent(context: EntryContext) -> Policy:
    """The admission of `chosen` with a fixed share of each pool and without heartbeats."""
    admission = IndependentSharesAdmission(context.name, context.rng, context)
    return Policy(admission, _build_router(context))


@policy("dispatcher")
def build_dispatcher(context: EntryContext) -> Policy:
    """The admission of `chosen` at one entry per pool, selected by a hash of the pool's name."""
    admission = AdmissionState(context.name, context.rng)
    return Policy(admission, _build_router(context), dispatcher=True)


@policy("fcfs-round-robin")
def build_fcfs(context: EntryContext) -> Policy:
    """First come, first served at engines that are selected in turn."""
    return Policy(PassThroughAdmission(), RoundRobin(context.clock), engine_priorities=False)


@policy("least-in-flight")
def build_least_in_flight(context: EntryContext) -> Policy:
    """First come, first served at the engine with the fewest requests of this entry in flight."""
    return Policy(PassThroughAdmission(), LeastInFlight(context.clock), engine_priorities=False)


@policy("strict-priority")
def build_strict(context: EntryContext) -> Policy:
    """Strict priority within each entry's share of the slots, without reserve or refusal."""
    return Policy(StrictPriorityAdmission(context.experiment.entries), LeastInFlight(context.clock))

"""Policies that experiments compare.

A policy pairs an admission with a router for each entry. To add one, write a function that
returns a `Policy` for an entry and register it with `@policy("name")`; then name it in an
experiment's `policies`. Admissions have the methods of `AdmissionState`; routers those of
`RoutingPolicy`, which `hickoryloom.routing.Router` has too. Register policies of another slice
in a module of your own beside this one and import it in `hickoryloom/bench/__init__.py`.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import attrs

from hickoryloom.admission import AdmissionState, Request
from hickoryloom.admission.decisions import Decision
from hickoryloom.admission.shares import equal_part
from hickoryloom.bench.baselines import PassThrough, StrictQueue
from hickoryloom.bench.experiment import Experiment
from hickoryloom.clock import Clock
from hickoryloom.routing import AttemptOutcome, BackendView, Choice, LoadReport, Router

__all__ = ["POLICIES", "EntryContext", "Policy", "RoutingPolicy", "policy"]


class RoutingPolicy(Protocol):
    """Picks a backend server for each attempt of one entry."""

    def set_views(self, views: Iterable[BackendView]) -> None:
        """Take in the known backend servers."""

    def report(self, backend_id: str, report: LoadReport) -> None:
        """Take in a load report."""

    def choose(self, request: Request, tried: frozenset[str]) -> Choice | None:
        """Return a backend server for a request, or None."""

    def started(self, choice: Choice, request: Request) -> float:
        """Count an attempt and return its start."""

    def first_token(self, choice: Choice, started: float) -> None:
        """Learn from the first token of an attempt that began at `started`."""

    def finished(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Count the end of an attempt."""


@attrs.frozen
class EntryContext:
    """What a policy of one entry is built from."""

    experiment: Experiment
    number: int
    name: str
    clock: Clock
    rng: random.Random


@attrs.frozen
class Policy:
    """One entry's decisions.

    Attributes:
        admission: Who starts, waits, is refused or gives way.
        router: Which backend server gets an attempt.
        exchanges: Whether entries tell each other their demand.
        engine_priorities: Whether engines are told the tier.
        dispatcher: Whether one entry per pool decides for all.
    """

    admission: Any
    router: RoutingPolicy
    exchanges: bool = False
    engine_priorities: bool = True
    dispatcher: bool = False


Build = Callable[[EntryContext], Policy]
POLICIES: dict[str, Build] = {}


def policy(name: str) -> Callable[[Build], Build]:
    """Register the decorated function as a policy."""

    def register(build: Build) -> Build:
        POLICIES[name] = build
        return build

    return register


class RoundRobin:
    """Takes backend servers of the pool in turn."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._views: list[BackendView] = []
        self._next = 0

    def set_views(self, views: Iterable[BackendView]) -> None:
        """Take in the known backend servers."""
        self._views = [view for view in views if not view.leaving]

    def report(self, backend_id: str, report: LoadReport) -> None:
        """Use no load reports."""

    def choose(self, request: Request, tried: frozenset[str]) -> Choice | None:
        """Return the next backend server of the pool."""
        fitting = [v for v in self._views if v.pool == request.pool and v.id not in tried]
        if not fitting:
            return None
        self._next += 1
        return Choice(fitting[self._next % len(fitting)], "round-robin")

    def started(self, choice: Choice, request: Request) -> float:
        """Return the time."""
        return self._clock.monotonic()

    def first_token(self, choice: Choice, started: float) -> None:
        """Learn nothing."""

    def finished(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Count nothing."""


class LeastInFlight(RoundRobin):
    """Takes the backend server with the fewest attempts of this entry in flight."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self._own: dict[str, int] = {}

    def choose(self, request: Request, tried: frozenset[str]) -> Choice | None:
        """Return the least loaded backend server of the pool."""
        fitting = [v for v in self._views if v.pool == request.pool and v.id not in tried]
        if not fitting:
            return None
        self._next += 1
        turn = self._next % len(fitting)
        rotated = fitting[turn:] + fitting[:turn]
        return Choice(min(rotated, key=self._load), "least-in-flight")

    def started(self, choice: Choice, request: Request) -> float:
        """Count an attempt and return its start."""
        self._own[choice.backend.id] = self._own.get(choice.backend.id, 0) + 1
        return super().started(choice, request)

    def finished(self, choice: Choice, request: Request, outcome: AttemptOutcome) -> None:
        """Count the end of an attempt."""
        self._own[choice.backend.id] -= 1

    def _load(self, view: BackendView) -> float:
        return self._own.get(view.id, 0) / view.slots


def _router(context: EntryContext) -> Router:
    domains = sorted({g.domain for pool in context.experiment.pools for g in pool.groups})
    return Router(context.clock, context.rng, domains[context.number % len(domains)])


class IndependentShares(AdmissionState):
    """Decides alone on an equal part of each pool."""

    def __init__(self, incarnation: str, rng: random.Random, context: EntryContext) -> None:
        super().__init__(incarnation, rng)
        self._context = context

    def set_backends(self, views: Iterable[BackendView], now: float) -> list[Decision]:
        """Take in this entry's part of the slots."""
        slots: dict[str, int] = {}
        for view in views:
            slots[view.pool] = slots.get(view.pool, 0) + view.slots
        entries = self._context.experiment.entries
        parts = [
            BackendView(pool, "", "", pool, slots=equal_part(count, self._context.number, entries))
            for pool, count in slots.items()
        ]
        return super().set_backends(parts, now)


@policy("chosen")
def build_chosen(context: EntryContext) -> Policy:
    """Demand shares with pressure, reserves, fair queueing and early refusal."""
    admission = AdmissionState(context.name, context.rng)
    return Policy(admission, _router(context), exchanges=True)


@policy("independent-shares")
def build_independent(context: EntryContext) -> Policy:
    """The chosen admission with a fixed part of each pool and no word between entries."""
    admission = IndependentShares(context.name, context.rng, context)
    return Policy(admission, _router(context))


@policy("dispatcher")
def build_dispatcher(context: EntryContext) -> Policy:
    """The chosen admission at one entry per pool, chosen by rendezvous hashing."""
    admission = AdmissionState(context.name, context.rng)
    return Policy(admission, _router(context), dispatcher=True)


@policy("fcfs-round-robin")
def build_fcfs(context: EntryContext) -> Policy:
    """First come first served at the engines, which are taken in turn."""
    return Policy(PassThrough(), RoundRobin(context.clock), engine_priorities=False)


@policy("least-in-flight")
def build_least_in_flight(context: EntryContext) -> Policy:
    """First come first served at the engine with the fewest own requests."""
    return Policy(PassThrough(), LeastInFlight(context.clock), engine_priorities=False)


@policy("strict-priority")
def build_strict(context: EntryContext) -> Policy:
    """Strict tiers in each entry's part of the slots, without reserve or refusal."""
    return Policy(StrictQueue(context.experiment.entries), LeastInFlight(context.clock))

"""Measures of the brief, computed from a journal.

To add a measure, register a function of a `Journal` that returns one figure:
`@measure("name", better="higher")`. The usage slice's figures on late and wrong reports hook in
here.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable

import attrs

from hickoryloom.admission import RefusalReason
from hickoryloom.bench.experiment import Experiment
from hickoryloom.bench.journal import ORDERED_REASONS, Journal, Try

__all__ = ["MEASURES", "Measure", "attainment_by_class", "measure", "recovery_s"]

COINCIDENCE_S = 0.1
FEWEST_TRIES = 20
RECOVERED_PART = 0.95
RECOVERY_WINDOW_S = 2.0

Compute = Callable[[Journal], float]


@attrs.frozen
class Measure:
    """One figure of a run, and whether more of it is better (`higher`, `lower` or empty)."""

    name: str
    better: str
    compute: Compute


MEASURES: dict[str, Measure] = {}


def measure(name: str, better: str = "") -> Callable[[Compute], Compute]:
    """Register the decorated function as a measure."""

    def register(compute: Compute) -> Compute:
        MEASURES[name] = Measure(name, better, compute)
        return compute

    return register


def attainment_by_class(journal: Journal) -> dict[str, float]:
    """Return the part of first tries that met their targets, by class."""
    return {
        found.name: _part_met([t for t in _first(journal) if t.arrival.request_class is found])
        for found in journal.experiment.classes
    }


@measure("attainment_top_tier", "higher")
def attainment_top_tier(journal: Journal) -> float:
    """Return the part of first tries of the highest tier that met their targets."""
    top = min(found.tier for found in journal.experiment.classes)
    return _part_met([t for t in _first(journal) if t.request.tier == top])


@measure("attainment_all", "higher")
def attainment_all(journal: Journal) -> float:
    """Return the part of all first tries that met their targets."""
    return _part_met(_first(journal))


@measure("served_in_time", "higher")
def served_in_time(journal: Journal) -> float:
    """Return the part of callers that were served in time at any of their tries."""
    met = {t.arrival.number for t in journal.tries if t.met}
    return len(met) / max(1, len(_first(journal)))


@measure("goodput_tokens_s", "higher")
def goodput(journal: Journal) -> float:
    """Return tokens a second of answers that met their targets."""
    good = sum(t.arrival.tokens for t in journal.tries if t.met)
    return good / journal.experiment.duration_s


@measure("wasted_part", "lower")
def wasted_part(journal: Journal) -> float:
    """Return the part of generated tokens that belong to no whole answer."""
    whole = sum(t.arrival.tokens for t in journal.tries if t.whole)
    return max(0.0, 1.0 - whole / journal.generated) if journal.generated else 0.0


@measure("worst_customer", "higher")
def worst_customer(journal: Journal) -> float:
    """Return the attainment of the worst-served customer."""
    by_customer: dict[str, list[Try]] = {}
    for found in _first(journal):
        by_customer.setdefault(found.arrival.customer.name, []).append(found)
    counted = [tries for tries in by_customer.values() if len(tries) >= FEWEST_TRIES]
    return min((_part_met(tries) for tries in counted), default=0.0)


@measure("cost_per_good_mtoken", "lower")
def cost_per_good_mtoken(journal: Journal) -> float:
    """Return the spending for each million tokens that met their targets."""
    experiment = journal.experiment
    good = goodput(journal) * experiment.duration_s
    return _spending(experiment, journal) / good * 1e6 if good else float("inf")


@measure("cheap_part", "higher")
def cheap_part(journal: Journal) -> float:
    """Return the part of good tokens that came from reclaimable backend servers."""
    good = sum(t.arrival.tokens for t in journal.tries if t.met)
    cheap = sum(t.cheap_tokens for t in journal.tries if t.met)
    return cheap / good if good else 0.0


@measure("order_violations", "lower")
def order_violations(journal: Journal) -> float:
    """Count unreserved starts just after a refusal of a higher tier in the same pool."""
    refusals: dict[str, list[tuple[float, int]]] = {}
    for found in journal.tries:
        if found.refusal in ORDERED_REASONS and found.ended_at is not None:
            refusals.setdefault(found.request.pool, []).append((found.ended_at, found.request.tier))
    for times in refusals.values():
        times.sort()
    return sum(
        _follows_refusal(found, refusals.get(found.request.pool, [])) for found in journal.tries
    )


@measure("shed_waiting_behind_lower", "lower")
def shed_waiting_behind_lower(journal: Journal) -> float:
    """Count callers refused or gone unserved while lower tiers started during their wait."""
    starts: dict[tuple[str, int], list[float]] = {}
    for found in journal.tries:
        if found.started_at is not None and not found.reserved:
            starts.setdefault((found.request.pool, found.request.tier), []).append(found.started_at)
    for times in starts.values():
        times.sort()
    shed = (*ORDERED_REASONS, RefusalReason.CALLER_LEFT)
    return sum(_passed_over(t, starts) for t in journal.tries if t.refusal in shed)


@measure("preemptions")
def preemptions(journal: Journal) -> float:
    """Return the number of preempted requests."""
    return float(journal.preemptions)


@measure("messages_per_node_s", "lower")
def messages_per_node_s(journal: Journal) -> float:
    """Return messages sent between entries, for each entry and second."""
    return journal.messages / journal.experiment.entries / journal.experiment.duration_s


@measure("recovery_s", "lower")
def recovery_s(journal: Journal) -> float:
    """Return the seconds after the last burst until goodput is back at 95% of what it was before.

    Goodput counts tokens of requests by their time of arrival, over windows of some seconds.
    """
    bursts = journal.experiment.bursts
    if not bursts:
        return 0.0
    start, end = min(b.start_s for b in bursts), max(b.end_s for b in bursts)
    before = _met_between(journal, start / 4, start)
    at = end
    while at + RECOVERY_WINDOW_S <= journal.experiment.duration_s:
        if _met_between(journal, at, at + RECOVERY_WINDOW_S) >= RECOVERED_PART * before:
            return at - end
        at += RECOVERY_WINDOW_S / 4
    return float("inf")


def _met_between(journal: Journal, start: float, end: float) -> float:
    found = [t for t in _first(journal) if start <= t.arrival.at < end]
    offered = sum(t.arrival.tokens for t in found)
    return sum(t.arrival.tokens for t in found if t.met) / offered if offered else 1.0


def _first(journal: Journal) -> list[Try]:
    return [t for t in journal.tries if t.number == 0]


def _part_met(tries: list[Try]) -> float:
    return sum(t.met for t in tries) / len(tries) if tries else 1.0


def _spending(experiment: Experiment, journal: Journal) -> float:
    end = experiment.duration_s
    total = 0.0
    number = 0
    for pool in experiment.pools:
        for group in pool.groups:
            for _ in range(group.count):
                name = f"{pool.name}-{group.domain}-{number}"
                total += group.price * min(end, journal.lost.get(name, end)) / 3600
                number += 1
    return total


def _follows_refusal(found: Try, refusals: list[tuple[float, int]]) -> bool:
    if found.started_at is None or found.reserved:
        return False
    index = bisect_left(refusals, (found.started_at - COINCIDENCE_S, 0))
    while index < len(refusals) and refusals[index][0] < found.started_at:
        if refusals[index][1] < found.request.tier:
            return True
        index += 1
    return False


def _passed_over(found: Try, starts: dict[tuple[str, int], list[float]]) -> bool:
    for (pool, tier), times in starts.items():
        if pool != found.request.pool or tier <= found.request.tier:
            continue
        index = bisect_left(times, found.request.arrived)
        if index < len(times) and found.ended_at is not None and times[index] < found.ended_at:
            return True
    return False

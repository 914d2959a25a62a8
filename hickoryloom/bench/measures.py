"""Measures of a simulated run, computed from its journal.

To add a measure, register a function that takes a `Journal` and returns one figure:
`@measure("name", better="higher")`. Measures of late or wrong usage reports belong here too.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Callable

import attrs

from hickoryloom.admission import RefusalReason
from hickoryloom.bench.experiment import Experiment
from hickoryloom.bench.journal import CAPACITY_REFUSAL_REASONS, Journal, Submission

__all__ = ["MEASURES", "Measure", "attainment_by_class", "measure", "recovery_s"]

ORDER_VIOLATION_WINDOW_S = 0.1
MIN_SUBMISSIONS = 20
RECOVERED_FRACTION = 0.95
RECOVERY_WINDOW_S = 2.0

ComputeMeasure = Callable[[Journal], float]


@attrs.frozen
class Measure:
    """One figure of a run, and which direction is better (`higher`, `lower` or empty)."""

    name: str
    better: str
    compute: ComputeMeasure


MEASURES: dict[str, Measure] = {}


def measure(name: str, better: str = "") -> Callable[[ComputeMeasure], ComputeMeasure]:
    """Register the decorated function as a measure."""

    def register(compute: ComputeMeasure) -> ComputeMeasure:
        MEASURES[name] = Measure(name, better, compute)
        return compute

    return register


def attainment_by_class(journal: Journal) -> dict[str, float]:
    """Return the fraction of first submissions that met their targets, by class."""
    return {
        request_class.name: _attainment(
            [s for s in _first_submissions(journal) if s.arrival.request_class is request_class]
        )
        for request_class in journal.experiment.classes
    }


@measure("attainment_top_tier", "higher")
def attainment_top_tier(journal: Journal) -> float:
    """Return the fraction of first submissions of the highest tier that met their targets."""
    top = min(request_class.tier for request_class in journal.experiment.classes)
    return _attainment([s for s in _first_submissions(journal) if s.request.tier == top])


@measure("attainment_all", "higher")
def attainment_all(journal: Journal) -> float:
    """Return the fraction of all first submissions that met their targets."""
    return _attainment(_first_submissions(journal))


@measure("served_in_time", "higher")
def served_in_time(journal: Journal) -> float:
    """Return the fraction of callers that were served in time by any of their submissions."""
    served = {s.arrival.number for s in journal.submissions if s.met}
    return len(served) / max(1, len(_first_submissions(journal)))


@measure("goodput_tokens_s", "higher")
def goodput(journal: Journal) -> float:
    """Return the tokens per second of answers that met their targets."""
    good_tokens = sum(s.arrival.tokens for s in journal.submissions if s.met)
    return good_tokens / journal.experiment.duration_s


@measure("wasted_part", "lower")
def wasted_part(journal: Journal) -> float:
    """Return the fraction of generated tokens that belong to no complete answer."""
    whole_tokens = sum(s.arrival.tokens for s in journal.submissions if s.whole)
    return max(0.0, 1.0 - whole_tokens / journal.generated) if journal.generated else 0.0


@measure("worst_customer", "higher")
def worst_customer(journal: Journal) -> float:
    """Return the lowest attainment of any customer with at least `MIN_SUBMISSIONS` requests."""
    by_customer: dict[str, list[Submission]] = {}
    for submission in _first_submissions(journal):
        by_customer.setdefault(submission.arrival.customer.name, []).append(submission)
    eligible = [
        submissions for submissions in by_customer.values() if len(submissions) >= MIN_SUBMISSIONS
    ]
    return min((_attainment(submissions) for submissions in eligible), default=0.0)


@measure("cost_per_good_mtoken", "lower")
def cost_per_good_mtoken(journal: Journal) -> float:
    """Return the spending per million tokens of answers that met their targets."""
    experiment = journal.experiment
    good_tokens = goodput(journal) * experiment.duration_s
    return _spending(experiment, journal) / good_tokens * 1e6 if good_tokens else float("inf")


@measure("cheap_part", "higher")
def cheap_part(journal: Journal) -> float:
    """Return the fraction of good tokens that reclaimable backend servers generated.

    Good tokens belong to answers that met their targets.
    """
    good_tokens = sum(s.arrival.tokens for s in journal.submissions if s.met)
    cheap_tokens = sum(s.cheap_tokens for s in journal.submissions if s.met)
    return cheap_tokens / good_tokens if good_tokens else 0.0


@measure("order_violations", "lower")
def order_violations(journal: Journal) -> float:
    """Count unreserved starts shortly after a refusal of a higher tier in the same pool."""
    refusals: dict[str, list[tuple[float, int]]] = {}
    for submission in journal.submissions:
        if submission.refusal in CAPACITY_REFUSAL_REASONS and submission.ended_at is not None:
            refusals.setdefault(submission.request.pool, []).append(
                (submission.ended_at, submission.request.tier)
            )
    for times in refusals.values():
        times.sort()
    return sum(
        _follows_refusal(submission, refusals.get(submission.request.pool, []))
        for submission in journal.submissions
    )


@measure("shed_waiting_behind_lower", "lower")
def shed_waiting_behind_lower(journal: Journal) -> float:
    """Count requests refused or abandoned while a lower tier started during their wait."""
    starts: dict[tuple[str, int], list[float]] = {}
    for submission in journal.submissions:
        if submission.started_at is not None and not submission.reserved:
            starts.setdefault((submission.request.pool, submission.request.tier), []).append(
                submission.started_at
            )
    for times in starts.values():
        times.sort()
    shed_reasons = (*CAPACITY_REFUSAL_REASONS, RefusalReason.CALLER_DISCONNECTED)
    return sum(
        _waited_behind_lower(s, starts) for s in journal.submissions if s.refusal in shed_reasons
    )


@measure("preemptions")
def preemptions(journal: Journal) -> float:
    """Return the number of preempted requests."""
    return float(journal.preemptions)


@measure("messages_per_node_s", "lower")
def messages_per_node_s(journal: Journal) -> float:
    """Return the messages sent between entries, per entry and second."""
    return journal.messages / journal.experiment.entries / journal.experiment.duration_s


@measure("recovery_s", "lower")
def recovery_s(journal: Journal) -> float:
    """Return the seconds after the last burst until goodput is back at 95% of its earlier level.

    Goodput counts the tokens of requests by their arrival time, in windows of 2 seconds.
    """
    bursts = journal.experiment.bursts
    if not bursts:
        return 0.0
    start, end = min(b.start_s for b in bursts), max(b.end_s for b in bursts)
    before = _met_token_fraction(journal, start / 4, start)
    at = end
    while at + RECOVERY_WINDOW_S <= journal.experiment.duration_s:
        if _met_token_fraction(journal, at, at + RECOVERY_WINDOW_S) >= RECOVERED_FRACTION * before:
            return at - end
        at += RECOVERY_WINDOW_S / 4
    return float("inf")


def _met_token_fraction(journal: Journal, start: float, end: float) -> float:
    submissions = [s for s in _first_submissions(journal) if start <= s.arrival.at < end]
    offered_tokens = sum(s.arrival.tokens for s in submissions)
    return (
        sum(s.arrival.tokens for s in submissions if s.met) / offered_tokens
        if offered_tokens
        else 1.0
    )


def _first_submissions(journal: Journal) -> list[Submission]:
    return [s for s in journal.submissions if s.number == 0]


def _attainment(submissions: list[Submission]) -> float:
    return sum(s.met for s in submissions) / len(submissions) if submissions else 1.0


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


def _follows_refusal(submission: Submission, refusals: list[tuple[float, int]]) -> bool:
    if submission.started_at is None or submission.reserved:
        return False
    index = bisect_left(refusals, (submission.started_at - ORDER_VIOLATION_WINDOW_S, 0))
    while index < len(refusals) and refusals[index][0] < submission.started_at:
        if refusals[index][1] < submission.request.tier:
            return True
        index += 1
    return False


def _waited_behind_lower(
    submission: Submission, starts: dict[tuple[str, int], list[float]]
) -> bool:
    for (pool, tier), times in starts.items():
        if pool != submission.request.pool or tier <= submission.request.tier:
            continue
        index = bisect_left(times, submission.request.arrived)
        if (
            index < len(times)
            and submission.ended_at is not None
            and times[index] < submission.ended_at
        ):
            return True
    return False

"""Draws the faults of a run from its seed; pure."""

from __future__ import annotations

import random

import attrs

__all__ = ["PlannedFault", "draw_plan"]

QUIET_START_S = 4.0
"""Callers are served before the first fault, so that what was broken by it shows."""

QUIET_END_PART = 0.3
"""Part of a run that is left for recovery."""

QUIET_END_MAX_S = 12.0
"""Longest such time: the longest bound within which everything must be served again."""

MEAN_GAP_S = 1.2
"""Mean pause between two series of faults; shorter than most faults last, so they overlap."""

MOST_IN_SERIES = 4
"""Faults of one kind that follow each other in a series."""

SERIES_GAP_S = (0.05, 1.5)
FAULT_LASTS_S = (0.1, 4.0)


@attrs.frozen
class PlannedFault:
    """One fault.

    Attributes:
        at_s: Seconds from the start of traffic.
        kind: Name in the registry of faults.
        target: Picks one of the things that fit, from 0 to 1.
        for_s: Seconds for which it lasts.
        size: How strong it is, from 0 to 1.
    """

    at_s: float
    kind: str
    target: float
    for_s: float
    size: float


def draw_plan(seed: int, seconds: float, kinds: tuple[str, ...]) -> list[PlannedFault]:
    """Return the faults of one run: series of one kind that overlap others.

    Args:
        seed: The same one gives the same plan.
        seconds: Length of the run.
        kinds: Names of faults to draw from.
    """
    rng = random.Random(seed)
    end = seconds - min(QUIET_END_MAX_S, seconds * QUIET_END_PART)
    plan: list[PlannedFault] = []
    at = QUIET_START_S
    while at < end:
        kind = rng.choice(kinds)
        same_target = rng.random() < 0.5
        target = rng.random()
        begins = at
        for _ in range(rng.randint(1, MOST_IN_SERIES)):
            for_s = min(rng.uniform(*FAULT_LASTS_S), end - begins)
            if for_s <= 0:
                break
            plan.append(PlannedFault(begins, kind, target, for_s, rng.random()))
            begins += rng.uniform(*SERIES_GAP_S)
            if not same_target:
                target = rng.random()
        at += rng.expovariate(1 / MEAN_GAP_S)
    return sorted(plan, key=lambda fault: fault.at_s)

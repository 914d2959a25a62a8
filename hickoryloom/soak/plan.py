"""Derives the fault plan of a run from its seed, without side effects."""

from __future__ import annotations

import random

import attrs

__all__ = ["PlannedFault", "draw_plan"]

FAULT_FREE_START_S = 4.0
"""Fault-free time at the start, so that a failure after the first fault is attributable to it."""

RECOVERY_FRACTION = 0.3
"""Fraction of a run that is reserved for recovery."""

MAX_RECOVERY_S = 12.0
"""Upper limit of that time: the longest bound within which requests must succeed again."""

MEAN_SERIES_INTERVAL_S = 1.2
"""Mean time between the starts of two series; shorter than most faults last, so faults overlap."""

MAX_FAULTS_IN_SERIES = 4
"""Maximum number of faults in a series; all faults of a series are of one kind."""

FAULT_INTERVAL_S = (0.05, 1.5)
FAULT_DURATION_S = (0.1, 4.0)


@attrs.frozen
class PlannedFault:
    """One scheduled fault.

    Attributes:
        at_s: Start in seconds after the start of the traffic.
        kind: Name in the fault registry.
        target: Selects one of the eligible targets, from 0 to 1.
        for_s: Duration in seconds.
        intensity: Strength or variant of the fault, from 0 to 1.
    """

    at_s: float
    kind: str
    target: float
    for_s: float
    intensity: float


def draw_plan(seed: int, seconds: float, kinds: tuple[str, ...]) -> list[PlannedFault]:
    """Return the faults of one run: series of one kind each, which may overlap.

    Args:
        seed: Seed of the plan; equal seeds give equal plans.
        seconds: Duration of the run.
        kinds: Names of the faults to draw from.
    """
    rng = random.Random(seed)
    end = seconds - min(MAX_RECOVERY_S, seconds * RECOVERY_FRACTION)
    plan: list[PlannedFault] = []
    series_at = FAULT_FREE_START_S
    while series_at < end:
        kind = rng.choice(kinds)
        same_target = rng.random() < 0.5
        target = rng.random()
        fault_at = series_at
        for _ in range(rng.randint(1, MAX_FAULTS_IN_SERIES)):
            for_s = min(rng.uniform(*FAULT_DURATION_S), end - fault_at)
            if for_s <= 0:
                break
            plan.append(PlannedFault(fault_at, kind, target, for_s, rng.random()))
            fault_at += rng.uniform(*FAULT_INTERVAL_S)
            if not same_target:
                target = rng.random()
        series_at += rng.expovariate(1 / MEAN_SERIES_INTERVAL_S)
    return sorted(plan, key=lambda fault: fault.at_s)

"""Divides the capacity of a service among classes of urgency, and within each among customers.

This answers the load of a service of which more is asked than its servers can do. More urgent
classes come first, and each less urgent one keeps a small part, so that none waits without bound.
This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping

__all__ = ["CLASS_RESERVE", "Demand", "allocate_classes", "fair_share"]

CLASS_RESERVE = 0.1
"""Part of the capacity that each class keeps, whatever more urgent ones ask for."""

MAX_RESERVED = 0.5
"""Part of the capacity that all classes but the most urgent one keep together at most."""

Demand = Mapping[tuple[int, str], float]
"""Work asked for, by urgency (0 first) and customer."""


def fair_share(asked: Collection[float], capacity: float) -> float:
    """Return the work that no customer exceeds if the capacity is divided evenly.

    Customers that ask for less keep what they ask for, and what they leave goes to the others, so
    that the shares add up to the capacity. Without a shortage it is infinite.
    """
    left = capacity
    remaining = sorted(asked)
    for index, work in enumerate(remaining):
        share = left / (len(remaining) - index)
        if work > share:
            return share
        left -= work
    return float("inf")


def allocate_classes(asked: Demand, capacity: float) -> dict[int, tuple[float, float]]:
    """Return the work that each class may do, and the part of it that it keeps in any case.

    Args:
        asked: Work asked for.
        capacity: Work that the service can do.
    """
    by_class: dict[int, float] = {}
    for (urgency, _), work in asked.items():
        by_class[urgency] = by_class.get(urgency, 0.0) + work
    others = max(1, len(by_class) - 1)
    reserve = capacity * min(CLASS_RESERVE, MAX_RESERVED / others)
    kept = {urgency: min(work, reserve) for urgency, work in by_class.items()}
    left = max(0.0, capacity - sum(kept.values()))
    allocated = {}
    for urgency in sorted(by_class):
        further = min(left, by_class[urgency] - kept[urgency])
        left -= further
        allocated[urgency] = (kept[urgency] + further, kept[urgency])
    return allocated

"""Division of a pool's slots between entries, by demand."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["equal_part", "share_of", "spread"]


def equal_part(capacity: int, rank: int, entries: int) -> int:
    """Return the whole slots of the entry with `rank` when all entries get the same.

    Args:
        capacity: Slots of the pool.
        rank: Place of the entry among all, from 0.
        entries: Number of entries.
    """
    part, rest = divmod(capacity, entries)
    return part + (1 if rank < rest else 0)


def spread(capacity: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Return the max-min division of slots by demand.

    Nobody gets more than its demand, and nobody gets more than another that wants more. All
    entries that know the same demands come to the same division.

    Args:
        capacity: Slots to divide.
        demands: Slots that each entry wants.
    """
    left = max(0, capacity)
    parts: dict[str, int] = {}
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for done, (name, demand) in enumerate(ordered):
        contenders = len(ordered) - done
        level, rest = divmod(left, contenders)
        if demand > level:
            winners = sorted(name for name, _ in ordered[done:])
            return parts | {n: level + (1 if i < rest else 0) for i, n in enumerate(winners)}
        parts[name] = demand
        left -= demand
    return parts


def share_of(name: str, capacity: int, demands: Mapping[str, int]) -> int:
    """Return the slots that entry `name` may fill when it wants as many as it can get.

    Args:
        name: The entry that asks.
        capacity: Slots to divide.
        demands: Slots that each other entry wants.
    """
    return spread(capacity, {**demands, name: max(0, capacity)})[name]

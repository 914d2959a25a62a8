"""Division of a pool's slots between entries, by demand."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["equal_part", "share_of"]


def equal_part(capacity: int, rank: int, entries: int) -> int:
    """Return the whole slots of the entry with `rank` when all entries get the same.

    Args:
        capacity: Slots of the pool.
        rank: Place of the entry among all, from 0.
        entries: Number of entries.
    """
    part, rest = divmod(capacity, entries)
    return part + (1 if rank < rest else 0)


def share_of(name: str, capacity: int, demands: Mapping[str, int]) -> int:
    """Return the slots that entry `name` may fill when it wants as many as it can get.

    Max-min division: nobody gets more than its demand while another wants more and has less.
    All entries that know the same demands come to shares whose sum is at most `capacity`.

    Args:
        name: The entry that asks.
        capacity: Slots of the pool.
        demands: Slots that each other entry wants.
    """
    level = capacity
    left = capacity
    contenders = len(demands) + 1
    for demand in sorted(demands.values()):
        level, rest = divmod(left, contenders)
        if demand > level or (demand == level and rest):
            break
        left -= demand
        contenders -= 1
        level = left // contenders
    level, rest = divmod(left, contenders)
    wanting = sorted([name, *(peer for peer, demand in demands.items() if demand > level)])
    return level + (1 if wanting.index(name) < rest else 0)

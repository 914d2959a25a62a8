"""Fair division of a pool's slots between entries."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["equal_share", "max_min_shares", "share_of"]


def equal_share(capacity: int, rank: int, entries: int) -> int:
    """Return the slots of the entry with `rank` if all entries get equal shares.

    The remainder goes to the lowest ranks, one slot each.

    Args:
        capacity: Slots of the pool.
        rank: Position of the entry among all entries, from 0.
        entries: Number of entries.
    """
    share, remainder = divmod(capacity, entries)
    return share + (1 if rank < remainder else 0)


def max_min_shares(capacity: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Return the max-min fair shares of the slots.

    No entry gets more than its demand, or more than an entry with a larger demand. The result is
    deterministic: entries that know the same demands compute the same shares.

    Args:
        capacity: Slots to divide.
        demands: Demanded slots by entry.
    """
    left = max(0, capacity)
    shares: dict[str, int] = {}
    ordered = sorted(demands.items(), key=lambda item: (item[1], item[0]))
    for index, (name, demand) in enumerate(ordered):
        contenders = len(ordered) - index
        level, remainder = divmod(left, contenders)
        if demand > level:
            sharing = sorted(name for name, _ in ordered[index:])
            return shares | {n: level + (1 if i < remainder else 0) for i, n in enumerate(sharing)}
        shares[name] = demand
        left -= demand
    return shares


def share_of(name: str, capacity: int, demands: Mapping[str, int]) -> int:
    """Return the max-min fair share of entry `name` if its own demand is unlimited.

    Args:
        name: The entry whose share is computed.
        capacity: Slots to divide.
        demands: Demanded slots by entry, for the other entries.
    """
    return max_min_shares(capacity, {**demands, name: max(0, capacity)})[name]

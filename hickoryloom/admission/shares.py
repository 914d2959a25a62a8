"""Fair division of a pool's slots between instances."""

from __future__ import annotations

from collections.abc import Mapping

__all__ = ["equal_part", "max_min_shares", "share_of"]


def equal_part(capacity: int, rank: int, instances: int) -> int:
    """Return the slots of the instance with `rank` if all instances get equal shares.

    The remainder goes to the lowest ranks, one slot each.

    Args:
        capacity: Slots of the pool.
        rank: Position of the instance among all instances, from 0.
        instances: Number of instances.
    """
    share, remainder = divmod(capacity, instances)
    return share + (1 if rank < remainder else 0)


def max_min_shares(capacity: int, demands: Mapping[str, int]) -> dict[str, int]:
    """Return the max-min fair shares of the slots.

    No instance gets more than its demand, or more than an instance with a larger demand. The
    result is deterministic: instances that know the same demands compute the same shares.

    Args:
        capacity: Slots to divide.
        demands: Demanded slots by instance.
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
    """Return the max-min fair share of instance `name` if its own demand is unlimited.

    Args:
        name: The instance whose share is computed.
        capacity: Slots to divide.
        demands: Demanded slots by instance, for the other instances.
    """
    return max_min_shares(capacity, {**demands, name: max(0, capacity)})[name]

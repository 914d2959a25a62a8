"""Order of the instances for one key, the same at all instances that know the same others.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["InstanceRanking"]


class InstanceRanking:
    """Ranks this instance among the live ones by rendezvous hashing.

    Args:
        address: Address of this instance, which stays the same when its process restarts.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._others: frozenset[str] | None = None
        self._ranks: dict[str, int] = {}

    @property
    def instances(self) -> int:
        """Number of live instances; 0 until they are known."""
        return 0 if self._others is None else len(self._others) + 1

    def set_others(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of the other live instances."""
        others = frozenset(addresses) - {self._address}
        if others != self._others:
            self._others = others
            self._ranks.clear()

    def rank(self, key: str) -> int | None:
        """Return the rank of this instance for a key, from 0; None until the others are known."""
        if self._others is None:
            return None
        if key not in self._ranks:
            if len(self._ranks) >= MAX_CACHED_RANKS:
                self._ranks.clear()
            own = _weight(key, self._address)
            self._ranks[key] = sum(_weight(key, other) < own for other in self._others)
        return self._ranks[key]


MAX_CACHED_RANKS = 1_000


def _weight(key: str, address: str) -> bytes:
    return blake2b(f"{key}\n{address}".encode(), digest_size=8).digest()

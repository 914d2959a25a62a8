"""Chooses the instances that keep the origin of a stream.

All instances that know the same others choose the same ones.

This module performs no I/O.
"""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["OriginKeepers"]

POINTS = 8
"""Points of each instance on the ring, which even the shares out."""


class OriginKeepers:
    """The other instances on a ring of hashes.

    Args:
        address: Address of this instance.
    """

    def __init__(self, address: str) -> None:
        self._address = address
        self._others: frozenset[str] = frozenset()
        self._ring: list[tuple[bytes, str]] = []

    @property
    def others(self) -> int:
        """Number of other instances."""
        return len(self._others)

    def set_others(self, addresses: Iterable[str]) -> None:
        """Replace the addresses of the other live instances."""
        others = frozenset(addresses) - {self._address}
        if others != self._others:
            self._others = others
            self._ring = sorted(
                (_point(f"{other}\n{number}"), other)
                for other in others
                for number in range(POINTS)
            )

    def first(self, key: str, number: int) -> list[str]:
        """Return up to `number` other instances in the order in which they keep a key."""
        found: dict[str, None] = {}
        start = bisect(self._ring, (_point(key), ""))
        for index in range(len(self._ring)):
            if len(found) >= min(number, len(self._others)):
                break
            found.setdefault(self._ring[(start + index) % len(self._ring)][1])
        return list(found)


def _point(text: str) -> bytes:
    return blake2b(text.encode(), digest_size=8).digest()

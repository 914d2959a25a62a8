"""Prefix affinity: which backend servers are likely to have a prompt prefix cached.

Combines consistent hashing with the engines' cache events, which arrive late and may be lost.
"""

from __future__ import annotations

import bisect
import hashlib
from collections import OrderedDict
from collections.abc import Iterable

import attrs

__all__ = ["PrefixAffinity"]

RING_POINTS_PER_BACKEND = 8
HASHED_BACKENDS_PER_PREFIX = 4
MAX_PREFIXES = 10_000
MAX_BACKENDS_PER_PREFIX = 8
CONFIRMATION_TTL_S = 300.0


@attrs.define
class PrefixAffinity:
    """Maps each prefix to the backend servers that cache it or should come to cache it.

    A hash ring selects a few neighbours for each prefix at a cost that is nearly independent of
    the number of backend servers; rendezvous hashing ranks them. Cache events and completed
    requests refine this guess. Mappings that are not confirmed within `CONFIRMATION_TTL_S` are
    ignored, since the eviction event may have been lost.
    """

    _ring: list[tuple[int, str]] = attrs.field(factory=list)
    _points: dict[str, list[tuple[int, str]]] = attrs.field(factory=dict)
    _last_seen: OrderedDict[str, dict[str, float]] = attrs.field(factory=OrderedDict)

    def set_backends(self, ids: Iterable[str]) -> None:
        """Set the IDs of all backend servers that accept new requests."""
        self._points = {id: self._points.get(id) or _ring_points(id) for id in ids}
        self._ring = sorted(point for points in self._points.values() for point in points)

    def hashed_backends(self, prefix: str) -> list[str]:
        """Return the backend servers to which a prefix hashes, in order of preference."""
        if not self._ring:
            return []
        start = bisect.bisect(self._ring, (_hash(prefix), ""))
        found: list[str] = []
        for step in range(len(self._ring)):
            id = self._ring[(start + step) % len(self._ring)][1]
            if id not in found:
                found.append(id)
            if len(found) == HASHED_BACKENDS_PER_PREFIX:
                break
        return sorted(found, key=lambda id: _hash(prefix + id), reverse=True)

    def caching_backends(self, prefix: str, now: float) -> list[str]:
        """Return the backend servers likely to cache a prefix, most recently confirmed first."""
        known = self._last_seen.get(prefix)
        if not known:
            return []
        fresh = [(at, id) for id, at in known.items() if now - at < CONFIRMATION_TTL_S]
        return [id for _, id in sorted(fresh, reverse=True)]

    def record(self, prefix: str, id: str, cached: bool, now: float) -> None:
        """Record whether a backend server currently has a prefix cached."""
        known = self._last_seen.setdefault(prefix, {})
        self._last_seen.move_to_end(prefix)
        known.pop(id, None)
        if cached:
            known[id] = now
        if len(known) > MAX_BACKENDS_PER_PREFIX:
            del known[next(iter(known))]
        if not known:
            del self._last_seen[prefix]
        elif len(self._last_seen) > MAX_PREFIXES:
            self._last_seen.popitem(last=False)


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def _ring_points(id: str) -> list[tuple[int, str]]:
    return [(_hash(f"{id}#{number}"), id) for number in range(RING_POINTS_PER_BACKEND)]

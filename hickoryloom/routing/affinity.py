"""Where a prompt's prefix is cached, by hashing and by engines' late, gappy cache events."""

from __future__ import annotations

import bisect
import hashlib
from collections import OrderedDict
from collections.abc import Iterable

import attrs

__all__ = ["PrefixAffinity"]

POINTS_PER_BACKEND = 8
HASHED_CANDIDATES = 4
MAX_PREFIXES = 10_000
MAX_HOLDERS = 8
HOLDER_LIFETIME_S = 300.0


@attrs.define
class PrefixAffinity:
    """Names the backend servers at which a prefix is, or should come to be, cached.

    A ring gives each prefix a few neighbours at a cost that hardly grows with the number of
    backend servers; rendezvous hashing ranks these. What engines and own requests tell corrects the
    guess; what nobody confirms for a while is forgotten, since the word of its end may be lost.
    """

    _ring: list[tuple[int, str]] = attrs.field(factory=list)
    _points: dict[str, list[tuple[int, str]]] = attrs.field(factory=dict)
    _holders: OrderedDict[str, dict[str, float]] = attrs.field(factory=OrderedDict)

    def set_backends(self, ids: Iterable[str]) -> None:
        """Take the ids of all backend servers that may get work."""
        self._points = {id: self._points.get(id) or _points_of(id) for id in ids}
        self._ring = sorted(point for points in self._points.values() for point in points)

    def hashed(self, prefix: str) -> list[str]:
        """Return the backend servers that a prefix hashes to, the first choice first."""
        if not self._ring:
            return []
        start = bisect.bisect(self._ring, (_hash(prefix), ""))
        found: list[str] = []
        for step in range(len(self._ring)):
            id = self._ring[(start + step) % len(self._ring)][1]
            if id not in found:
                found.append(id)
            if len(found) == HASHED_CANDIDATES:
                break
        return sorted(found, key=lambda id: _hash(prefix + id), reverse=True)

    def holders(self, prefix: str, now: float) -> list[str]:
        """Return the backend servers that probably hold a prefix, the latest confirmed first."""
        known = self._holders.get(prefix)
        if not known:
            return []
        fresh = [(at, id) for id, at in known.items() if now - at < HOLDER_LIFETIME_S]
        return [id for _, id in sorted(fresh, reverse=True)]

    def note(self, prefix: str, id: str, cached: bool, now: float) -> None:
        """Take word that a prefix entered, is in use at, or left the cache of a backend server."""
        known = self._holders.setdefault(prefix, {})
        self._holders.move_to_end(prefix)
        known.pop(id, None)
        if cached:
            known[id] = now
        if len(known) > MAX_HOLDERS:
            del known[next(iter(known))]
        if not known:
            del self._holders[prefix]
        elif len(self._holders) > MAX_PREFIXES:
            self._holders.popitem(last=False)


def _hash(text: str) -> int:
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest(), "big")


def _points_of(id: str) -> list[tuple[int, str]]:
    return [(_hash(f"{id}#{number}"), id) for number in range(POINTS_PER_BACKEND)]

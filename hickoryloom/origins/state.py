"""Known origins of streams, and which services have servers of several software versions.

This module performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

from hickoryloom.discovery import BackendServer
from hickoryloom.evidence import SharedRecords, Topic
from hickoryloom.origins.listed import LIFETIME_S, MAX_VERSION_CHARS, ListedVersions
from hickoryloom.origins.messages import Origin

__all__ = ["ORIGIN_LIFETIME_S", "ORIGIN_TOPICS", "OriginMemory", "SoftwareVersions"]

ORIGIN_LIFETIME_S = LIFETIME_S

MAX_ORIGINS = 20_000

REFRESH_S = 15.0
"""Interval at which the versions of a mixed service are told to the others again."""

VERSIONS = Topic("software-version", ORIGIN_LIFETIME_S)
ORIGIN_TOPICS = (VERSIONS,)


class OriginMemory:
    """Origins by key, bounded in number and age."""

    def __init__(self) -> None:
        self._origins: OrderedDict[str, tuple[Origin, float]] = OrderedDict()
        self._displaced_at = float("-inf")

    def __len__(self) -> int:
        return len(self._origins)

    def put(self, key: str, origin: Origin, at: float) -> None:
        """Remember an origin; `at` is the monotonic time of the first event, in seconds."""
        self._origins[key] = (origin, at)
        self._origins.move_to_end(key)
        if len(self._origins) > MAX_ORIGINS:
            _, (_, displaced_at) = self._origins.popitem(last=False)
            self._displaced_at = max(displaced_at, self._displaced_at)

    def is_complete(self, now: float) -> bool:
        """Return whether no origin had to give way that would not be too old by now."""
        return now - self._displaced_at >= ORIGIN_LIFETIME_S

    def get(self, key: str, now: float) -> tuple[Origin, float] | None:
        """Return an origin and the time of its first event; None if it is unknown or too old."""
        known = self._origins.get(key)
        if known is None or now - known[1] >= ORIGIN_LIFETIME_S:
            return None
        return known

    def drop(self, key: str) -> None:
        """Forget an origin."""
        self._origins.pop(key, None)

    def all_of(self, service: str, now: float) -> list[tuple[str, Origin, float]]:
        """Return the origins at a service that are not too old, with their keys and times."""
        return [
            (key, origin, at)
            for key, (origin, at) in self._origins.items()
            if origin.service == service and now - at < ORIGIN_LIFETIME_S
        ]

    def expire(self, now: float) -> None:
        """Forget the oldest origins that are too old."""
        while self._origins:
            key, (_, at) = next(iter(self._origins.items()))
            if now - at < ORIGIN_LIFETIME_S:
                return
            del self._origins[key]


class SoftwareVersions:
    """The software versions that each service had lately, as all instances saw them.

    Args:
        records: Records shared with the other instances.
        listed: Versions listed in the store; None if no list is kept.
    """

    def __init__(self, records: SharedRecords, listed: ListedVersions | None = None) -> None:
        self._records = records
        self._listed = listed
        self._seen: dict[str, dict[str, float]] = {}
        self._current: frozenset[tuple[str, str]] = frozenset()
        self._told_at: dict[str, float] = {}

    def update(self, servers: Iterable[BackendServer], now: float) -> None:
        """Apply the list of live backend servers."""
        self.refresh(now)
        self._current = frozenset(
            (server.service, server.software[:MAX_VERSION_CHARS]) for server in servers
        )
        self.refresh(now)

    def refresh(self, now: float) -> None:
        """Record that the current servers are still there; tell the others of mixed services."""
        for service, software in self._current:
            self._seen.setdefault(service, {})[software] = now
        for service, seen in self._seen.items():
            recent = {name for name, at in seen.items() if now - at < ORIGIN_LIFETIME_S}
            self._seen[service] = {name: seen[name] for name in recent}
            if len(recent) < 2 or now - self._told_at.get(service, -REFRESH_S) < REFRESH_S:
                continue
            self._told_at[service] = now
            for name in recent:
                self._records.put(VERSIONS, f"{service}|{name}", "", seen[name])

    def services(self) -> frozenset[str]:
        """Return the services that had servers lately."""
        listed = self._listed.services if self._listed is not None else frozenset()
        return frozenset(self._seen) | listed

    def is_mixed(self, service: str, now: float) -> bool:
        """Return whether a service had servers of several versions within a stream's lifetime."""
        self.refresh(now)
        seen = set(self._seen.get(service, ()))
        if self._listed is not None:
            seen |= self._listed.versions(service, now)
        if len(seen) > 1:
            return True
        told = (record.key.partition("|") for record in self._records.live(VERSIONS, now))
        return len(seen.union(name for of, _, name in told if of == service)) > 1

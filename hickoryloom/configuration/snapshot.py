"""One generation of the configuration, immutable, with look-ups."""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from hickoryloom.configuration.documents import (
    Customer,
    KeyRecord,
    Pool,
    PoolKind,
    RequestClass,
    Route,
    Service,
)

__all__ = ["EMPTY_SNAPSHOT", "Snapshot"]


@attrs.frozen
class Snapshot:
    """All documents of one generation.

    Attributes:
        generation: Counts up by one with each accepted publication; 0 before the first.
        pools: Pools by name.
        services: Services by name.
        classes: Request classes by name.
        customers: Customers by name.
        keys: Keys in force by hash; a withdrawn key is not among them.
        changed_from: Generation from which `changed_keys` leads here; -1 when it is not known.
        changed_keys: Hashes of keys that differ from those of that generation.
    """

    generation: int
    pools: Mapping[str, Pool] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)
    classes: Mapping[str, RequestClass] = attrs.field(factory=dict)
    customers: Mapping[str, Customer] = attrs.field(factory=dict)
    keys: Mapping[str, KeyRecord] = attrs.field(factory=dict)
    changed_from: int = attrs.field(default=-1, eq=False)
    changed_keys: frozenset[str] = attrs.field(default=frozenset(), eq=False)

    def pool_for_model(self, model: str) -> Pool | None:
        """Return the engine pool that serves `model`, or None."""
        for pool in self.pools.values():
            if pool.kind is PoolKind.ENGINE and pool.model == model:
                return pool
        return None

    def route_of(self, service: str, method: str, path: str) -> Route | None:
        """Return the route of a plain service that matches a call, or None."""
        found = self.services.get(service)
        if found is None:
            return None
        for route in found.routes:
            if route.method == method and _matches(route.path, path):
                return route
        return None


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern


EMPTY_SNAPSHOT = Snapshot(generation=0)

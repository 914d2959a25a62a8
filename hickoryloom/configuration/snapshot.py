"""An immutable snapshot of one generation of the configuration."""

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
        generation: Number of the generation, which increases with each change; 0 before the first.
        pools: Pools by name.
        services: Services by name.
        classes: Request classes by name.
        customers: Customers by name.
        keys: Active keys by hash; withdrawn keys are not included.
        changed_from: Generation to which `changed_keys` refers; -1 if unknown.
        changed_keys: Hashes of the keys that differ from that generation.
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
        """Return the route of a plain service that matches a request, or None."""
        definition = self.services.get(service)
        if definition is None:
            return None
        for route in definition.routes:
            if route.method == method and _matches(route.path, path):
                return route
        return None


def _matches(pattern: str, path: str) -> bool:
    if pattern.endswith("*"):
        return path.startswith(pattern[:-1])
    return path == pattern


EMPTY_SNAPSHOT = Snapshot(generation=0)

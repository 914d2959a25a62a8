"""Lists what differs between two catalogs. Performs no I/O."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

import attrs

from hickoryloom.catalog.messages import Catalog, Customer

__all__ = ["list_differences"]


def list_differences(before: Catalog, after: Catalog) -> list[str]:
    """Return a line for each route, service, customer and limit that differs.

    Keys are shown by their number only.
    """
    routes = _by_name(before), _by_name(after)
    return [
        *_compare("route", *routes),
        *_compare("service", before.services, after.services),
        *_compare_customers(before, after),
        *_fields("limits", before.limits, after.limits),
    ]


def _by_name(catalog: Catalog) -> dict[str, Any]:
    """Return the routes by name; those of a repeated name are numbered."""
    routes: dict[str, Any] = {}
    for route in catalog.routes:
        name, number = route.name, 2
        while name in routes:
            name, number = f"{route.name}#{number}", number + 1
        routes[name] = route
    return routes


def _compare(kind: str, before: Mapping[str, Any], after: Mapping[str, Any]) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in before:
            yield f"added {kind}:{name}"
        elif name not in after:
            yield f"removed {kind}:{name}"
        else:
            yield from _fields(f"{kind}:{name}", before[name], after[name])


def _fields(entry: str, before: Any, after: Any) -> Iterator[str]:
    for field in attrs.fields(type(before)):
        old, new = getattr(before, field.name), getattr(after, field.name)
        if old != new:
            yield f"changed {entry} {field.name}: {_show(old)} -> {_show(new)}"


def _show(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(f"{target.service} {target.weight:g}" for target in value)
    return str(getattr(value, "value", value))


def _compare_customers(before: Catalog, after: Catalog) -> Iterator[str]:
    entries = [_customers(catalog) for catalog in (before, after)]
    yield from _compare("customer", *entries)
    for name in sorted(entries[0].keys() & entries[1].keys()):
        old, new = (
            {hash for hash, customer in catalog.customers.items() if customer.name == name}
            for catalog in (before, after)
        )
        if old != new:
            yield f"changed customer:{name} keys: {len(new - old)} added, {len(old - new)} removed"
    if before.requires_keys != after.requires_keys:
        yield f"changed requires_keys: {before.requires_keys} -> {after.requires_keys}"


def _customers(catalog: Catalog) -> dict[str, Any]:
    customers = {name: Customer(name) for name in catalog.customers_without_keys}
    customers.update({customer.name: customer for customer in catalog.customers.values()})
    return customers

"""Validates documents as a whole: references, duplicate names and sums."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable, Iterator

import attrs

from hickoryloom.config import Fault
from hickoryloom.configuration.documents import Documents, Pool, PoolKind, Service

__all__ = ["MAX_RESERVED", "Sources", "check_documents"]

MAX_RESERVED = 0.5
ROUNDING_TOLERANCE = 1e-9

Sources = dict[tuple[str, str], str]
Check = Callable[[Documents], Iterator["Finding"]]
CHECKS: list[Check] = []


@attrs.frozen
class Finding:
    """A fault in one record, without the file that defines the record."""

    section: str
    name: str
    key: str
    found: str
    allowed: str
    remedy: str


def check_documents(documents: Documents, sources: Sources) -> list[Fault]:
    """Return the faults that can only be detected across all documents.

    Args:
        documents: Records that passed validation one by one.
        sources: File of each record by section and name, including records that failed their own
            validation: a reference to such a record is not reported as another fault.
    """
    faults = []
    for check in CHECKS:
        for finding in check(documents):
            file = sources.get((finding.section, finding.name), "in force")
            key_path = ".".join(
                part for part in (finding.section, finding.name, finding.key) if part
            )
            faults.append(Fault(file, key_path, finding.found, finding.allowed, finding.remedy))
    return [fault for fault in faults if not _is_consequential(fault, documents, sources)]


def _register(check: Check) -> Check:
    CHECKS.append(check)
    return check


def _is_consequential(fault: Fault, documents: Documents, sources: Sources) -> bool:
    """Return whether a reference is only unresolved because its target is invalid."""
    if not fault.found.startswith("the unknown "):
        return False
    name = fault.found.split("'")[1]
    sections = ("pools", "services", "classes", "customers")
    return any(
        (section, name) in sources and name not in getattr(documents, section)
        for section in sections
    )


def _unknown_reference(
    section: str, name: str, key: str, kind: str, target: str, known: Iterable[str]
) -> Finding:
    names = ", ".join(sorted(known)[:10]) or "none is defined"
    found = f"the unknown {kind} '{target}'"
    return Finding(section, name, key, found, names, f"Define the {kind} or reference another.")


@_register
def check_pools(documents: Documents) -> Iterator[Finding]:
    """Check each pool's kind, limits and sources of backend servers."""
    for pool in documents.pools.values():
        yield from _check_kind(pool)
        yield from _check_bounds(pool)


def _check_kind(pool: Pool) -> Iterator[Finding]:
    if pool.kind is PoolKind.ENGINE and not pool.model:
        yield Finding(
            "pools", pool.name, "model", "nothing", "the name of a model", "Set the model."
        )
    if pool.kind is PoolKind.SERVICE and pool.model:
        found, allowed = f"the model '{pool.model}'", "no model for a plain service"
        yield Finding("pools", pool.name, "model", found, allowed, "Remove the model.")


def _check_bounds(pool: Pool) -> Iterator[Finding]:
    if pool.min_servers > pool.max_servers:
        found, allowed = str(pool.min_servers), f"at most max_servers, {pool.max_servers}"
        yield Finding("pools", pool.name, "min_servers", found, allowed, "Lower it.")
    if pool.max_servers and not pool.failure_domains:
        found, allowed = "nothing", "the failure domains in which to order servers"
        yield Finding("pools", pool.name, "failure_domains", found, allowed, "List them.")
    if not pool.max_servers and not pool.servers:
        found, allowed = "no backend server", "max_servers of at least 1, or a list of servers"
        yield Finding("pools", pool.name, "servers", found, allowed, "Add one of them.")
    if pool.cheap and pool.cheap_price > pool.price:
        found, allowed = f"{pool.cheap_price:g}", f"at most price, {pool.price:g}"
        yield Finding("pools", pool.name, "cheap_price", found, allowed, "Lower it.")


@_register
def check_models(documents: Documents) -> Iterator[Finding]:
    """Check that each model is served by only one pool."""
    first_pool: dict[str, str] = {}
    for pool in documents.pools.values():
        if pool.model and first_pool.setdefault(pool.model, pool.name) != pool.name:
            found = f"the model '{pool.model}' of pool {first_pool[pool.model]}"
            yield Finding(
                "pools", pool.name, "model", found, "one pool per model", "Merge the pools."
            )


@_register
def check_servers(documents: Documents) -> Iterator[Finding]:
    """Check that each static backend server is listed once."""
    first_pool: dict[str, str] = {}
    for pool in documents.pools.values():
        for server in pool.servers:
            for value in (server.id, server.address):
                if value in first_pool:
                    found = f"{value}, which pool {first_pool[value]} also lists"
                    allowed = "each backend server once"
                    yield Finding("pools", pool.name, "servers", found, allowed, "Remove one.")
                first_pool[value] = pool.name


@_register
def check_services(documents: Documents) -> Iterator[Finding]:
    """Check each service's pool and routes."""
    for service in documents.services.values():
        pool = documents.pools.get(service.pool)
        if pool is None:
            yield _unknown_reference(
                "services", service.name, "pool", "pool", service.pool, documents.pools
            )
        elif pool.kind is PoolKind.SERVICE and not service.routes:
            allowed = "at least one route of a plain service"
            yield Finding("services", service.name, "routes", "none", allowed, "Add routes.")
        yield from _check_routes(service)


def _check_routes(service: Service) -> Iterator[Finding]:
    counted = Counter((route.method, route.path) for route in service.routes)
    for (method, path), count in counted.items():
        if count > 1:
            found = f"{method} {path} {count} times"
            yield Finding("services", service.name, "routes", found, "each once", "Remove one.")


@_register
def check_reserves(documents: Documents) -> Iterator[Finding]:
    """Check that the sum of all reserves leaves capacity for scheduling by tier."""
    total = sum(request_class.reserve for request_class in documents.classes.values())
    if total > MAX_RESERVED + ROUNDING_TOLERANCE:
        largest = max(
            documents.classes.values(), key=lambda candidate: (candidate.reserve, candidate.name)
        )
        allowed = f"reserves that sum to at most {MAX_RESERVED:g} over all classes"
        found = f"a sum of {total:g}"
        yield Finding("classes", largest.name, "reserve", found, allowed, "Lower the reserves.")


@_register
def check_customers(documents: Documents) -> Iterator[Finding]:
    """Check that each customer's classes and services exist."""
    models = {pool.model for pool in documents.pools.values() if pool.model}
    callable_names = {*documents.services, *models}
    for customer in documents.customers.values():
        for name in customer.classes:
            if name not in documents.classes:
                classes = documents.classes
                yield _unknown_reference(
                    "customers", customer.name, "classes", "class", name, classes
                )
        for name in customer.services:
            if name not in callable_names:
                yield _unknown_reference(
                    "customers", customer.name, "services", "service", name, callable_names
                )


@_register
def check_keys(documents: Documents) -> Iterator[Finding]:
    """Check that each key's customer exists and is allowed the key's class."""
    for key in documents.keys.values():
        customer = documents.customers.get(key.customer)
        if customer is None:
            yield _unknown_reference(
                "keys", key.label, "customer", "customer", key.customer, documents.customers
            )
        elif key.request_class and key.request_class not in customer.classes:
            found = f"the class '{key.request_class}'"
            allowed = f"the classes of {customer.name}: {', '.join(customer.classes)}"
            yield Finding("keys", key.label, "class", found, allowed, "Change the class.")

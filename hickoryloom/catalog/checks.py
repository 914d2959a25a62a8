"""Checks of a catalog before it is put in force. Performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterator

import attrs

from hickoryloom.catalog.messages import Catalog, RequestKind, Route

__all__ = ["CATALOG_CHECKS", "Finding", "RetryLimits", "check_catalog", "catalog_check"]


@attrs.frozen
class Finding:
    """Something in a catalog that is at fault, or has no effect.

    Attributes:
        check: Name of the check.
        entry: The route, service, customer or limit, as `kind:name`.
        detail: What was found.
    """

    check: str
    entry: str
    detail: str

    def __str__(self) -> str:
        return f"{self.check} {self.entry}: {self.detail}"


@attrs.frozen
class RetryLimits:
    """Retries that all instances together allow.

    Attributes:
        ratio: Retries per request of a service.
        slack: Additional retries per window.
    """

    ratio: float
    slack: float


Check = Callable[[Catalog, RetryLimits], Iterator[tuple[str, str]]]

CATALOG_CHECKS: dict[str, Check] = {}
"""Checks by name; each yields the entry and what was found."""


def catalog_check(name: str) -> Callable[[Check], Check]:
    """Register the decorated function as a check."""

    def register(check: Check) -> Check:
        CATALOG_CHECKS[name] = check
        return check

    return register


def check_catalog(catalog: Catalog, limits: RetryLimits) -> list[Finding]:
    """Return the findings of all checks."""
    return [
        Finding(name, entry, detail)
        for name, check in CATALOG_CHECKS.items()
        for entry, detail in check(catalog, limits)
    ]


@catalog_check("route-hidden")
def _hidden_routes(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    first: dict[tuple[str, str], Route] = {}
    for route in catalog.routes:
        by = first.setdefault((route.host, route.path_prefix), route)
        if by is not route:
            yield _route(route), f"never matches: route {by.name!r} has its host and prefix"


@catalog_check("route-unmatched")
def _unmatched_routes(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    for route in catalog.routes:
        if not route.path_prefix.startswith("/"):
            yield _route(route), f"never matches: prefix {route.path_prefix!r} has no leading '/'"


@catalog_check("name-repeated")
def _repeated_names(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    names = [route.name for route in catalog.routes]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f"route:{name}", f"{names.count(name)} routes have this name"


@catalog_check("service-missing")
def _missing_services(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    for route in catalog.routes:
        for target in route.targets:
            if target.service not in catalog.services:
                yield _route(route), f"service {target.service!r} has no entry"


@catalog_check("service-unused")
def _unused_services(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    used = {target.service for route in catalog.routes for target in route.targets}
    for name in sorted(catalog.services.keys() - used):
        yield f"service:{name}", "no route leads to it"


@catalog_check("customer-without-keys")
def _customers_without_keys(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    for name in catalog.customers_without_keys:
        yield f"customer:{name}", "has no keys"


@catalog_check("key-shared")
def _shared_keys(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    for names in catalog.customers_with_one_key:
        yield f"customer:{names[-1]}", f"has a key that {', '.join(map(repr, names[:-1]))} has too"


@catalog_check("target-above-timeout")
def _targets(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    for route in catalog.routes:
        if route.target_s > route.timeout_s:
            yield _route(route), f"target {route.target_s:g} s, timeout {route.timeout_s:g} s"


@catalog_check("gap-above-timeout")
def _gaps(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    for route in catalog.routes:
        if route.kind is RequestKind.STREAM and route.max_gap_s > route.timeout_s:
            yield _route(route), f"gap {route.max_gap_s:g} s, timeout {route.timeout_s:g} s"


@catalog_check("timeout-not-positive")
def _timeouts(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    for route in catalog.routes:
        if route.timeout_s <= 0:
            yield _route(route), f"timeout {route.timeout_s:g} s"


@catalog_check("attempts-above-retries")
def _attempts(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    # A request that is alone in its window has the slack and its own part of the ratio.
    allowed = 1 + int(limits.slack + limits.ratio)
    for route in catalog.routes:
        if route.max_attempts > allowed:
            yield _route(route), f"{route.max_attempts} attempts, the retry limits allow {allowed}"


@catalog_check("servers-min-above-max")
def _bounds(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    for service in catalog.services.values():
        scaling = service.scaling
        if scaling is not None and scaling.min_servers > scaling.max_servers:
            detail = f"min {scaling.min_servers}, max {scaling.max_servers} servers"
            yield f"service:{service.name}", detail


@catalog_check("body-limit")
def _body_limit(catalog: Catalog, limits: RetryLimits) -> Iterator[tuple[str, str]]:
    # A catalog does not state how large the bodies of a route are.
    if catalog.routes and catalog.limits.body_bytes <= 0:
        yield "limit:body_bytes", f"{catalog.limits.body_bytes} bytes: no request may have a body"


def _route(route: Route) -> str:
    return f"route:{route.name}"

"""The operators' documents, as checked data."""

from __future__ import annotations

import enum

import attrs

__all__ = [
    "Customer",
    "KeyRecord",
    "Pool",
    "PoolKind",
    "RequestClass",
    "Route",
    "Service",
    "StaticBackend",
]


class PoolKind(enum.Enum):
    """What runs on a pool's backend servers."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class StaticBackend:
    """A backend server that operators run themselves, outside the ordering interface."""

    id: str
    address: str
    failure_domain: str
    cheap: bool = False


@attrs.frozen
class Pool:
    """Backend servers of one kind, ordered and sized together.

    Attributes:
        name: Unique name.
        kind: Model engines or a plain service.
        model: The model that its engines serve; empty for a plain service.
        slots: Requests that one backend server runs side by side.
        tokens_per_s: Output tokens per second of one slot, for estimates before any is measured.
        failure_domains: Where its backend servers may be ordered.
        min_servers: Fewest backend servers.
        max_servers: Most backend servers.
        cheap: Whether reclaimable capacity may be ordered.
        price: Cost of one ordinary backend server per hour.
        cheap_price: Cost of one reclaimable backend server per hour.
        load_s: Seconds from order to service.
        fences: Whether its backend servers refuse orders with an old fencing number.
        servers: Backend servers that are not ordered but listed.
    """

    name: str
    kind: PoolKind
    model: str = ""
    slots: int = 8
    tokens_per_s: float = 40.0
    failure_domains: tuple[str, ...] = ()
    min_servers: int = 0
    max_servers: int = 0
    cheap: bool = False
    price: float = 1.0
    cheap_price: float = 0.3
    load_s: float = 60.0
    fences: bool = True
    servers: tuple[StaticBackend, ...] = ()


@attrs.frozen
class Route:
    """A call of a plain service.

    Attributes:
        method: HTTP method in upper case.
        path: Path below the service, with a leading slash; a trailing `*` matches any rest.
        idempotent: Whether the call may be repeated.
        open: Whether it needs no key.
    """

    method: str
    path: str
    idempotent: bool = False
    open: bool = False


@attrs.frozen
class Service:
    """Something that callers ask for by name, served by one pool."""

    name: str
    pool: str
    routes: tuple[Route, ...] = ()


@attrs.frozen
class RequestClass:
    """A class of requests with its targets and priority.

    Attributes:
        name: Unique name.
        tier: 1 is the highest; lower tiers yield to it.
        first_token_ms: Target from arrival to first token.
        token_gap_ms: Target between tokens.
        answer_ms: Target from arrival to the whole answer; 0 for none.
        reserve: Part of each pool that is the class's own, between 0 and 1.
        resumable: Whether its answers may be preempted and resumed.
    """

    name: str
    tier: int
    first_token_ms: int
    token_gap_ms: int
    answer_ms: int = 0
    reserve: float = 0.0
    resumable: bool = True


@attrs.frozen
class Customer:
    """A customer with its share and limits.

    Attributes:
        name: Unique name.
        classes: Classes that it may use; the first is the default.
        weight: Share among customers of one class.
        tokens_per_minute: Limit over all entries; 0 for none.
        max_in_flight: Limit over all entries; 0 for none.
        services: Services that it may call; empty for all.
    """

    name: str
    classes: tuple[str, ...]
    weight: float = 1.0
    tokens_per_minute: int = 0
    max_in_flight: int = 0
    services: tuple[str, ...] = ()


@attrs.frozen
class KeyRecord:
    """A caller's key, known only by its hash.

    Attributes:
        hash: Lower-case hexadecimal SHA-256 of the key.
        customer: The customer that it stands for.
        label: A name that operators know it by.
        request_class: Default class; empty for the customer's default.
    """

    hash: str
    customer: str
    label: str
    request_class: str = ""

"""Data model of the operators' configuration documents."""

from __future__ import annotations

import enum
from collections.abc import Mapping

import attrs

from hickoryloom.config import (
    Address,
    Choice,
    Digest,
    Flag,
    Integer,
    ListOf,
    Name,
    Number,
    Pattern,
    Record,
    declare,
)

__all__ = [
    "Customer",
    "Documents",
    "KeyRecord",
    "Pool",
    "PoolKind",
    "RequestClass",
    "Route",
    "Service",
    "StaticBackend",
]

MAX_SLOTS = 4096
MAX_SERVERS = 10_000
MAX_TOKENS_PER_S = 100_000
MAX_PRICE = 1_000_000
MAX_LOAD_S = 3600
MAX_TARGET_MS = 3_600_000
LOWEST_TIER = 4
MAX_WEIGHT = 1000
MAX_TOKENS_PER_MINUTE = 10**12
MAX_IN_FLIGHT = 1_000_000
MODEL_NAME = r"([A-Za-z0-9][A-Za-z0-9._:/-]{0,126})?"
MODEL_NAME_FORMAT = "up to 127 letters, digits, '.', '_', ':', '/' and '-', or an empty string"
CALLABLE_NAME = r"[A-Za-z0-9][A-Za-z0-9._:/-]{0,126}"
CALLABLE_NAME_FORMAT = "names of services or models"
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")


class PoolKind(enum.Enum):
    """What runs on a pool's backend servers."""

    ENGINE = "engine"
    SERVICE = "service"


@attrs.frozen
class StaticBackend:
    """A backend server that operators run themselves, not provisioned through the platform."""

    id: str = attrs.field(metadata=declare(Name()))
    address: str = attrs.field(metadata=declare(Address()))
    failure_domain: str = attrs.field(metadata=declare(Name()))
    cheap: bool = attrs.field(default=False, metadata=declare(Flag()))


@attrs.frozen
class Pool:
    """Backend servers of one kind that are provisioned and scaled together.

    Attributes:
        name: Unique name.
        kind: Model engines or a plain service.
        model: The model that its engines serve; empty for a plain service.
        slots: Requests that one backend server runs concurrently.
        tokens_per_s: Output tokens per second of one slot, used for estimates until a rate has been
            measured.
        failure_domains: Failure domains in which its backend servers may be provisioned.
        min_servers: Minimum number of backend servers.
        max_servers: Maximum number of backend servers.
        cheap: Whether reclaimable (spot) capacity may be provisioned.
        price: Cost of one on-demand backend server per hour.
        cheap_price: Cost of one reclaimable backend server per hour.
        load_s: Seconds from the order of a backend server until it serves requests.
        fences: Whether its backend servers reject orders with an outdated fencing token.
        servers: Static backend servers.
    """

    name: str
    kind: PoolKind = attrs.field(metadata=declare(Choice(("engine", "service"), PoolKind)))
    model: str = attrs.field(default="", metadata=declare(Pattern(MODEL_NAME, MODEL_NAME_FORMAT)))
    slots: int = attrs.field(default=8, metadata=declare(Integer(1, MAX_SLOTS)))
    tokens_per_s: float = attrs.field(default=40.0, metadata=declare(Number(0.1, MAX_TOKENS_PER_S)))
    failure_domains: tuple[str, ...] = attrs.field(default=(), metadata=declare(ListOf(Name())))
    min_servers: int = attrs.field(default=0, metadata=declare(Integer(0, MAX_SERVERS)))
    max_servers: int = attrs.field(default=0, metadata=declare(Integer(0, MAX_SERVERS)))
    cheap: bool = attrs.field(default=False, metadata=declare(Flag()))
    price: float = attrs.field(default=1.0, metadata=declare(Number(0, MAX_PRICE)))
    cheap_price: float = attrs.field(default=0.3, metadata=declare(Number(0, MAX_PRICE)))
    load_s: float = attrs.field(default=60.0, metadata=declare(Number(0, MAX_LOAD_S)))
    fences: bool = attrs.field(default=True, metadata=declare(Flag()))
    servers: tuple[StaticBackend, ...] = attrs.field(
        default=(), metadata=declare(ListOf(Record(StaticBackend)))
    )


@attrs.frozen
class Route:
    """A route of a plain service.

    Attributes:
        method: HTTP method in upper case.
        path: Path below the service, with a leading slash; a trailing `*` matches any suffix.
        idempotent: Whether a request may be repeated.
        open: Whether requests need no key.
    """

    method: str = attrs.field(metadata=declare(Choice(METHODS)))
    path: str = attrs.field(
        metadata=declare(
            Pattern(r"/[!-)+-~]*\*?", "a path with a leading slash and at most one * at its end")
        )
    )
    idempotent: bool = attrs.field(default=False, metadata=declare(Flag()))
    open: bool = attrs.field(default=False, metadata=declare(Flag()))


@attrs.frozen
class Service:
    """A service that callers address by name, served by one pool."""

    name: str
    pool: str = attrs.field(metadata=declare(Name()))
    routes: tuple[Route, ...] = attrs.field(default=(), metadata=declare(ListOf(Record(Route))))


@attrs.frozen
class RequestClass:
    """A class of requests with its latency targets and priority.

    Attributes:
        name: Unique name.
        tier: Priority; 1 is the highest and takes precedence over all others.
        first_token_ms: Target for the time from arrival to the first token.
        token_gap_ms: Target for the time between tokens.
        answer_ms: Target for the time from arrival to the complete response; 0 for none.
        reserve: Fraction of each pool that is reserved for the class, between 0 and 1.
        resumable: Whether its requests may be preempted and resumed.
    """

    name: str
    tier: int = attrs.field(metadata=declare(Integer(1, LOWEST_TIER)))
    first_token_ms: int = attrs.field(metadata=declare(Integer(1, MAX_TARGET_MS)))
    token_gap_ms: int = attrs.field(metadata=declare(Integer(1, MAX_TARGET_MS)))
    answer_ms: int = attrs.field(default=0, metadata=declare(Integer(0, MAX_TARGET_MS)))
    reserve: float = attrs.field(default=0.0, metadata=declare(Number(0, 1)))
    resumable: bool = attrs.field(default=True, metadata=declare(Flag()))


@attrs.frozen
class Customer:
    """A customer with its weight and limits.

    Attributes:
        name: Unique name.
        classes: Classes that it may use; the first is the default.
        weight: Weight of its share among the customers of one class.
        tokens_per_minute: Limit across all entries; 0 for none.
        max_in_flight: Limit of concurrent requests across all entries; 0 for none.
        services: Services that it may call; empty for all.
    """

    name: str
    classes: tuple[str, ...] = attrs.field(metadata=declare(ListOf(Name(), at_least=1)))
    weight: float = attrs.field(default=1.0, metadata=declare(Number(0.001, MAX_WEIGHT)))
    tokens_per_minute: int = attrs.field(
        default=0, metadata=declare(Integer(0, MAX_TOKENS_PER_MINUTE))
    )
    max_in_flight: int = attrs.field(default=0, metadata=declare(Integer(0, MAX_IN_FLIGHT)))
    services: tuple[str, ...] = attrs.field(
        default=(), metadata=declare(ListOf(Pattern(CALLABLE_NAME, CALLABLE_NAME_FORMAT)))
    )


@attrs.frozen
class KeyRecord:
    """A caller's API key, stored only as its hash.

    Attributes:
        hash: Lower-case hexadecimal SHA-256 of the key.
        customer: The customer that the key authenticates.
        label: Name of the key for operators.
        request_class: Default class; empty for the customer's default.
        issued: Whether the key was added by `keys issue` instead of by a document.
    """

    hash: str = attrs.field(metadata=declare(Digest()))
    customer: str = attrs.field(metadata=declare(Name()))
    label: str
    request_class: str = attrs.field(default="", metadata=declare(Name(optional=True), "class"))
    issued: bool = False


@attrs.frozen
class Documents:
    """All documents, merged and validated as a whole.

    Attributes:
        pools: Pools by name.
        services: Services by name.
        classes: Request classes by name.
        customers: Customers by name.
        keys: Keys by hash.
    """

    pools: Mapping[str, Pool] = attrs.field(factory=dict)
    services: Mapping[str, Service] = attrs.field(factory=dict)
    classes: Mapping[str, RequestClass] = attrs.field(factory=dict)
    customers: Mapping[str, Customer] = attrs.field(factory=dict)
    keys: Mapping[str, KeyRecord] = attrs.field(factory=dict)

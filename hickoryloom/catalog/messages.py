"""The catalog: one version of the configuration made by operators."""

from __future__ import annotations

import enum
import hashlib

import attrs

__all__ = [
    "CallerLimits",
    "Catalog",
    "Customer",
    "EngineLimits",
    "RequestKind",
    "Route",
    "ScalingBounds",
    "Service",
    "Target",
    "hash_key",
]


class RequestKind(enum.Enum):
    """Whether and how a request with an unknown outcome may be retried.

    Attributes:
        REPEATABLE: The request may be executed more than once.
        ONCE: The request must be executed at most once.
        STREAM: The response is a stream of events. It is resumed if the route allows that;
            otherwise the request must be executed at most once.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Target:
    """A service that receives a share of the requests of a route."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Targets and service level of the requests with one host and path prefix.

    Attributes:
        name: Name used in logs and metrics.
        host: Value of the `Host` header, in lower case.
        path_prefix: Prefix that starts and ends with a slash.
        kind: Whether and how requests may be retried.
        timeout_s: Maximum time that a request may wait for its response, in seconds.
        target_s: Latency target for the response or for the first event of a stream, in seconds.
        max_gap_s: Latency target for the gap between two events of a stream, in seconds.
        priority: Priority of the requests; 0 is the most urgent.
        targets: Services among which the requests are split by weight.
        max_attempts: Maximum number of backend servers that one request may be sent to.
        open_to_all: Whether requests are accepted without a key.
        resumable: Whether another backend server may resume an interrupted stream.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_s: float
    target_s: float
    targets: tuple[Target, ...]
    max_gap_s: float = 0.0
    priority: int = 0
    max_attempts: int = 1
    open_to_all: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request may be executed more than once."""
        return self.kind is RequestKind.REPEATABLE or self.resumable


@attrs.frozen
class EngineLimits:
    """Capacity of one model engine of a service.

    Attributes:
        slots: Number of requests that it runs concurrently.
        memory_tokens: Number of tokens that fit in its memory, for running requests and cached
            prefixes together.
    """

    slots: int
    memory_tokens: int


@attrs.frozen
class ScalingBounds:
    """Bounds and prices for ordering backend servers of a service.

    Attributes:
        min_servers: Minimum number in each failure domain.
        max_servers: Maximum number in each failure domain, including reclaimable ones.
        boot_s: Seconds from the order of a backend server until it is ready.
        reclaimable_price: Price of a reclaimable backend server as a fraction of the regular
            price; None if there are no reclaimable ones.
        prices: Price per second of a backend server, by failure domain.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    reclaimable_price: float | None
    prices: dict[str, float]


@attrs.frozen
class Service:
    """A group of interchangeable backend servers.

    Attributes:
        max_connections: Number of connections that one backend server accepts from all its clients
            together.
        engine: Capacity of one engine; None if the backend servers are not model engines.
        scaling: Bounds for ordering; None if no backend servers may be ordered.
        warm_up_s: Seconds after its start for which a backend server is cold.
        warm_up_per_s: Requests per second that a cold backend server takes from all instances
            together; 0 for no such limit.
        health_path: Path at which a backend server answers health checks; empty if unknown.
    """

    name: str
    max_connections: int = 0
    engine: EngineLimits | None = None
    scaling: ScalingBounds | None = None
    warm_up_s: float = 0.0
    warm_up_per_s: float = 0.0
    health_path: str = ""


@attrs.frozen
class Customer:
    """The customer that is charged for a request.

    Attributes:
        priority: Takes precedence over the priority of the route; None to use that of the route.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """Limits on the size and duration of requests from callers.

    Attributes:
        header_bytes: Maximum size of the headers of a request, in bytes.
        body_bytes: Maximum size of the body of a request, in bytes.
        header_timeout_s: Seconds allowed from the first byte of a request to its last header byte.
        idle_timeout_s: Seconds after which an idle connection may be closed.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class Catalog:
    """One immutable version of the configuration.

    Attributes:
        version: Number that increases with each change but may skip values; 0 before the first.
        routes: Routes of all hosts.
        services: Services by name.
        customers: Customers by key hash; a customer is listed once for each of its keys.
        limits: Limits on requests from callers.
        requires_keys: Whether requests need a key, except on routes that are open to all.
        customers_without_keys: Names of customers that have no keys.
        customers_with_one_key: Names of the customers of each key that several have; the last has
            it in force.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.field(factory=dict)
    customers: dict[str, Customer] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    requires_keys: bool = False
    customers_without_keys: tuple[str, ...] = ()
    customers_with_one_key: tuple[tuple[str, ...], ...] = ()


def hash_key(key: str) -> str:
    """Return the hash that identifies a key in storage, where the key itself is never kept."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()

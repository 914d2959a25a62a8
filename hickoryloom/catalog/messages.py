"""The catalog: one version of all that operators have configured."""

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
    """What may be done with a request whose fate is unknown."""

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@attrs.frozen
class Target:
    """A service that gets a share of a route's requests."""

    service: str
    weight: float = 1.0


@attrs.frozen
class Route:
    """Where the requests of one host and path prefix go, and what they are owed.

    Attributes:
        name: Name for logs and metrics.
        host: Value of the header `Host`, in lower case.
        path_prefix: Begins and ends with a slash.
        kind: What may be repeated.
        timeout_s: Longest time for which a request is kept waiting, in seconds.
        target_s: Time to the answer, or to a stream's first event, that counts as on time.
        max_gap_s: Longest pause between two events of a stream that counts as on time.
        priority: Rank, 0 is the most urgent.
        targets: Services that share the requests.
        max_attempts: Backend servers to which one request may be sent.
        open_to_all: Whether no key is needed.
        resumable: Whether a stream may go on at another backend server.
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
        """Whether a request may run more than once."""
        return self.kind is RequestKind.REPEATABLE or self.resumable


@attrs.frozen
class EngineLimits:
    """What one model engine of a service holds.

    Attributes:
        slots: Requests that it runs side by side.
        memory_tokens: Tokens that its memory holds, of runs and cached parts together.
    """

    slots: int
    memory_tokens: int


@attrs.frozen
class ScalingBounds:
    """Within which bounds backend servers of a service may be ordered.

    Attributes:
        min_servers: Fewest in each failure domain.
        max_servers: Most in each failure domain, reclaimable ones included.
        boot_s: Seconds from an order until a backend server serves.
        reclaimable_price: Price of a reclaimable backend server, as a part of another's; None
            when there are none.
        prices: Price of a second of a backend server by failure domain.
    """

    min_servers: int
    max_servers: int
    boot_s: float
    reclaimable_price: float | None
    prices: dict[str, float]


@attrs.frozen
class Service:
    """A group of backend servers that serve alike.

    Attributes:
        max_connections: Connections that one backend server accepts from all callers together.
        engine: Set for model engines.
        scaling: Set where backend servers may be ordered.
    """

    name: str
    max_connections: int = 0
    engine: EngineLimits | None = None
    scaling: ScalingBounds | None = None


@attrs.frozen
class Customer:
    """Who pays for a request.

    Attributes:
        priority: Goes before the route's rank; None where the route's holds.
    """

    name: str
    priority: int | None = None


@attrs.frozen
class CallerLimits:
    """What callers may send, and how long they may take.

    Attributes:
        header_bytes: Bytes of a request's headers.
        body_bytes: Bytes of a request's body.
        header_timeout_s: Seconds from a request's first byte to the end of its headers.
        idle_timeout_s: Seconds for which a connection may stay unused.
    """

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0


@attrs.frozen
class Catalog:
    """One version of the configuration; never changed.

    Attributes:
        version: Counts up, in uneven steps; 0 before the first.
        routes: All routes.
        services: Services by name.
        customers: Customers by the hash of each of their keys.
        limits: What callers may send.
        keyed: Whether requests need a key, but for routes that are open to all.
    """

    version: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = attrs.field(factory=dict)
    customers: dict[str, Customer] = attrs.field(factory=dict)
    limits: CallerLimits = attrs.field(factory=CallerLimits)
    keyed: bool = False


def hash_key(key: str) -> str:
    """Return the hash under which a caller's key is kept; the key itself is kept nowhere."""
    return hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()

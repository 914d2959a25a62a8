"""Data types of routing: the state of backend servers, routing decisions and their outcomes."""

from __future__ import annotations

import enum

import attrs

__all__ = [
    "AttemptEnd",
    "AttemptOutcome",
    "BackendView",
    "CacheEvent",
    "Choice",
    "LoadReport",
    "RoutingFeatures",
]


@attrs.frozen
class LoadReport:
    """The load that a backend server reports; already out of date when it arrives.

    Attributes:
        running: Requests in the current batch.
        waiting: Requests in the queue.
        kv_free: Free fraction of the KV cache, between 0 and 1.
        measured: Time of the measurement on this process's monotonic clock, in seconds: the time
            of receipt minus the age stated in the report.
    """

    running: int
    waiting: int
    kv_free: float
    measured: float


@attrs.frozen
class CacheEvent:
    """An engine's notice that a prompt prefix entered or left its cache.

    Events may arrive late, and some are lost.
    """

    prefix_hash: str
    cached: bool


@attrs.frozen
class BackendView:
    """What an entry process knows about one backend server.

    Attributes:
        id: Unique id.
        address: `host:port`.
        failure_domain: Failure domain in which it runs.
        pool: Pool to which it belongs.
        cheap: Whether the platform may reclaim it.
        slots: Number of requests that it runs concurrently.
        leaving: Whether it is draining and must not receive new requests.
        fences: Whether it rejects orders that carry an outdated fencing token.
        software: Version of its software; empty if unknown.
    """

    id: str
    address: str
    failure_domain: str
    pool: str
    cheap: bool = False
    slots: int = 8
    leaving: bool = False
    fences: bool = True
    software: str = ""


@attrs.frozen
class Choice:
    """The backend server selected for one attempt, and the reason."""

    backend: BackendView
    reason: str


class AttemptEnd(enum.Enum):
    """How an attempt ended, as far as it matters to routing."""

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    ABANDONED = "abandoned"


@attrs.frozen
class AttemptOutcome:
    """The result and timing of one attempt on a backend server.

    Attributes:
        end: How the attempt ended. `ABANDONED` means that the caller or the entry process gave up,
            which does not count against the backend server.
        started: Monotonic time of the start, in seconds.
        finished: Monotonic time of the end, in seconds.
        first_token_at: Monotonic time of the first token or byte, in seconds; None without one.
        tokens: Number of tokens received.
    """

    end: AttemptEnd
    started: float
    finished: float
    first_token_at: float | None = None
    tokens: int = 0


@attrs.frozen
class RoutingFeatures:
    """Switches for the features of the routing policy; experiments turn some off.

    Attributes:
        reports: Use load reports, weighted by age, in addition to the process's own requests in
            flight.
        response_times: Use the process's own measurements of time to first token and attempt
            duration.
        affinity: Prefer backend servers by prompt prefix: those known to cache it and those to
            which it hashes.
        cache_events: Use the cache events reported by engines.
        failure_domain: Prefer backend servers in the process's own failure domain.
        ejection: Eject backend servers after repeated failures and probe them before reuse.
        slow_start: Ramp up traffic to backend servers that are new or have recovered.
    """

    reports: bool = True
    response_times: bool = True
    affinity: bool = True
    cache_events: bool = True
    failure_domain: bool = True
    ejection: bool = True
    slow_start: bool = True

"""Messages of routing: what is known of backend servers, and a choice among them."""

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
    "RoutingParts",
]


@attrs.frozen
class LoadReport:
    """A backend server's own word on its load, already old when it arrives.

    Attributes:
        running: Requests in its batch.
        waiting: Requests in its queue.
        kv_free: Free part of its KV cache, between 0 and 1.
        measured: Monotonic time of this process at which the report was received less the
            age that the report states, in seconds.
    """

    running: int
    waiting: int
    kv_free: float
    measured: float


@attrs.frozen
class CacheEvent:
    """An engine's word that a prompt prefix entered or left its cache; late and with gaps."""

    prefix_hash: str
    cached: bool


@attrs.frozen
class BackendView:
    """What an entry knows of one backend server.

    Attributes:
        id: Unique id.
        address: `host:port`.
        failure_domain: Where it runs.
        pool: Pool that it belongs to.
        cheap: Whether the platform may reclaim it.
        slots: Requests that it runs side by side.
        leaving: Whether it must get no new work.
        fences: Whether it refuses orders with an old fencing number.
    """

    id: str
    address: str
    failure_domain: str
    pool: str
    cheap: bool = False
    slots: int = 8
    leaving: bool = False
    fences: bool = True


@attrs.frozen
class Choice:
    """The backend server for one attempt, and why."""

    backend: BackendView
    reason: str


class AttemptEnd(enum.Enum):
    """How one attempt at a backend server ended, as far as routing cares."""

    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    ABANDONED = "abandoned"


@attrs.frozen
class AttemptOutcome:
    """What one attempt tells of its backend server.

    Attributes:
        end: `ABANDONED` when the caller or the entry gave up, which tells nothing bad.
        started: Monotonic time of the start, in seconds.
        finished: Monotonic time of the end, in seconds.
        first_token_at: Monotonic time of the first token or byte, in seconds; None without one.
        tokens: Tokens received.
    """

    end: AttemptEnd
    started: float
    finished: float
    first_token_at: float | None = None
    tokens: int = 0


@attrs.frozen
class RoutingParts:
    """Which parts of the routing policy are in use; experiments leave some out.

    Attributes:
        reports: Load reports, aged, beside own requests in flight.
        response_times: Own measurements of first tokens and whole attempts.
        affinity: Prefix affinity by hashing.
        cache_events: Engines' word on their caches.
        failure_domain: Preference for the entry's own failure domain.
        ejection: Ejection after failures, with probes.
        slow_start: Less work for backend servers that are new or came back.
    """

    reports: bool = True
    response_times: bool = True
    affinity: bool = True
    cache_events: bool = True
    failure_domain: bool = True
    ejection: bool = True
    slow_start: bool = True

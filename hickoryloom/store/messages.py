"""Messages exchanged with the platform services."""

from __future__ import annotations

import enum
from typing import Any, Generic, TypeVar

import attrs

from hickoryloom.verdict import Applied

__all__ = [
    "BackendState",
    "Change",
    "ErrorKind",
    "Listing",
    "LiveBackend",
    "PlatformError",
    "ServerOrder",
    "ServerRelease",
    "UsageReport",
    "Versioned",
    "WatchBatch",
    "WeightGrant",
    "retry_pause_s",
]

T = TypeVar("T")

MIN_RETRY_S = 0.02
"""Shortest pause before a call is repeated, so that a task does not occupy a core."""


class ErrorKind(enum.Enum):
    """Why a call to the platform failed."""

    CONFLICT = "conflict"
    ABSENT = "absent"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"
    OVER_BUDGET = "over-budget"
    FENCED = "fenced"
    NO_CAPACITY = "no-capacity"


@attrs.frozen
class PlatformError:
    """A failed call, and whether its change may have been applied nevertheless.

    Attributes:
        kind: Why the call failed.
        applied: Whether the platform applied the change; `NOT_APPLIED` for reads.
        detail: Description for the log.
        retry_after_s: Seconds to wait before the next call; 0 if unknown.
        version: Current version of the object, set for conflicts; 0 if it does not exist.
    """

    kind: ErrorKind
    applied: Applied
    detail: str = ""
    retry_after_s: float = 0.0
    version: int = 0


def retry_pause_s(error: PlatformError, limit_s: float) -> float:
    """Return the pause before a failed call is repeated.

    It ends when the circuit breaker or the call budget permits a call, so that a task does not
    sleep past the store's return.

    Args:
        error: The failure.
        limit_s: Longest pause, and the pause after a failure that states none, in seconds.
    """
    if error.retry_after_s <= 0:
        return limit_s
    return min(limit_s, max(MIN_RETRY_S, error.retry_after_s))


@attrs.frozen
class Versioned(Generic[T]):
    """A stored value with its version.

    The version starts at 1 and increases with each change. A version is never reused for the same
    key, not even after a deletion.
    """

    key: str
    version: int
    value: T


@attrs.frozen
class Listing:
    """All objects under a prefix at one revision of the store.

    Attributes:
        revision: The revision.
        items: The objects; the value of one that can't be read is None.
        unreadable: Number of further objects whose key or version can't be read.
    """

    revision: int
    items: tuple[Versioned[Any], ...]
    unreadable: int = 0


@attrs.frozen
class Change:
    """One change reported by a watch.

    `value` is None if the object was deleted or can't be read.
    """

    key: str
    version: int
    value: Any


@attrs.frozen
class WatchBatch:
    """Changes after the start revision of a watch, in order.

    `reset` is set if changes were dropped, so that the caller has to list the objects again.
    """

    revision: int
    changes: tuple[Change, ...]
    reset: bool = False


class BackendState(enum.Enum):
    """State of a backend server in the platform's live list."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class LiveBackend:
    """One row of the platform's live list of backend servers, which lags behind.

    Attributes:
        software: Version of its software; empty if the list has none.
    """

    id: str
    address: str
    failure_domain: str
    pool: str
    cheap: bool
    state: BackendState
    software: str = ""


@attrs.frozen
class ServerOrder:
    """An order for one backend server.

    Attributes:
        order_id: Idempotency key of the order.
        fencing: Term of the lease under which the order is sent; serves as fencing token.
        sender: Incarnation of the process that sends the order.
    """

    order_id: str
    pool: str
    failure_domain: str
    cheap: bool
    fencing: int
    sender: str


@attrs.frozen
class ServerRelease:
    """A request to release one backend server after it has been drained."""

    order_id: str
    backend_id: str
    fencing: int
    sender: str


@attrs.frozen
class UsageReport:
    """Final usage figures of one window, as sent to the platform."""

    window: str
    figures: dict[str, Any]
    digest: str
    fencing: int
    sender: str


@attrs.frozen
class WeightGrant:
    """Permission from the weight store to load a model now."""

    model: str
    bytes: int

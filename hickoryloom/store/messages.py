"""Messages to and from the platform's services."""

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
]

T = TypeVar("T")


class ErrorKind(enum.Enum):
    """Why a call to the platform did not succeed."""

    CONFLICT = "conflict"
    ABSENT = "absent"
    REJECTED = "rejected"
    UNAVAILABLE = "unavailable"
    OVER_BUDGET = "over-budget"
    FENCED = "fenced"
    NO_CAPACITY = "no-capacity"


@attrs.frozen
class PlatformError:
    """A call that did not succeed, and whether its change may be in force all the same.

    Attributes:
        kind: Why it did not succeed.
        applied: Whether the platform applied the change; `NOT_APPLIED` for reads.
        detail: A sentence for the log.
        retry_after_s: Seconds to wait before another call, 0 when not told.
        version: Version that the object has, told with a conflict; 0 for absent.
    """

    kind: ErrorKind
    applied: Applied
    detail: str = ""
    retry_after_s: float = 0.0
    version: int = 0


@attrs.frozen
class Versioned(Generic[T]):
    """A stored value with its version.

    The version counts up from 1 with each change and is never used again for the key, also not
    after a deletion.
    """

    key: str
    version: int
    value: T


@attrs.frozen
class Listing:
    """All objects under a prefix, as of one revision of the store."""

    revision: int
    items: tuple[Versioned[Any], ...]


@attrs.frozen
class Change:
    """One change seen by a watch; `value` is None when the object was deleted."""

    key: str
    version: int
    value: Any


@attrs.frozen
class WatchBatch:
    """Changes after the revision that the watch began with, in order.

    `reset` tells that changes were dropped, so that the caller must list again.
    """

    revision: int
    changes: tuple[Change, ...]
    reset: bool = False


class BackendState(enum.Enum):
    """What the platform's list says of a backend server."""

    STARTING = "starting"
    LIVE = "live"
    LEAVING = "leaving"


@attrs.frozen
class LiveBackend:
    """One row of the platform's lagging list of backend servers."""

    id: str
    address: str
    failure_domain: str
    pool: str
    cheap: bool
    state: BackendState


@attrs.frozen
class ServerOrder:
    """An order for one backend server.

    Attributes:
        order_id: Makes the order idempotent.
        fencing: The term of the lease under which it is given.
        sender: The incarnation that gives it.
    """

    order_id: str
    pool: str
    failure_domain: str
    cheap: bool
    fencing: int
    sender: str


@attrs.frozen
class ServerRelease:
    """An order to give one backend server back, after it has been drained."""

    order_id: str
    backend_id: str
    fencing: int
    sender: str


@attrs.frozen
class UsageReport:
    """Sealed figures of one window, as sent to the platform."""

    window: str
    figures: dict[str, Any]
    digest: str
    fencing: int
    sender: str


@attrs.frozen
class WeightGrant:
    """Leave from the weight store to load a model now."""

    model: str
    bytes: int

"""A registered backend server."""

from __future__ import annotations

import attrs

__all__ = ["BackendServer"]


@attrs.frozen
class BackendServer:
    """What a backend server has registered of itself.

    Attributes:
        id: Unique id; kept by some across a restart.
        service: Service that it belongs to.
        address: `host:port`.
        failure_domain: Where it runs.
        slots: Requests that it runs side by side.
        leaving: Whether it must get no new work.
        reclaimable: Whether the platform may take it away.
        started_ms: Unix time of its start, in milliseconds; 0 when not told.
        slow_s: Seconds for which it stays slow after its start, as of the registration.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    reclaimable: bool = False
    started_ms: int = 0
    slow_s: float = 0.0

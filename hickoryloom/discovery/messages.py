"""Data type for registered backend servers."""

from __future__ import annotations

import attrs

__all__ = ["BackendServer"]


@attrs.frozen
class BackendServer:
    """The registration of a backend server.

    Attributes:
        id: Unique ID; some backend servers keep it across restarts.
        service: Service to which it belongs.
        address: `host:port`.
        failure_domain: Failure domain in which it runs.
        slots: Number of requests that it runs concurrently.
        leaving: Whether it is draining and must not receive new requests.
        reclaimable: Whether the platform may reclaim it.
        started_ms: Unix time of its start, in milliseconds; 0 if unknown.
        warming_up: Whether it is still slow after its start.
        software: Version of its software; empty if unknown.
    """

    id: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    reclaimable: bool = False
    started_ms: int = 0
    warming_up: bool = False
    software: str = ""

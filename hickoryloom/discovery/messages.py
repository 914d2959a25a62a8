"""Data type for registered backend servers."""

from __future__ import annotations

import attrs

__all__ = ["UNSTATED_WARM_UP_S", "BackendServer"]

UNSTATED_WARM_UP_S = 3.0
"""Warm-up assumed for a server of which only is known that it has not ended."""


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
        warm_up_s: Seconds after which it is no longer slow after its start, as of the time at which
            the registration was written.
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
    warm_up_s: float = 0.0
    software: str = ""

    @property
    def warming_up(self) -> bool:
        """Whether it is still slow after its start."""
        return self.warm_up_s > 0

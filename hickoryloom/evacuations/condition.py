"""Keeps requests away from the servers of evacuated failure domains.

The load is that of a fleet under traffic while an operator empties one of its failure domains:
first sends, retries and resumed streams go to other domains, or are refused if there are none.
This module performs no I/O.
"""

from __future__ import annotations

import math

from hickoryloom.discovery import BackendServer
from hickoryloom.evacuations.state import EvacuationState
from hickoryloom.placing import PlacementRequest

__all__ = ["EvacuatedServers"]


class EvacuatedServers:
    """The condition that servers of an evacuated failure domain take no requests.

    Args:
        state: The evacuated failure domains.
    """

    def __init__(self, state: EvacuationState) -> None:
        self._state = state
        self._domains: dict[str, set[str]] = {}
        self._diverted = 0
        self._refused = 0

    @property
    def is_active(self) -> bool:
        """Whether any failure domain is evacuated."""
        return bool(self._state.domains)

    @property
    def diverted(self) -> int:
        """Number of sends to other failure domains while one with such servers was evacuated."""
        return self._diverted

    @property
    def refused(self) -> int:
        """Number of requests without a server while some of their service were evacuated."""
        return self._refused

    def wait_s(self, server: BackendServer, request: PlacementRequest, now: float) -> float:
        """Return infinity for an evacuated server, since nobody announces the end; otherwise 0."""
        return math.inf if server.failure_domain in self._state.domains else 0.0

    def delay_s(self, server: BackendServer, request: PlacementRequest, now: float) -> float:
        """Return 0: an evacuation delays nothing."""
        return 0.0

    def record_sent(self, server: BackendServer, request: PlacementRequest, now: float) -> None:
        """Count a request that goes to another failure domain."""
        if self._is_affected(request.service) and server.failure_domain not in self._state.domains:
            self._diverted += 1

    def record_refused(self, service: str) -> bool:
        """Count a request for which no server was found.

        Returns:
            Whether all servers of the service are evacuated.
        """
        if not self._is_affected(service):
            return False
        self._refused += 1
        return self._domains[service] <= self._state.domains

    def set_servers(self, servers: tuple[BackendServer, ...], now: float) -> None:
        """Apply the list of live backend servers."""
        self._domains = {}
        for server in servers:
            if not server.leaving:
                self._domains.setdefault(server.service, set()).add(server.failure_domain)

    def _is_affected(self, service: str) -> bool:
        return not self._state.domains.isdisjoint(self._domains.get(service, ()))

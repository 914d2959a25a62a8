"""Conditions that keep requests away from some backend servers for a time, or delay them there.

Each condition is a module of its own with its state. The placer combines the conditions that it was
given and knows none of them by name. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from hickoryloom.clock import Clock, SystemClock
from hickoryloom.discovery import BackendServer
from hickoryloom.placing.messages import PlacementRequest

__all__ = ["ServerCondition", "ServerConditions"]


class ServerCondition(Protocol):
    """Something that limits or delays requests to some backend servers."""

    @property
    def is_active(self) -> bool:
        """Whether any server may be affected; the other methods are called only then."""

    def wait_s(self, server: BackendServer, request: PlacementRequest, now: float) -> float:
        """Return the seconds until this instance may send a request to a server; 0 for now."""

    def delay_s(self, server: BackendServer, request: PlacementRequest, now: float) -> float:
        """Return the expected delay of a request at a server, besides what the placer expects."""

    def record_sent(self, server: BackendServer, request: PlacementRequest, now: float) -> None:
        """Record that this instance sends a request to a server."""

    def set_servers(self, servers: tuple[BackendServer, ...], now: float) -> None:
        """Apply the list of live backend servers."""


class ServerConditions:
    """All conditions of one instance, combined.

    Args:
        conditions: The conditions.
        clock: Source of time; None for that of the machine.
    """

    def __init__(
        self, conditions: Iterable[ServerCondition] = (), clock: Clock | None = None
    ) -> None:
        self._conditions = tuple(conditions)
        self._clock = clock or SystemClock()

    @property
    def is_active(self) -> bool:
        """Whether any server may be affected."""
        return any(condition.is_active for condition in self._conditions)

    def wait_s(self, server: BackendServer, request: PlacementRequest, now: float) -> float:
        """Return the seconds until a request may be sent to a server; 0 for now."""
        waits = (
            condition.wait_s(server, request, now)
            for condition in self._conditions
            if condition.is_active
        )
        return max(waits, default=0.0)

    def delay_s(self, server: BackendServer, request: PlacementRequest, now: float) -> float:
        """Return the sum of the delays that the conditions expect at a server."""
        return sum(
            condition.delay_s(server, request, now)
            for condition in self._conditions
            if condition.is_active
        )

    def record_sent(self, server: BackendServer, request: PlacementRequest, now: float) -> None:
        """Record that this instance sends a request to a server."""
        for condition in self._conditions:
            if condition.is_active:
                condition.record_sent(server, request, now)

    def set_servers(self, servers: tuple[BackendServer, ...]) -> None:
        """Apply the list of live backend servers; it may make a condition active."""
        now = self._clock.monotonic()
        for condition in self._conditions:
            condition.set_servers(servers, now)

"""Decides from status probes whether a silent connection has stalled."""

from __future__ import annotations

import attrs

from hickoryloom.relay.engine import RequestState, RequestStatus

__all__ = ["StallDetector"]

PROBE_AFTER_S = 2.0
PROBE_INTERVAL_S = 1.0
STALL_PROBE_LIMIT = 2


@attrs.define
class StallDetector:
    """Counts the probes that indicate a stall of one connection.

    A single probe is not sufficient: events may be in transit, or the engine may have been
    slow just once.
    """

    _waiting_since: float | None = None
    _next_probe_at: float = 0.0
    _stall_probes: int = 0

    def is_probe_due(self, waiting_since: float | None, now: float) -> bool:
        """Return whether the connection has been silent long enough to be probed now."""
        if waiting_since is None or now - waiting_since < PROBE_AFTER_S:
            return False
        if waiting_since != self._waiting_since:
            self._waiting_since = waiting_since
            self._stall_probes = 0
            self._next_probe_at = now
        if now < self._next_probe_at:
            return False
        self._next_probe_at = now + PROBE_INTERVAL_S
        return True

    def record_probe(
        self, waiting_since: float | None, status: RequestStatus, next_position: int
    ) -> bool:
        """Record the result of a probe and return whether the connection has stalled.

        Args:
            waiting_since: Monotonic time since which the connection is silent now; None if it
                is not.
            status: The engine's status of the request.
            next_position: Position of the next event that the connection must deliver.
        """
        if waiting_since is None or waiting_since != self._waiting_since:
            return False
        engine_not_ahead = status.state is RequestState.RUNNING and status.position <= next_position
        self._stall_probes = 0 if engine_not_ahead else self._stall_probes + 1
        return self._stall_probes >= STALL_PROBE_LIMIT

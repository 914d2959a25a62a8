"""Decides what a silent connection means."""

from __future__ import annotations

import attrs

from hickoryloom.relay.engine import RequestState, RequestStatus

__all__ = ["SilenceJudge"]

PROBE_AFTER_S = 2.0
PROBE_INTERVAL_S = 1.0
PROBES_TO_GIVE_UP = 2


@attrs.define
class SilenceJudge:
    """Counts probes of one silent connection that speak against it.

    One probe is not enough: events may be on their way, or the engine may have been slow once.
    """

    _waiting_since: float | None = None
    _next_probe: float = 0.0
    _against: int = 0

    def wants_probe(self, waiting_since: float | None, now: float) -> bool:
        """Return whether the connection has been silent so long that it must be probed now."""
        if waiting_since is None or now - waiting_since < PROBE_AFTER_S:
            return False
        if waiting_since != self._waiting_since:
            self._waiting_since = waiting_since
            self._against = 0
            self._next_probe = now
        if now < self._next_probe:
            return False
        self._next_probe = now + PROBE_INTERVAL_S
        return True

    def condemns(
        self, waiting_since: float | None, status: RequestStatus, next_position: int
    ) -> bool:
        """Take a probe's answer and return whether to give the connection up.

        Args:
            waiting_since: Since when the connection is silent now.
            status: The engine's word.
            next_position: Events received so far.
        """
        if waiting_since is None or waiting_since != self._waiting_since:
            return False
        behind = status.state is RequestState.RUNNING and status.position <= next_position
        self._against = 0 if behind else self._against + 1
        return self._against >= PROBES_TO_GIVE_UP

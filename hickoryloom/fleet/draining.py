"""Decides when a leaving backend server may be given back."""

from __future__ import annotations

from hickoryloom.clock import Clock
from hickoryloom.fleet.backend_client import BackendCalls

__all__ = ["Draining"]

SETTLE_S = 6.0
DRAIN_BOUND_S = 600.0


class Draining:
    """Backend servers that entries have been told to leave alone.

    Args:
        clock: Source of monotonic time.
        calls: Calls to backend servers.
        settle_s: Seconds within which every entry has stopped sending new work.
        bound_s: Seconds after which a server is given back though it is busy or silent.
    """

    def __init__(
        self,
        clock: Clock,
        calls: BackendCalls,
        settle_s: float = SETTLE_S,
        bound_s: float = DRAIN_BOUND_S,
    ) -> None:
        self._clock = clock
        self._calls = calls
        self._settle_s = settle_s
        self._bound_s = bound_s
        self._since: dict[str, float] = {}

    def forget(self) -> None:
        """Begin to count anew, at the start of a term."""
        self._since.clear()

    def is_done(self, backend_id: str, address: str) -> bool:
        """Tell whether a leaving server is idle, or has had the time to become so."""
        now = self._clock.monotonic()
        waited_s = now - self._since.setdefault(backend_id, now)
        if waited_s < self._settle_s:
            return False
        if waited_s >= self._bound_s:
            return True
        load = self._calls.load(address)
        return load is not None and load.busy == 0

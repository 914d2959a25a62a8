"""Decides when a draining backend server may be released."""

from __future__ import annotations

from hickoryloom.clock import Clock
from hickoryloom.fleet.backend_client import BackendClient

__all__ = ["DrainTracker"]

PROPAGATION_S = 6.0
DRAIN_TIMEOUT_S = 600.0


class DrainTracker:
    """Tracks backend servers to which entries were told to send no new requests.

    Args:
        clock: Source of monotonic time.
        backend_client: Client of backend servers.
        propagation_s: Seconds within which every entry has stopped sending new requests.
        timeout_s: Seconds after which a server is released even if it is busy or unreachable.
    """

    def __init__(
        self,
        clock: Clock,
        backend_client: BackendClient,
        propagation_s: float = PROPAGATION_S,
        timeout_s: float = DRAIN_TIMEOUT_S,
    ) -> None:
        self._clock = clock
        self._backend_client = backend_client
        self._propagation_s = propagation_s
        self._timeout_s = timeout_s
        self._since: dict[str, float] = {}

    def clear(self) -> None:
        """Discard all start times at the start of a term."""
        self._since.clear()

    def is_done(self, backend_id: str, address: str) -> bool:
        """Return whether a leaving server is idle or its drain timeout has passed."""
        now = self._clock.monotonic()
        elapsed_s = now - self._since.setdefault(backend_id, now)
        if elapsed_s < self._propagation_s:
            return False
        if elapsed_s >= self._timeout_s:
            return True
        load = self._backend_client.load(address)
        return load is not None and load.busy == 0

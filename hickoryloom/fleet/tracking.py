"""Which ordered servers are there, though the platform's list lags and may step back."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from hickoryloom.clock import Clock
from hickoryloom.fleet.intents import PoolIntents
from hickoryloom.store import LiveBackend

__all__ = ["ServerTracking"]

MISSING_BOUND_S = 20.0


class ServerTracking:
    """Believes that a listed server is gone only after it has been missing for a while.

    Args:
        clock: Source of monotonic time.
        bound_s: Seconds for which a server must be missing; more than the list may lag.
    """

    def __init__(self, clock: Clock, bound_s: float = MISSING_BOUND_S) -> None:
        self._clock = clock
        self._bound_s = bound_s
        self._missing_since: dict[str, float] = {}

    def forget(self) -> None:
        """Begin to count anew, at the start of a term."""
        self._missing_since.clear()

    def settle(self, intents: PoolIntents, backends: Sequence[LiveBackend]) -> PoolIntents:
        """Return the intents with listed servers marked, and without those that are gone."""
        listed = {backend.id for backend in backends}
        orders = tuple(
            attrs.evolve(order, listed=True) if order.backend_id in listed else order
            for order in intents.orders
        )
        return attrs.evolve(
            intents,
            orders=tuple(o for o in orders if not o.listed or not self._gone(o.backend_id, listed)),
            releases=tuple(r for r in intents.releases if not self._gone(r.backend_id, listed)),
        )

    def _gone(self, backend_id: str, listed: set[str]) -> bool:
        if backend_id in listed:
            self._missing_since.pop(backend_id, None)
            return False
        now = self._clock.monotonic()
        return now - self._missing_since.setdefault(backend_id, now) > self._bound_s

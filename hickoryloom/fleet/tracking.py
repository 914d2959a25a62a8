"""Tracks which ordered servers exist, since the platform's list may be stale."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from hickoryloom.clock import Clock
from hickoryloom.fleet.intents import PoolIntents
from hickoryloom.store import LiveBackend

__all__ = ["ServerTracker"]

MISSING_TIMEOUT_S = 20.0


class ServerTracker:
    """Treats a listed server as gone only after it has been missing for `timeout_s`.

    The platform's list lags, and a read may return an older list than the one before.

    Args:
        clock: Source of monotonic time.
        timeout_s: Seconds for which a server must be missing; longer than the list may lag.
    """

    def __init__(self, clock: Clock, timeout_s: float = MISSING_TIMEOUT_S) -> None:
        self._clock = clock
        self._timeout_s = timeout_s
        self._missing_since: dict[str, float] = {}

    def clear(self) -> None:
        """Discard all start times at the start of a term."""
        self._missing_since.clear()

    def reconcile(self, intents: PoolIntents, backends: Sequence[LiveBackend]) -> PoolIntents:
        """Mark the orders of listed servers, and remove the intents of servers that are gone."""
        listed = {backend.id for backend in backends}
        orders = tuple(
            attrs.evolve(order, listed=True) if order.backend_id in listed else order
            for order in intents.orders
        )
        return attrs.evolve(
            intents,
            orders=tuple(
                o for o in orders if not o.listed or not self._is_gone(o.backend_id, listed)
            ),
            releases=tuple(r for r in intents.releases if not self._is_gone(r.backend_id, listed)),
        )

    def _is_gone(self, backend_id: str, listed: set[str]) -> bool:
        if backend_id in listed:
            self._missing_since.pop(backend_id, None)
            return False
        now = self._clock.monotonic()
        return now - self._missing_since.setdefault(backend_id, now) > self._timeout_s

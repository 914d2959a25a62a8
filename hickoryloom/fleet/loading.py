"""Orders engines to load their pool's model, within the weight store's rate limit."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import logbook
from result import Err, Result

from hickoryloom.clock import Clock
from hickoryloom.configuration import Pool, PoolKind
from hickoryloom.fleet.backend_client import BackendClient
from hickoryloom.leases import Guard, LeaseGrant
from hickoryloom.logs import log_event
from hickoryloom.store import BackendState, LiveBackend, PlatformError, WeightGrant

__all__ = ["ModelLoader", "WeightClient"]

MIN_PAUSE_S = 1.0
MAX_CHECKS_PER_STEP = 16
CHECK_INTERVAL_S = 30.0

log = logbook.Logger("hickoryloom.fleet")


class WeightClient(Protocol):
    """Access to the weight store, as `PlatformClient` provides it."""

    def request_weights(self, model: str) -> Result[WeightGrant, PlatformError]:
        """Request permission to load a model now."""


class ModelLoader:
    """Tracks which engines have loaded their model and orders the others to load it.

    Args:
        client: Client of the weight store.
        clock: Source of monotonic time.
        backend_client: Client of backend servers.
    """

    def __init__(self, client: WeightClient, clock: Clock, backend_client: BackendClient) -> None:
        self._client = client
        self._clock = clock
        self._backend_client = backend_client
        self._loaded: set[tuple[str, str]] = set()
        self._next_check: dict[str, float] = {}
        self._paused_until = float("-inf")

    def step(
        self, pool: Pool, backends: Sequence[LiveBackend], grant: LeaseGrant, guard: Guard
    ) -> None:
        """Check engines not known to have loaded the model, and order those without it to."""
        if pool.kind is not PoolKind.ENGINE or not pool.model:
            return
        now = self._clock.monotonic()
        unchecked = [
            backend
            for backend in backends
            if backend.state is BackendState.LIVE
            and (backend.id, pool.model) not in self._loaded
            and self._next_check.get(backend.id, now) <= now
        ]
        for backend in unchecked[:MAX_CHECKS_PER_STEP]:
            self._check(pool, backend, grant, guard)

    def _check(self, pool: Pool, backend: LiveBackend, grant: LeaseGrant, guard: Guard) -> None:
        load = self._backend_client.load(backend.address)
        if load is None:
            return
        if load.models is None or pool.model in load.models:
            self._loaded.add((backend.id, pool.model))
            return
        if self._may_load(pool.model):
            self._order(pool, backend, grant, guard)

    def _may_load(self, model: str) -> bool:
        now = self._clock.monotonic()
        if now < self._paused_until:
            return False
        response = self._client.request_weights(model)
        if isinstance(response, Err):
            self._paused_until = now + max(response.err_value.retry_after_s, MIN_PAUSE_S)
            return False
        return True

    def _order(self, pool: Pool, backend: LiveBackend, grant: LeaseGrant, guard: Guard) -> None:
        order_id = f"load-{backend.id}-{pool.model}"
        accepted = self._backend_client.order_load(
            backend.address, pool.model, order_id, grant, guard
        )
        self._next_check[backend.id] = self._clock.monotonic() + CHECK_INTERVAL_S
        log_event(
            log,
            "model-load-ordered",
            backend=backend.id,
            model=pool.model,
            term=grant.term,
            taken=accepted,
        )

"""Orders engines to load their pool's model, within the weight store's rate."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import logbook
from result import Err, Result

from hickoryloom.clock import Clock
from hickoryloom.configuration import Pool, PoolKind
from hickoryloom.fleet.backend_client import BackendCalls
from hickoryloom.leases import Guard, Right
from hickoryloom.logs import log_event
from hickoryloom.store import BackendState, LiveBackend, PlatformError, WeightGrant

__all__ = ["ModelLoading", "WeightClient"]

FIRST_PAUSE_S = 1.0
MAX_CHECKS_PER_STEP = 16
CHECK_INTERVAL_S = 30.0

log = logbook.Logger("hickoryloom.fleet")


class WeightClient(Protocol):
    """The weight store, as `PlatformClient` offers it."""

    def weights(self, model: str) -> Result[WeightGrant, PlatformError]:
        """Ask for leave to load a model now."""


class ModelLoading:
    """Engines that have their model, and those that are to load it.

    Args:
        client: The weight store.
        clock: Source of monotonic time.
        calls: Calls to backend servers.
    """

    def __init__(self, client: WeightClient, clock: Clock, calls: BackendCalls) -> None:
        self._client = client
        self._clock = clock
        self._calls = calls
        self._loaded: set[tuple[str, str]] = set()
        self._next_check: dict[str, float] = {}
        self._paused_until = float("-inf")

    def step(self, pool: Pool, backends: Sequence[LiveBackend], right: Right, guard: Guard) -> None:
        """Check engines not known to have the model of `pool`, and order those without it."""
        if pool.kind is not PoolKind.ENGINE or not pool.model:
            return
        now = self._clock.monotonic()
        unknown = [
            backend
            for backend in backends
            if backend.state is BackendState.LIVE
            and (backend.id, pool.model) not in self._loaded
            and self._next_check.get(backend.id, now) <= now
        ]
        for backend in unknown[:MAX_CHECKS_PER_STEP]:
            self._check(pool, backend, right, guard)

    def _check(self, pool: Pool, backend: LiveBackend, right: Right, guard: Guard) -> None:
        load = self._calls.load(backend.address)
        if load is None:
            return
        if load.models is None or pool.model in load.models:
            self._loaded.add((backend.id, pool.model))
            return
        if self._may_load(pool.model):
            self._order(pool, backend, right, guard)

    def _may_load(self, model: str) -> bool:
        now = self._clock.monotonic()
        if now < self._paused_until:
            return False
        answer = self._client.weights(model)
        if isinstance(answer, Err):
            self._paused_until = now + max(answer.err_value.retry_after_s, FIRST_PAUSE_S)
            return False
        return True

    def _order(self, pool: Pool, backend: LiveBackend, right: Right, guard: Guard) -> None:
        order_id = f"load-{backend.id}-{pool.model}"
        taken = self._calls.order_load(backend.address, pool.model, order_id, right, guard)
        self._next_check[backend.id] = self._clock.monotonic() + CHECK_INTERVAL_S
        log_event(
            log,
            "model-load-ordered",
            backend=backend.id,
            model=pool.model,
            term=right.term,
            taken=taken,
        )

"""Task under the lease `fleet`: orders and releases backend servers."""

from __future__ import annotations

import random
from typing import Any, Protocol

import attrs
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.configuration import Pool, Snapshot
from hickoryloom.fleet.backend_client import BackendClient
from hickoryloom.fleet.demand_collector import DemandSource
from hickoryloom.fleet.draining import DrainTracker
from hickoryloom.fleet.intents import OrderIntent, PoolIntents, ReleaseIntent
from hickoryloom.fleet.loading import ModelLoader
from hickoryloom.fleet.messages import FleetPlan, PoolDemand
from hickoryloom.fleet.planner import SCALE_DOWN_DELAY_S, PoolPlanner
from hickoryloom.fleet.records import IntentStore
from hickoryloom.fleet.tracking import ServerTracker
from hickoryloom.fleet.views import view_servers
from hickoryloom.leases import Guard, LeaseGrant, LeaseManager, ObjectStore
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import (
    ErrorKind,
    LiveBackend,
    PlatformError,
    ServerOrder,
    ServerRelease,
    WeightGrant,
)

__all__ = ["FleetClient", "FleetTask", "SnapshotSource"]

STEP_INTERVAL_S = 2.0
START_TIMEOUT_S = 60.0
START_TIMEOUT_LOADS = 4

log = logbook.Logger("hickoryloom.fleet")


class SnapshotSource(Protocol):
    """Source of the configuration in force."""

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""


class FleetClient(ObjectStore, Protocol):
    """Platform client calls that the fleet task uses."""

    def list_backends(self) -> Result[tuple[LiveBackend, ...], PlatformError]:
        """Return the list of backend servers, which may lag."""

    def order(self, order: ServerOrder, guard: Guard | None = None) -> Result[str, PlatformError]:
        """Order one backend server and return its id."""

    def release(
        self, release: ServerRelease, guard: Guard | None = None
    ) -> Result[Any, PlatformError]:
        """Release one backend server."""

    def request_weights(self, model: str) -> Result[WeightGrant, PlatformError]:
        """Request permission from the weight store to load a model."""


class FleetTask:
    """Scales all pools while this process holds the lease.

    Args:
        client: Client of the platform.
        clock: Source of monotonic time.
        lease: The lease under which the task acts.
        follower: Source of the configuration in force.
        demand: Source of demand.
        incarnation: Incarnation of this process.
        credential: Bearer token for backend servers.
        step_s: Seconds between plans.
        scale_down_delay_s: Seconds for which the largest recent target prevents releases.
        source: Random source for back-off jitter.
    """

    def __init__(
        self,
        client: FleetClient,
        clock: Clock,
        lease: LeaseManager,
        follower: SnapshotSource,
        demand: DemandSource,
        incarnation: str,
        credential: str = "",
        step_s: float = STEP_INTERVAL_S,
        scale_down_delay_s: float = SCALE_DOWN_DELAY_S,
        source: random.Random | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._lease = lease
        self._follower = follower
        self._demand = demand
        self._incarnation = incarnation
        self._step_s = step_s
        self._scale_down_delay_s = scale_down_delay_s
        self._random = source or random.Random()
        backend_client = BackendClient(incarnation, credential)
        self._drain_tracker = DrainTracker(clock, backend_client)
        self._server_tracker = ServerTracker(clock)
        self._model_loader = ModelLoader(client, clock, backend_client)
        self._intent_store = IntentStore(client)
        self._planners: dict[str, PoolPlanner] = {}
        self._plans: dict[str, FleetPlan] = {}
        self._order_first_seen: dict[str, float] = {}
        self._released: set[str] = set()
        self._leaving_ids: tuple[str, ...] = ()
        self._term = 0
        self._fenced_term = 0
        self._loop = TaskLoop(self._run_step_and_pause, "fleet", log)

    @property
    def plans(self) -> dict[str, FleetPlan]:
        """The latest plan by pool, while the lease is held."""
        return dict(self._plans)

    def start(self) -> None:
        """Start the loop, which acts whenever the lease is held."""
        self._loop.start()

    def stop(self) -> None:
        """Stop after the call in progress; the next holder adopts the recorded intents."""
        self._loop.stop()

    def run_step(self) -> None:
        """Plan all pools once and apply the plans."""
        grant = self._lease.current_grant()
        if grant is None or grant.term == self._fenced_term:
            self._plans.clear()
            return
        if grant.term != self._term:
            self._start_term(grant)
        demand = self._demand.collect(self._leaving_ids)
        live = self._client.list_backends()
        if isinstance(live, Err):
            return
        guard = self._lease.guard(grant)
        leaving_ids: list[str] = []
        for pool in self._follower.snapshot.pools.values():
            backends = [b for b in live.ok_value if b.pool == pool.name]
            pool_demand = None if demand is None else demand.get(pool.name, {})
            intents = self._reconcile_pool(grant, guard, pool, pool_demand, backends)
            leaving_ids += [release.backend_id for release in intents.releases] if intents else []
            self._model_loader.step(pool, backends, grant, guard)
        self._leaving_ids = tuple(leaving_ids)

    def _run_step_and_pause(self) -> float:
        self.run_step()
        return self._step_s

    def _start_term(self, grant: LeaseGrant) -> None:
        self._intent_store.clear()
        self._planners.clear()
        self._drain_tracker.clear()
        self._server_tracker.clear()
        self._order_first_seen.clear()
        self._released.clear()
        self._term = grant.term

    def _reconcile_pool(
        self,
        grant: LeaseGrant,
        guard: Guard,
        pool: Pool,
        demand: PoolDemand | None,
        backends: list[LiveBackend],
    ) -> PoolIntents | None:
        """Adopt, plan and record the intents, then submit them; return the current intents."""
        intents = self._intent_store.adopt(pool.name, grant.term, guard)
        if intents is None:
            return None
        reconciled = self._server_tracker.reconcile(intents, backends)
        planned = self._plan(grant, pool, demand, reconciled, backends)
        recorded = self._intent_store.save(planned, guard)
        if recorded is None:
            return None
        submitted = self._submit_orders(grant, guard, pool, recorded)
        submitted = self._release_unlisted(grant, guard, pool, submitted)
        self._release_drained(grant, guard, submitted, backends)
        return self._intent_store.save(submitted, guard) or recorded

    def _plan(
        self,
        grant: LeaseGrant,
        pool: Pool,
        demand: PoolDemand | None,
        intents: PoolIntents,
        backends: list[LiveBackend],
    ) -> PoolIntents:
        if demand is None and pool.min_servers == 0:
            return intents
        planner = self._planners.get(pool.name)
        if planner is None:
            planner = PoolPlanner(self._random, self._scale_down_delay_s)
            self._planners[pool.name] = planner
        servers = view_servers(pool, backends, intents)
        now = self._clock.monotonic()
        classes = self._follower.snapshot.classes.values()
        not_resumable = {c.tier for c in classes if not c.resumable}
        plan = planner.plan(now, pool, demand or {}, not_resumable, servers)
        self._plans[pool.name] = plan
        releases = plan.releases if demand is not None else ()
        if plan.orders or releases:
            log_event(
                log,
                "fleet-planned",
                pool=pool.name,
                term=grant.term,
                orders=len(plan.orders),
                releases=len(releases),
                upper_slots=plan.need.upper,
                lower_slots=plan.need.lower,
            )
        return intents.with_new(grant.term, plan.orders, releases)

    def _submit_orders(
        self, grant: LeaseGrant, guard: Guard, pool: Pool, intents: PoolIntents
    ) -> PoolIntents:
        """Send each recorded order that the platform has not accepted yet."""
        orders = []
        for intent in intents.orders:
            updated = (
                intent if intent.backend_id else self._submit_order(grant, guard, pool, intent)
            )
            orders += [updated] if updated is not None else []
        return attrs.evolve(intents, orders=tuple(orders))

    def _submit_order(
        self, grant: LeaseGrant, guard: Guard, pool: Pool, intent: OrderIntent
    ) -> OrderIntent | None:
        """Send one order; return the updated intent, or None if there is no capacity."""
        order = ServerOrder(
            order_id=intent.order_id,
            pool=pool.name,
            failure_domain=intent.failure_domain,
            cheap=intent.cheap,
            fencing=grant.term,
            sender=self._incarnation,
        )
        response = self._client.order(order, guard)
        backoff = self._planners[pool.name].backoff if pool.name in self._planners else None
        if isinstance(response, Ok):
            log_event(
                log,
                "server-ordered",
                order=intent.order_id,
                backend=response.ok_value,
                term=grant.term,
            )
            if backoff is not None:
                backoff.on_capacity(intent.site)
            return attrs.evolve(intent, backend_id=response.ok_value)
        if response.err_value.kind is ErrorKind.NO_CAPACITY:
            if backoff is not None:
                backoff.on_no_capacity(self._clock.monotonic(), intent.site)
            return None
        self._record_fenced(grant, response.err_value)
        return intent

    def _release_drained(
        self,
        grant: LeaseGrant,
        guard: Guard,
        intents: PoolIntents,
        backends: list[LiveBackend],
    ) -> None:
        """Release the leaving servers that have been drained."""
        addresses = {backend.id: backend.address for backend in backends}
        for intent in intents.releases:
            address = addresses.get(intent.backend_id)
            if address and self._drain_tracker.is_done(intent.backend_id, address):
                self._release(grant, guard, intent)

    def _release_unlisted(
        self, grant: LeaseGrant, guard: Guard, pool: Pool, intents: PoolIntents
    ) -> PoolIntents:
        """Release ordered servers that the platform has not listed within the start timeout."""
        now = self._clock.monotonic()
        timeout_s = START_TIMEOUT_LOADS * pool.load_s + START_TIMEOUT_S
        remaining = []
        for order in intents.orders:
            first_seen = self._order_first_seen.setdefault(order.order_id, now)
            overdue = bool(order.backend_id) and not order.listed and now - first_seen > timeout_s
            release = ReleaseIntent(f"{order.order_id}-late", order.backend_id)
            if not overdue or not self._release(grant, guard, release):
                remaining.append(order)
        return attrs.evolve(intents, orders=tuple(remaining))

    def _release(self, grant: LeaseGrant, guard: Guard, intent: ReleaseIntent) -> bool:
        """Release one server; return whether the platform accepted the release."""
        if intent.order_id in self._released:
            return True
        release = ServerRelease(
            order_id=intent.order_id,
            backend_id=intent.backend_id,
            fencing=grant.term,
            sender=self._incarnation,
        )
        response = self._client.release(release, guard)
        if isinstance(response, Err):
            self._record_fenced(grant, response.err_value)
            return False
        self._released.add(intent.order_id)
        log_event(
            log,
            "server-released",
            order=intent.order_id,
            backend=intent.backend_id,
            term=grant.term,
        )
        return True

    def _record_fenced(self, grant: LeaseGrant, error: PlatformError) -> None:
        """Stop acting under a term that the platform rejected as outdated."""
        if error.kind is ErrorKind.FENCED:
            self._fenced_term = grant.term
            log_event(log, "fenced", term=grant.term)

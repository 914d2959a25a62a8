"""The task under the lease `fleet`: orders backend servers and gives them back."""

from __future__ import annotations

import random
from typing import Any, Protocol

import attrs
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.configuration import Pool, Snapshot
from hickoryloom.fleet.backend_client import BackendCalls
from hickoryloom.fleet.draining import Draining
from hickoryloom.fleet.intents import OrderIntent, PoolIntents, ReleaseIntent
from hickoryloom.fleet.loading import ModelLoading
from hickoryloom.fleet.messages import FleetPlan, PoolDemand
from hickoryloom.fleet.records import IntentRecords
from hickoryloom.fleet.state import SCALE_DOWN_DELAY_S, PoolPlanner
from hickoryloom.fleet.survey import DemandSource
from hickoryloom.fleet.tracking import ServerTracking
from hickoryloom.fleet.views import view_servers
from hickoryloom.leases import Guard, LeaseKeeper, ObjectStore, Right
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
    """Where the configuration in force comes from."""

    @property
    def snapshot(self) -> Snapshot:
        """The configuration in force."""


class FleetClient(ObjectStore, Protocol):
    """What ordering needs of the platform's client."""

    def live(self) -> Result[tuple[LiveBackend, ...], PlatformError]:
        """Return the lagging list of backend servers."""

    def order(self, order: ServerOrder, guard: Guard | None = None) -> Result[str, PlatformError]:
        """Order one backend server and return its id."""

    def release(
        self, release: ServerRelease, guard: Guard | None = None
    ) -> Result[Any, PlatformError]:
        """Give one backend server back."""

    def weights(self, model: str) -> Result[WeightGrant, PlatformError]:
        """Ask the weight store for leave to load a model."""


class FleetTask:
    """Sizes all pools while this process holds the lease.

    Args:
        client: Platform's client.
        clock: Source of monotonic time.
        lease: The lease under which it acts.
        follower: Source of the configuration in force.
        demand: Source of demand.
        incarnation: This process.
        credential: The token shown to backend servers.
        step_s: Seconds between plans.
        scale_down_delay_s: Seconds for which a larger target keeps servers.
        source: Random source for back-off.
    """

    def __init__(
        self,
        client: FleetClient,
        clock: Clock,
        lease: LeaseKeeper,
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
        calls = BackendCalls(incarnation, credential)
        self._draining = Draining(clock, calls)
        self._tracking = ServerTracking(clock)
        self._loading = ModelLoading(client, clock, calls)
        self._records = IntentRecords(client)
        self._planners: dict[str, PoolPlanner] = {}
        self._plans: dict[str, FleetPlan] = {}
        self._ordered_at: dict[str, float] = {}
        self._released: set[str] = set()
        self._leaving: tuple[str, ...] = ()
        self._term = 0
        self._fenced_term = 0
        self._loop = TaskLoop(self._run_step_and_pause, "fleet", log)

    @property
    def plans(self) -> dict[str, FleetPlan]:
        """The latest plan by pool, while the lease is held."""
        return dict(self._plans)

    def start(self) -> None:
        """Begin to order whenever the lease is held."""
        self._loop.start()

    def stop(self) -> None:
        """Stop after the call in progress; a successor adopts what is recorded."""
        self._loop.stop()

    def run_step(self) -> None:
        """Plan all pools once and carry the plans out."""
        right = self._lease.right()
        if right is None or right.term == self._fenced_term:
            self._plans.clear()
            return
        if right.term != self._term:
            self._begin_term(right)
        demand = self._demand.collect(self._leaving)
        live = self._client.live()
        if isinstance(live, Err):
            return
        guard = self._lease.guard(right)
        leaving: list[str] = []
        for pool in self._follower.snapshot.pools.values():
            backends = [b for b in live.ok_value if b.pool == pool.name]
            pool_demand = None if demand is None else demand.get(pool.name, {})
            intents = self._step_pool(right, guard, pool, pool_demand, backends)
            leaving += [release.backend_id for release in intents.releases] if intents else []
            self._loading.step(pool, backends, right, guard)
        self._leaving = tuple(leaving)

    def _run_step_and_pause(self) -> float:
        self.run_step()
        return self._step_s

    def _begin_term(self, right: Right) -> None:
        self._records.forget()
        self._planners.clear()
        self._draining.forget()
        self._tracking.forget()
        self._ordered_at.clear()
        self._released.clear()
        self._term = right.term

    def _step_pool(
        self,
        right: Right,
        guard: Guard,
        pool: Pool,
        demand: PoolDemand | None,
        backends: list[LiveBackend],
    ) -> PoolIntents | None:
        """Adopt, plan, record, then order; return the intents as they stand."""
        intents = self._records.take_over(pool.name, right.term, guard)
        if intents is None:
            return None
        settled = self._tracking.settle(intents, backends)
        planned = self._plan(right, pool, demand, settled, backends)
        recorded = self._records.record(planned, guard)
        if recorded is None:
            return None
        ordered = self._give_orders(right, guard, pool, recorded)
        ordered = self._give_up_late(right, guard, pool, ordered)
        self._give_releases(right, guard, ordered, backends)
        return self._records.record(ordered, guard) or recorded

    def _plan(
        self,
        right: Right,
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
        found = planner.plan(now, pool, demand or {}, not_resumable, servers)
        self._plans[pool.name] = found
        releases = found.releases if demand is not None else ()
        if found.orders or releases:
            log_event(
                log,
                "fleet-planned",
                pool=pool.name,
                term=right.term,
                orders=len(found.orders),
                releases=len(releases),
                upper_slots=found.need.upper,
                lower_slots=found.need.lower,
            )
        return intents.with_new(right.term, found.orders, releases)

    def _give_orders(
        self, right: Right, guard: Guard, pool: Pool, intents: PoolIntents
    ) -> PoolIntents:
        """Send each recorded order that the platform has not taken yet."""
        orders = []
        for intent in intents.orders:
            kept = intent if intent.backend_id else self._order(right, guard, pool, intent)
            orders += [kept] if kept is not None else []
        return attrs.evolve(intents, orders=tuple(orders))

    def _order(
        self, right: Right, guard: Guard, pool: Pool, intent: OrderIntent
    ) -> OrderIntent | None:
        """Send one order; return what is left of the intent."""
        order = ServerOrder(
            order_id=intent.order_id,
            pool=pool.name,
            failure_domain=intent.failure_domain,
            cheap=intent.cheap,
            fencing=right.term,
            sender=self._incarnation,
        )
        answer = self._client.order(order, guard)
        backoff = self._planners[pool.name].backoff if pool.name in self._planners else None
        if isinstance(answer, Ok):
            log_event(
                log,
                "server-ordered",
                order=intent.order_id,
                backend=answer.ok_value,
                term=right.term,
            )
            if backoff is not None:
                backoff.on_capacity(intent.site)
            return attrs.evolve(intent, backend_id=answer.ok_value)
        if answer.err_value.kind is ErrorKind.NO_CAPACITY:
            if backoff is not None:
                backoff.on_no_capacity(self._clock.monotonic(), intent.site)
            return None
        self._note_fenced(right, answer.err_value)
        return intent

    def _give_releases(
        self,
        right: Right,
        guard: Guard,
        intents: PoolIntents,
        backends: list[LiveBackend],
    ) -> None:
        """Give back the leaving servers that are idle."""
        addresses = {backend.id: backend.address for backend in backends}
        for intent in intents.releases:
            address = addresses.get(intent.backend_id)
            if address and self._draining.is_done(intent.backend_id, address):
                self._release(right, guard, intent)

    def _give_up_late(
        self, right: Right, guard: Guard, pool: Pool, intents: PoolIntents
    ) -> PoolIntents:
        """Give back ordered servers that were never listed in a generous time."""
        now = self._clock.monotonic()
        limit_s = START_TIMEOUT_LOADS * pool.load_s + START_TIMEOUT_S
        kept = []
        for order in intents.orders:
            since = self._ordered_at.setdefault(order.order_id, now)
            late = bool(order.backend_id) and not order.listed and now - since > limit_s
            release = ReleaseIntent(f"{order.order_id}-late", order.backend_id)
            if not late or not self._release(right, guard, release):
                kept.append(order)
        return attrs.evolve(intents, orders=tuple(kept))

    def _release(self, right: Right, guard: Guard, intent: ReleaseIntent) -> bool:
        """Give one server back; return whether the platform took that."""
        if intent.order_id in self._released:
            return True
        release = ServerRelease(
            order_id=intent.order_id,
            backend_id=intent.backend_id,
            fencing=right.term,
            sender=self._incarnation,
        )
        answer = self._client.release(release, guard)
        if isinstance(answer, Err):
            self._note_fenced(right, answer.err_value)
            return False
        self._released.add(intent.order_id)
        log_event(
            log,
            "server-released",
            order=intent.order_id,
            backend=intent.backend_id,
            term=right.term,
        )
        return True

    def _note_fenced(self, right: Right, error: PlatformError) -> None:
        """Order nothing more under a term that the platform calls old."""
        if error.kind is ErrorKind.FENCED:
            self._fenced_term = right.term
            log_event(log, "fenced", term=right.term)

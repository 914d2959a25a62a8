"""Orders backend servers while the process holds the lease."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import logbook
from gevent.pool import Group
from result import Err

from hickoryloom.catalog import CatalogFollower, Service
from hickoryloom.clock import Clock
from hickoryloom.discovery import BackendServer, Discovery
from hickoryloom.duties import DutyClient, DutyOutcome, LeasedTask
from hickoryloom.leases import LeaseGrant
from hickoryloom.logs import log_event
from hickoryloom.metering import ServiceDemand, filter_live, read_all_counts, sum_demand
from hickoryloom.scaling.messages import Group as ServerGroup
from hickoryloom.scaling.messages import ScalingCodec
from hickoryloom.scaling.orders import OrderTracker
from hickoryloom.scaling.returning import ReturningDomains
from hickoryloom.scaling.sizing import REQUEST_OVERHEAD_S, DemandPeak, plan_servers
from hickoryloom.store import PlatformClient

__all__ = ["Scaler"]

CHECK_INTERVAL_S = 0.3
"""Pause between checks; servers are reclaimed within seconds, and a check makes no call."""

RESPONSE_WAIT_S = 0.3
"""Maximum wait for responses to orders, so that a lost response delays no other order."""

STOP_TIMEOUT_S = 1.5
"""Longest wait for open calls at a stop; a call times out after this time."""

DEMAND_RETRY_S = 1.0
"""Pause after a failed read of the demand; the last known demand applies meanwhile."""

DEMAND_READ_INTERVAL_S = 3.0
"""Pause between reads of the demand; the half-minute peak that sets the size changes slowly."""

log = logbook.Logger("hickoryloom.scaling")


class Scaler:
    """Adapts the number of backend servers to the demand of all instances.

    Args:
        client: Client of the store that has the counts of all instances.
        clock: Monotonic clock.
        wall: Returns the Unix time in seconds, as written with the counts.
        catalog: Provides the services and their bounds.
        discovery: Provides the running backend servers.
        duty_client: Makes calls under the lease.
        codec: Encodes orders and decodes the responses.
        instance: Name of this instance, sent as the lease holder.
        prefill_s: Returns the seconds that an engine of a service needs to process a number of
            prompt tokens.
        evacuated: Returns the evacuated failure domains.
        is_cold: Returns whether a server has started and does not take its full load yet.
        mean_speed: Returns the mean speed of the servers of a service, relative to the usual one.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        wall: Callable[[], float],
        catalog: CatalogFollower,
        discovery: Discovery,
        duty_client: DutyClient,
        codec: ScalingCodec,
        instance: str,
        prefill_s: Callable[[str, float], float],
        evacuated: Callable[[], frozenset[str]] = frozenset,
        is_cold: Callable[[BackendServer], bool] = lambda server: False,
        mean_speed: Callable[[str], float] = lambda service: 1.0,
    ) -> None:
        self._evacuated = evacuated
        self._client = client
        self._clock = clock
        self._wall = wall
        self._catalog = catalog
        self._discovery = discovery
        self._duty_client = duty_client
        self._codec = codec
        self._instance = instance
        self._prefill_s = prefill_s
        self._is_cold = is_cold
        self._mean_speed = mean_speed
        self._term = 0
        self._read_at = -DEMAND_READ_INTERVAL_S
        self._demand: dict[str, ServiceDemand] = {}
        self._open_orders = Group()
        self._order_trackers: dict[str, OrderTracker] = {}
        self._peaks: dict[str, DemandPeak] = {}
        self._returning: dict[str, ReturningDomains] = {}
        self._task = LeasedTask(
            duty_client, self._begin_term, self._issue_due_orders, CHECK_INTERVAL_S, "scaling", log
        )

    def start(self) -> None:
        """Start ordering."""
        self._task.start()

    def stop(self) -> None:
        """Stop ordering and wait for open calls, so that none arrives after a successor's."""
        self._task.stop()
        self._open_orders.join(timeout=STOP_TIMEOUT_S)

    def _begin_term(self, grant: LeaseGrant) -> bool:
        """Discard orders of an earlier term, since another holder may have issued others."""
        if grant.term != self._term:
            self._term = grant.term
            for tracker in self._order_trackers.values():
                tracker.clear()
        return True

    def _issue_due_orders(self, grant: LeaseGrant) -> float:
        now = self._clock.monotonic()
        if now - self._read_at >= DEMAND_READ_INTERVAL_S and not self._read_demand(now):
            if not self._demand:
                return DEMAND_RETRY_S
            self._read_at = now - DEMAND_READ_INTERVAL_S + DEMAND_RETRY_S
        for service in self._catalog.catalog.services.values():
            if service.scaling is not None:
                self._scale(service, self._demand.get(service.name, ServiceDemand()), grant)
        return CHECK_INTERVAL_S

    def _read_demand(self, now: float) -> bool:
        counts = read_all_counts(self._client)
        if isinstance(counts, Err):
            return False
        live = filter_live(counts.ok_value.values(), self._wall())
        self._demand = sum_demand(live)
        self._read_at = now
        return True

    def _scale(self, service: Service, demand: ServiceDemand, grant: LeaseGrant) -> None:
        assert service.scaling is not None
        now = self._clock.monotonic()
        busy = self._prefill_s(service.name, demand.prompt_tokens_per_s)
        busy += REQUEST_OVERHEAD_S * demand.requests_per_s
        # Slower servers, counted as if of usual speed, would be too few.
        busy /= self._mean_speed(service.name)
        peak = self._peaks.setdefault(service.name, DemandPeak()).add(busy, now)
        domains = tuple(sorted(service.scaling.prices))
        if not domains:
            return
        evacuated = self._evacuated()
        plan = plan_servers(peak, service.scaling, domains, busy, evacuated)
        running = self._count_running(service.name, evacuated)
        warm = self._count_running(service.name, evacuated, warm_only=True)
        tracker = self._order_trackers.setdefault(service.name, OrderTracker(service.name))
        returning = self._returning.setdefault(service.name, ReturningDomains())
        returning.observe(evacuated, now)
        desired = tracker.desired_counts(plan, running, now, warm)
        desired = returning.without_reductions(desired, plan, running, now)
        if not self._issue(tracker, tracker.due_orders(desired, running, now), busy, grant):
            return
        # Order replacements for unavailable capacity at once, since its load is already present.
        now = self._clock.monotonic()
        desired = tracker.desired_counts(plan, running, now, warm)
        desired = returning.without_reductions(desired, plan, running, now)
        self._issue(tracker, tracker.due_orders(desired, running, now), busy, grant)

    def _issue(
        self,
        tracker: OrderTracker,
        orders: list[tuple[ServerGroup, int]],
        busy: float,
        grant: LeaseGrant,
    ) -> bool:
        """Issue orders concurrently and return whether capacity was unavailable for any of them."""
        tasks = [
            self._open_orders.spawn(self._issue_one, tracker, group, number, busy, grant)
            for group, number in orders
        ]
        for task in tasks:
            task.link_exception(_log_failed_order)
        gevent.joinall(tasks, timeout=RESPONSE_WAIT_S)
        return any(task.value is DutyOutcome.NO_CAPACITY for task in tasks)

    def _issue_one(
        self, tracker: OrderTracker, group: ServerGroup, number: int, busy: float, grant: LeaseGrant
    ) -> DutyOutcome:
        call = self._codec.order(group, number, self._instance, grant.term)
        tracker.mark_sent(group)
        try:
            outcome = self._duty_client.call(call, grant, self._codec.read)
        finally:
            tracker.mark_finished(group)
        if grant.term == self._term:
            tracker.record_outcome(group, number, outcome, self._clock.monotonic())
        log_event(
            log,
            "servers-ordered",
            service=group.service,
            failure_domain=group.failure_domain,
            reclaimable=group.reclaimable,
            number=number,
            busy=busy,
            term=grant.term,
            outcome=outcome.value,
        )
        return outcome

    def _count_running(
        self, service: str, evacuated: frozenset[str], warm_only: bool = False
    ) -> dict[ServerGroup, int]:
        running: dict[ServerGroup, int] = {}
        for server in self._discovery.servers:
            if server.service != service or server.leaving:
                continue
            if warm_only and self._is_cold(server):
                continue
            if server.failure_domain not in evacuated:
                group = ServerGroup(service, server.failure_domain, server.reclaimable)
                running[group] = running.get(group, 0) + 1
        return running


def _log_failed_order(task: gevent.Greenlet[..., object]) -> None:
    detail = f"{type(task.exception).__name__}: {task.exception}"[:300]
    log_event(log, "order-failed", error=detail)

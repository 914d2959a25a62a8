"""Orders backend servers while its process holds the lease."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import logbook
from result import Err

from hickoryloom.catalog import CatalogFollower, Service
from hickoryloom.clock import Clock
from hickoryloom.discovery import Discovery
from hickoryloom.duties import DutyCaller, DutyOutcome, LeasedTask
from hickoryloom.leases import Right
from hickoryloom.logs import log_event
from hickoryloom.metering import ServiceDemand, live_instances, read_all_counts, sum_demand
from hickoryloom.scaling.messages import Group, ScalingCodec
from hickoryloom.scaling.orders import OrderBook
from hickoryloom.scaling.sizing import REQUEST_BUSY_S, DemandPeak, plan_servers
from hickoryloom.store import PlatformClient

__all__ = ["Scaler"]

LOOK_EVERY_S = 0.3
"""Backend servers that are taken away have seconds left, and a look costs no call."""

ANSWER_WAIT_S = 0.3
"""Time for the answers to orders before the next look; an answer that was lost holds up nothing."""

READ_DEMAND_EVERY_S = 3.0
"""The size goes by the peak of the last half minute, which moves slowly."""

log = logbook.Logger("hickoryloom.scaling")


class Scaler:
    """Keeps the number of backend servers fit for the demand of all instances.

    Args:
        client: Client of the store, with the instances' counts.
        clock: Source of time.
        wall: Returns the Unix time that counts are written with, in seconds.
        catalog: Tells services and their bounds.
        discovery: Tells the backend servers that stand.
        caller: Makes the calls under the lease.
        codec: Spells orders.
        instance: Name of the holder in its calls.
        prefill_s: Returns the seconds that an engine of a service takes for so many tokens.
    """

    def __init__(
        self,
        client: PlatformClient,
        clock: Clock,
        wall: Callable[[], float],
        catalog: CatalogFollower,
        discovery: Discovery,
        caller: DutyCaller,
        codec: ScalingCodec,
        instance: str,
        prefill_s: Callable[[str, float], float],
    ) -> None:
        self._client = client
        self._clock = clock
        self._wall = wall
        self._catalog = catalog
        self._discovery = discovery
        self._caller = caller
        self._codec = codec
        self._instance = instance
        self._prefill_s = prefill_s
        self._term = 0
        self._read_at = -READ_DEMAND_EVERY_S
        self._demand: dict[str, ServiceDemand] = {}
        self._books: dict[str, OrderBook] = {}
        self._peaks: dict[str, DemandPeak] = {}
        self._task = LeasedTask(
            caller, self._begin_term, self._order_due, LOOK_EVERY_S, "scaling", log
        )

    def start(self) -> None:
        """Begin to order."""
        self._task.start()

    def stop(self) -> None:
        """End."""
        self._task.stop()

    def _begin_term(self, right: Right) -> bool:
        """Forget orders of an earlier term; another holder may have ordered since."""
        if right.term != self._term:
            self._term = right.term
            for book in self._books.values():
                book.forget()
        return True

    def _order_due(self, right: Right) -> float:
        now = self._clock.monotonic()
        if now - self._read_at >= READ_DEMAND_EVERY_S and not self._read_demand(now):
            return LOOK_EVERY_S
        for service in self._catalog.catalog.services.values():
            if service.scaling is not None:
                self._scale(service, self._demand.get(service.name, ServiceDemand()), right)
        return LOOK_EVERY_S

    def _read_demand(self, now: float) -> bool:
        found = read_all_counts(self._client)
        if isinstance(found, Err):
            return False
        live = live_instances(found.ok_value.values(), self._wall())
        self._demand = sum_demand(live)
        self._read_at = now
        return True

    def _scale(self, service: Service, demand: ServiceDemand, right: Right) -> None:
        assert service.scaling is not None
        now = self._clock.monotonic()
        busy = self._prefill_s(service.name, demand.prompt_tokens_per_s)
        busy += REQUEST_BUSY_S * demand.requests_per_s
        peak = self._peaks.setdefault(service.name, DemandPeak()).add(busy, now)
        domains = tuple(sorted(service.scaling.prices))
        if not domains:
            return
        plan = plan_servers(peak, service.scaling, domains, busy)
        standing = self._standing(service.name)
        book = self._books.setdefault(service.name, OrderBook(service.name))
        wanted = book.wanted(plan, standing, now)
        if not self._give(book, book.due(wanted, standing, now), busy, right):
            return
        # What could not be had is made up for at once, as its load is there already.
        now = self._clock.monotonic()
        wanted = book.wanted(plan, standing, now)
        self._give(book, book.due(wanted, standing, now), busy, right)

    def _give(
        self, book: OrderBook, orders: list[tuple[Group, int]], busy: float, right: Right
    ) -> bool:
        """Give orders side by side; return whether one of them could not be had."""
        tasks = [
            gevent.spawn(self._order, book, group, number, busy, right) for group, number in orders
        ]
        gevent.joinall(tasks, timeout=ANSWER_WAIT_S)
        return any(task.value is DutyOutcome.NONE_TO_BE_HAD for task in tasks)

    def _order(
        self, book: OrderBook, group: Group, number: int, busy: float, right: Right
    ) -> DutyOutcome:
        call = self._codec.order(group, number, self._instance, right.term)
        book.note_sent(group)
        try:
            outcome = self._caller.call(call, right, self._codec.read)
        finally:
            book.note_ended(group)
        if right.term == self._term:
            book.note(group, number, outcome, self._clock.monotonic())
        log_event(
            log,
            "servers-ordered",
            service=group.service,
            failure_domain=group.failure_domain,
            reclaimable=group.reclaimable,
            number=number,
            busy=busy,
            term=right.term,
            outcome=outcome.value,
        )
        return outcome

    def _standing(self, service: str) -> dict[Group, int]:
        standing: dict[Group, int] = {}
        for server in self._discovery.servers:
            if server.service == service and not server.leaving:
                group = Group(service, server.failure_domain, server.reclaimable)
                standing[group] = standing.get(group, 0) + 1
        return standing

"""Fakes for fleet tests: platform, lease, demand source and backend servers."""

from __future__ import annotations

from collections.abc import Callable

import attrs
from result import Err, Ok

from hickoryloom.configuration import Pool, PoolKind, RequestClass, Snapshot
from hickoryloom.fleet.backend_client import ServerLoad
from hickoryloom.leases import LeaseGrant
from hickoryloom.leases.tests.fakes import DOWN, LOST, REJECTED, MemoryStore
from hickoryloom.store import BackendState, ErrorKind, LiveBackend, PlatformError, WeightGrant
from hickoryloom.verdict import Applied

FENCED = PlatformError(ErrorKind.FENCED, Applied.NOT_APPLIED)
NO_CAPACITY = PlatformError(ErrorKind.NO_CAPACITY, Applied.NOT_APPLIED)


@attrs.define
class FleetPlatform(MemoryStore):
    """In-memory platform that also takes orders and releases, idempotent by order id.

    Attributes:
        servers: Rows of the live list by id.
        orders: Backend server of each order id.
        journal: Kind, order id, fencing number and sender of each accepted order and release.
        interrupts: Callbacks, one of which runs before each of the next calls with an effect.
        lose_orders: How many of the next accepted orders and releases get no response.
        fencing: Whether orders with a lower fencing number than an earlier one are rejected.
        list_lag_s: Age of the live list.
        now: Returns the time, for the lag of the list.
        no_cheap: Whether there is no cheap (reclaimable) capacity.
        calls_received: Orders and releases received, including rejected ones.
        weight_grants: Loads that the weight store still grants.
    """

    servers: dict = attrs.field(factory=dict)
    orders: dict = attrs.field(factory=dict)
    journal: list = attrs.field(factory=list)
    interrupts: list = attrs.field(factory=list)
    lose_orders: int = 0
    no_cheap: bool = False
    fencing: bool = False
    highest_fencing: int = 0
    calls_received: int = 0
    list_lag_s: float = 0.0
    now: Callable[[], float] = lambda: 0.0
    history: list = attrs.field(factory=list)
    weight_grants: int = 1000

    def list_backends(self):
        if self.down:
            return Err(DOWN)
        self.history.append((self.now(), tuple(self.servers.values())))
        visible = [rows for at, rows in self.history if at <= self.now() - self.list_lag_s]
        return Ok(visible[-1] if visible else ())

    def order(self, order, guard=None):
        refused = self._refuse(order, guard)
        if refused is not None:
            return Err(refused)
        if order.cheap and self.no_cheap:
            return Err(NO_CAPACITY)
        self.journal.append(("order", order.order_id, order.fencing, order.sender))
        if order.order_id not in self.orders:
            name = f"b{len(self.orders)}"
            self.orders[order.order_id] = name
            self.servers[name] = LiveBackend(
                name,
                "127.0.0.1:9",
                order.failure_domain,
                order.pool,
                order.cheap,
                BackendState.LIVE,
            )
        return self._respond(self.orders[order.order_id])

    def release(self, release, guard=None):
        refused = self._refuse(release, guard)
        if refused is not None:
            return Err(refused)
        self.journal.append(("release", release.order_id, release.fencing, release.sender))
        self.servers.pop(release.backend_id, None)
        return self._respond(None)

    def request_weights(self, model):
        if not self.weight_grants:
            return Err(PlatformError(ErrorKind.REJECTED, Applied.NOT_APPLIED, "", 30.0))
        self.weight_grants -= 1
        return Ok(WeightGrant(model, 1))

    def _respond(self, value):
        if self.lose_orders:
            self.lose_orders -= 1
            return Err(LOST)
        return Ok(value)

    def _refuse(self, order, guard):
        if self.interrupts:
            self.interrupts.pop()()
        if self.down:
            return DOWN
        if guard is not None and not guard():
            return REJECTED
        self.calls_received += 1
        if self.fencing and order.fencing < self.highest_fencing:
            return FENCED
        self.highest_fencing = max(self.highest_fencing, order.fencing)
        return None

    def _write(self, key, value, if_version, guard):
        if self.interrupts:
            self.interrupts.pop()()
        return MemoryStore._write(self, key, value, if_version, guard)


@attrs.define
class FakeLease:
    """A lease whose grant is set by the test."""

    held: LeaseGrant | None = None

    def current_grant(self):
        return self.held

    def guard(self, grant):
        return lambda: self.held == grant


@attrs.define
class FakeDemand:
    """Demand set by the test; records the ids of leaving servers sent to entries."""

    pools: dict | None = attrs.field(factory=dict)
    leaving_received: list = attrs.field(factory=list)

    def collect(self, leaving):
        self.leaving_received.append(tuple(leaving))
        return self.pools


@attrs.define
class FakeBackendClient:
    """Backend servers with the load and the models set by the test."""

    busy: dict = attrs.field(factory=dict)
    models: dict = attrs.field(factory=dict)
    loads: list = attrs.field(factory=list)

    def load(self, address):
        return ServerLoad(self.busy.get(address, 0), frozenset(self.models.get(address, {"m"})))

    def order_load(self, address, model, order_id, grant, guard):
        if not guard():
            return False
        self.loads.append((order_id, grant.term))
        return True


@attrs.define
class FixedSnapshot:
    """A fixed configuration in force."""

    snapshot: Snapshot


def make_snapshot(min_servers=0, max_servers=40, cheap=True, domains=("a", "b", "c")):
    pool = Pool(
        "p",
        PoolKind.ENGINE,
        model="m",
        slots=4,
        failure_domains=domains,
        min_servers=min_servers,
        max_servers=max_servers,
        cheap=cheap,
    )
    classes = {
        "top": RequestClass("top", 1, 500, 50),
        "low": RequestClass("low", 2, 5000, 50),
    }
    return FixedSnapshot(Snapshot(1, pools={"p": pool}, classes=classes))

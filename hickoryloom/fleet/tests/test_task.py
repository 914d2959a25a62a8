"""FleetTask with an in-memory platform: lost responses, takeovers, draining, load orders."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hickoryloom.clock import ManualClock
from hickoryloom.fleet import FleetTask, TierDemand
from hickoryloom.fleet.draining import DRAIN_TIMEOUT_S, PROPAGATION_S, DrainTracker
from hickoryloom.fleet.loading import ModelLoader
from hickoryloom.fleet.tests.fakes import (
    FakeBackendClient,
    FakeDemand,
    FakeLease,
    FleetPlatform,
    make_snapshot,
)
from hickoryloom.leases import LeaseGrant

FOREVER = float("inf")
DELAY_S = 20.0


def make_task(platform, snapshot, name="c1", term=1, clock=None, demand=None):
    clock = clock or ManualClock(now=1000.0)
    lease = FakeLease(LeaseGrant(term, FOREVER) if term else None)
    task = FleetTask(
        platform,
        clock,
        lease,
        snapshot,
        demand or FakeDemand(),
        name,
        scale_down_delay_s=DELAY_S,
        source=random.Random(1),
    )
    backend_client = FakeBackendClient()
    task._drain_tracker = DrainTracker(clock, backend_client)
    task._model_loader = ModelLoader(platform, clock, backend_client)
    return task, lease, clock, backend_client


def run(task, clock, steps, step_s=2.0):
    for _ in range(steps):
        task.run_step()
        clock.advance(step_s)


def test_orders_are_recorded_before_they_are_submitted():
    platform = FleetPlatform()
    task, _, _, _ = make_task(platform, make_snapshot(min_servers=3))
    seen = []
    platform.interrupts += [lambda: seen.append(platform.objects.get("intents/fleet/p"))] * 4
    task.run_step()
    recorded = seen[2][1]["orders"]
    assert {order["order_id"] for order in recorded} >= set(platform.orders)
    assert len(recorded) == 3


def test_orders_with_lost_responses_are_repeated_with_the_same_ids():
    platform = FleetPlatform(lose_orders=3)
    task, _, clock, _ = make_task(platform, make_snapshot(min_servers=3))
    platform.now = clock.monotonic
    platform.list_lag_s = 10.0
    run(task, clock, 20)
    assert len(platform.servers) == 3


def test_successor_adopts_intents_and_previous_holder_can_no_longer_write():
    platform = FleetPlatform(lose_orders=2)
    snapshot = make_snapshot(min_servers=2)
    first, first_lease, clock, _ = make_task(platform, snapshot)
    first.run_step()
    second, _, _, _ = make_task(platform, snapshot, "c2", 2, clock)
    run(second, clock, 3)
    version = platform.objects["intents/fleet/p"][0]
    first.run_step()
    assert platform.objects["intents/fleet/p"][0] == version
    assert len(platform.servers) == 2


def test_fenced_holder_sends_no_more_orders_in_its_term():
    platform = FleetPlatform(fencing=True, highest_fencing=5)
    task, lease, clock, _ = make_task(platform, make_snapshot(min_servers=2))
    task.run_step()
    received = platform.calls_received
    run(task, clock, 3)
    assert received > 0
    assert platform.calls_received == received
    assert not platform.journal
    lease.held = LeaseGrant(6, FOREVER)
    run(task, clock, 3)
    assert len(platform.servers) == 2


def test_unavailable_cheap_servers_are_replaced_and_retried_later():
    platform = FleetPlatform(no_cheap=True)
    demand = FakeDemand({"p": {1: TierDemand(4, 0, 0, 0), 2: TierDemand(16, 0, 0, 0)}})
    task, _, clock, _ = make_task(platform, make_snapshot(), demand=demand)
    run(task, clock, 10)
    assert len(platform.servers) >= 6
    assert not any(server.cheap for server in platform.servers.values())
    platform.no_cheap = False
    run(task, clock, 60)
    assert any(server.cheap for server in platform.servers.values())


def test_surplus_server_is_drained_before_it_is_released():
    platform = FleetPlatform()
    demand = FakeDemand({"p": {1: TierDemand(8, 0, 0, 0)}})
    task, _, clock, backend_client = make_task(platform, make_snapshot(), demand=demand)
    run(task, clock, 5)
    count = len(platform.servers)
    backend_client.busy["127.0.0.1:9"] = 1
    demand.pools = {"p": {}}
    run(task, clock, 40)
    first_announced = next(at for at, leaving in enumerate(demand.leaving_received) if leaving)
    assert len(platform.servers) == count
    backend_client.busy.clear()
    run(task, clock, 40)
    assert len(platform.servers) < count
    assert first_announced < len(demand.leaving_received)


def test_busy_server_is_released_after_the_drain_timeout_and_idle_one_after_propagation():
    clock, backend_client = ManualClock(), FakeBackendClient({"x:1": 3})
    tracker = DrainTracker(clock, backend_client)
    assert not tracker.is_done("b", "x:1")
    backend_client.busy.clear()
    clock.advance(PROPAGATION_S - 0.1)
    assert not tracker.is_done("b", "x:1")
    clock.advance(0.2)
    assert tracker.is_done("b", "x:1")
    backend_client.busy["x:1"] = 1
    assert not tracker.is_done("b", "x:1")
    clock.advance(DRAIN_TIMEOUT_S)
    assert tracker.is_done("b", "x:1")


def test_unknown_demand_releases_nothing():
    platform = FleetPlatform()
    demand = FakeDemand({"p": {1: TierDemand(8, 0, 0, 0)}})
    task, _, clock, _ = make_task(platform, make_snapshot(), demand=demand)
    run(task, clock, 5)
    count = len(platform.servers)
    demand.pools = None
    run(task, clock, 200)
    assert len(platform.servers) == count


def test_load_orders_respect_the_rate_of_the_weight_store():
    platform = FleetPlatform(weight_grants=1)
    task, _, clock, backend_client = make_task(
        platform, make_snapshot(min_servers=3, domains=("a",))
    )
    backend_client.models["127.0.0.1:9"] = {"other"}
    run(task, clock, 4)
    assert len(backend_client.loads) == 1
    platform.weight_grants = 1
    run(task, clock, 4)
    assert len(backend_client.loads) == 1
    run(task, clock, 12)
    assert len(backend_client.loads) == 2


class FleetMachine(RuleBasedStateMachine):
    """Two tasks and one lease, which may change holders before any call that has an effect."""

    @initialize()
    def begin(self):
        self.platform = FleetPlatform()
        self.snapshot = make_snapshot(min_servers=4, max_servers=6)
        self.clock = ManualClock(now=1000.0)
        self.platform.now = self.clock.monotonic
        self.term = 1
        self.tasks = [
            make_task(self.platform, self.snapshot, f"c{n}", 0, self.clock) for n in (0, 1)
        ]
        self.holder = 0
        self._grant_lease(0)

    def _grant_lease(self, number):
        self.tasks[self.holder][1].held = None
        self.holder = number
        self.tasks[number][1].held = LeaseGrant(self.term, FOREVER)

    def _hand_over(self):
        self.term += 1
        self._grant_lease(1 - self.holder)
        self.tasks[self.holder][0].run_step()

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0, 30.0]), number=st.integers(0, 1))
    def step(self, seconds, number):
        self.clock.advance(seconds)
        self.tasks[number][0].run_step()

    @rule(calls=st.integers(0, 5), number=st.integers(0, 1))
    def hand_over_in_mid_step(self, calls, number):
        """Suspend a holder before one of its calls, let the other task act, then resume it."""
        if number != self.holder:
            self._hand_over()
        self.platform.interrupts = [self._hand_over, *([lambda: None] * calls)]
        self.clock.advance(2.0)
        self.tasks[number][0].run_step()
        self.platform.interrupts = []

    @rule(count=st.integers(1, 3))
    def lose_answers(self, count):
        self.platform.lose_orders = count
        self.platform.lose_answers = count

    @rule(lag_s=st.sampled_from([0.0, 4.0, 15.0]))
    def lag_list(self, lag_s):
        self.platform.list_lag_s = lag_s

    @rule(at=st.integers(0, 5))
    def platform_reclaims_server(self, at):
        names = sorted(self.platform.servers)
        if names:
            del self.platform.servers[names[at % len(names)]]

    @invariant()
    def servers_stay_within_the_limit(self):
        if hasattr(self, "platform"):
            assert len(self.platform.servers) <= 6

    @invariant()
    def terms_never_decrease(self):
        if hasattr(self, "platform"):
            terms = [entry[2] for entry in self.platform.journal]
            assert terms == sorted(terms)


FleetMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=20)
TestFleetMachine = FleetMachine.TestCase

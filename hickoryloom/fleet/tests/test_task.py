"""FleetTask against a platform in memory: lost answers, takeovers, draining, load orders."""

import random

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from hickoryloom.clock import ManualClock
from hickoryloom.fleet import FleetTask, TierDemand
from hickoryloom.fleet.draining import DRAIN_BOUND_S, SETTLE_S, Draining
from hickoryloom.fleet.loading import ModelLoading
from hickoryloom.fleet.tests.fakes import (
    FakeCalls,
    FixedDemand,
    FleetPlatform,
    HandedLease,
    make_snapshot,
)
from hickoryloom.leases import Right

FOREVER = float("inf")
DELAY_S = 20.0


def make_task(platform, snapshot, name="c1", term=1, clock=None, demand=None):
    clock = clock or ManualClock(now=1000.0)
    lease = HandedLease(Right(term, FOREVER) if term else None)
    task = FleetTask(
        platform,
        clock,
        lease,
        snapshot,
        demand or FixedDemand(),
        name,
        scale_down_delay_s=DELAY_S,
        source=random.Random(1),
    )
    calls = FakeCalls()
    task._draining = Draining(clock, calls)
    task._loading = ModelLoading(platform, clock, calls)
    return task, lease, clock, calls


def run(task, clock, steps, step_s=2.0):
    for _ in range(steps):
        task.run_step()
        clock.advance(step_s)


def test_orders_are_recorded_before_they_are_given():
    platform = FleetPlatform()
    task, _, _, _ = make_task(platform, make_snapshot(least=3))
    seen = []
    platform.interrupts += [lambda: seen.append(platform.objects.get("intents/fleet/p"))] * 4
    task.run_step()
    recorded = seen[2][1]["orders"]
    assert {order["order_id"] for order in recorded} >= set(platform.orders)
    assert len(recorded) == 3


def test_lost_answers_to_orders_are_settled_with_the_same_ids():
    platform = FleetPlatform(lose_orders=3)
    task, _, clock, _ = make_task(platform, make_snapshot(least=3))
    platform.now = clock.monotonic
    platform.list_lag_s = 10.0
    run(task, clock, 20)
    assert len(platform.servers) == 3


def test_a_successor_adopts_and_the_earlier_holder_records_nothing_any_more():
    platform = FleetPlatform(lose_orders=2)
    snapshot = make_snapshot(least=2)
    first, first_lease, clock, _ = make_task(platform, snapshot)
    first.run_step()
    second, _, _, _ = make_task(platform, snapshot, "c2", 2, clock)
    run(second, clock, 3)
    version = platform.objects["intents/fleet/p"][0]
    first.run_step()
    assert platform.objects["intents/fleet/p"][0] == version
    assert len(platform.servers) == 2


def test_a_fenced_holder_orders_nothing_more_in_its_term():
    platform = FleetPlatform(fencing=True, highest=5)
    task, lease, clock, _ = make_task(platform, make_snapshot(least=2))
    task.run_step()
    asked = platform.asked
    run(task, clock, 3)
    assert asked > 0
    assert platform.asked == asked
    assert not platform.journal
    lease.held = Right(6, FOREVER)
    run(task, clock, 3)
    assert len(platform.servers) == 2


def test_cheap_servers_that_cannot_be_had_are_replaced_and_tried_again_later():
    platform = FleetPlatform(no_cheap=True)
    demand = FixedDemand({"p": {1: TierDemand(4, 0, 0, 0), 2: TierDemand(16, 0, 0, 0)}})
    task, _, clock, _ = make_task(platform, make_snapshot(), demand=demand)
    run(task, clock, 10)
    assert len(platform.servers) >= 6
    assert not any(server.cheap for server in platform.servers.values())
    platform.no_cheap = False
    run(task, clock, 60)
    assert any(server.cheap for server in platform.servers.values())


def test_a_surplus_server_is_drained_before_it_is_released():
    platform = FleetPlatform()
    demand = FixedDemand({"p": {1: TierDemand(8, 0, 0, 0)}})
    task, _, clock, calls = make_task(platform, make_snapshot(), demand=demand)
    run(task, clock, 5)
    count = len(platform.servers)
    calls.busy["127.0.0.1:9"] = 1
    demand.pools = {"p": {}}
    run(task, clock, 40)
    told_at = next(at for at, told in enumerate(demand.told) if told)
    assert len(platform.servers) == count
    calls.busy.clear()
    run(task, clock, 40)
    assert len(platform.servers) < count
    assert told_at < len(demand.told)


def test_a_server_that_never_falls_idle_goes_after_the_bound_and_not_before_it_settled():
    clock, calls = ManualClock(), FakeCalls({"x:1": 3})
    draining = Draining(clock, calls)
    assert not draining.is_done("b", "x:1")
    calls.busy.clear()
    clock.advance(SETTLE_S - 0.1)
    assert not draining.is_done("b", "x:1")
    clock.advance(0.2)
    assert draining.is_done("b", "x:1")
    calls.busy["x:1"] = 1
    assert not draining.is_done("b", "x:1")
    clock.advance(DRAIN_BOUND_S)
    assert draining.is_done("b", "x:1")


def test_no_known_demand_releases_nothing():
    platform = FleetPlatform()
    demand = FixedDemand({"p": {1: TierDemand(8, 0, 0, 0)}})
    task, _, clock, _ = make_task(platform, make_snapshot(), demand=demand)
    run(task, clock, 5)
    count = len(platform.servers)
    demand.pools = None
    run(task, clock, 200)
    assert len(platform.servers) == count


def test_load_orders_keep_to_the_rate_of_the_weight_store():
    platform = FleetPlatform(grants=1)
    task, _, clock, calls = make_task(platform, make_snapshot(least=3, domains=("a",)))
    calls.models["127.0.0.1:9"] = {"other"}
    run(task, clock, 4)
    assert len(calls.loads) == 1
    platform.grants = 1
    run(task, clock, 4)
    assert len(calls.loads) == 1
    run(task, clock, 12)
    assert len(calls.loads) == 2


class FleetMachine(RuleBasedStateMachine):
    """Two tasks and one right, which may change hands before any call that changes something."""

    @initialize()
    def begin(self):
        self.platform = FleetPlatform()
        self.snapshot = make_snapshot(least=4, most=6)
        self.clock = ManualClock(now=1000.0)
        self.platform.now = self.clock.monotonic
        self.term = 1
        self.tasks = [
            make_task(self.platform, self.snapshot, f"c{n}", 0, self.clock) for n in (0, 1)
        ]
        self.holder = 0
        self._give(0)

    def _give(self, number):
        self.tasks[self.holder][1].held = None
        self.holder = number
        self.tasks[number][1].held = Right(self.term, FOREVER)

    def _hand_over(self):
        self.term += 1
        self._give(1 - self.holder)
        self.tasks[self.holder][0].run_step()

    @rule(seconds=st.sampled_from([0.5, 2.0, 6.0, 30.0]), number=st.integers(0, 1))
    def step(self, seconds, number):
        self.clock.advance(seconds)
        self.tasks[number][0].run_step()

    @rule(calls=st.integers(0, 5), number=st.integers(0, 1))
    def hand_over_in_mid_step(self, calls, number):
        """Freeze a holder before one of its calls, let the other act, and wake it."""
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
    def reclaim_server(self, at):
        names = sorted(self.platform.servers)
        if names:
            del self.platform.servers[names[at % len(names)]]

    @invariant()
    def never_more_servers_than_the_bound(self):
        if hasattr(self, "platform"):
            assert len(self.platform.servers) <= 6

    @invariant()
    def terms_never_go_back(self):
        if hasattr(self, "platform"):
            terms = [entry[2] for entry in self.platform.journal]
            assert terms == sorted(terms)


FleetMachine.TestCase.settings = settings(max_examples=100, stateful_step_count=20)
TestFleetMachine = FleetMachine.TestCase

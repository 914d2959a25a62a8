"""The cost of an admission decision at the planned size against a small one, in one run."""

import random
import time

import pytest

from hickoryloom.admission import AdmissionState, Request
from hickoryloom.admission.decisions import Start
from hickoryloom.configuration import Customer, Pool, PoolKind, RequestClass, Snapshot
from hickoryloom.relay import Outcome
from hickoryloom.routing import BackendView
from hickoryloom.verdict import Verdict

pytestmark = pytest.mark.bench

BOUND = 2.0
ROUNDS = 5
DECISIONS = 4000
WAITING_PART = 0.5


class Load:
    """One entry with its slots full and a queue, that starts a request for each that ends."""

    def __init__(self, replicas, customers):
        classes = {f"c{t}": RequestClass(f"c{t}", t, 60_000, 0, reserve=0.02) for t in range(1, 5)}
        self.customers = [f"customer-{n}" for n in range(customers)]
        self.rng = random.Random(5)
        self.now = 0.0
        self.number = 0
        self.running = []
        self.state = AdmissionState("e", random.Random(1))
        self.state.set_snapshot(
            Snapshot(
                1,
                pools={"p": Pool("p", PoolKind.ENGINE, slots=8)},
                classes=classes,
                customers={
                    name: Customer(name, tuple(classes), tokens_per_minute=10**9, max_in_flight=500)
                    for name in self.customers
                },
            ),
            0.0,
        )
        views = [BackendView(f"b{n}", "", "d", "p", slots=8) for n in range(replicas)]
        self.state.set_backends(views, 0.0)
        for _ in range(int(8 * replicas + min(8 * replicas * WAITING_PART, 1000))):
            self.arrive()

    def arrive(self):
        self.number += 1
        tier = self.rng.randrange(1, 5)
        request = Request(
            f"r{self.number}",
            self.rng.choice(self.customers),
            "m",
            "p",
            f"c{tier}",
            tier,
            True,
            self.now,
            self.now + 1e6,
        )
        self.state.submit(request, self.now)
        self.take(self.state.dispatch("p", self.now))

    def take(self, decisions):
        self.running += [found.admitted for found in decisions if isinstance(found, Start)]

    def turn(self):
        self.now += 0.001
        index = self.rng.randrange(len(self.running))
        self.running[index], self.running[-1] = self.running[-1], self.running[index]
        outcome = Outcome(Verdict.RAN, True, output_tokens=100)
        self.take(self.state.finish(self.running.pop(), outcome, self.now))
        self.arrive()

    def seconds(self):
        begun = time.process_time()
        for _ in range(DECISIONS):
            self.turn()
        return (time.process_time() - begun) / DECISIONS


def test_a_decision_at_the_planned_size_costs_at_most_twice_that_of_a_small_one(capsys):
    small, large = Load(10, 10), Load(3000, 11_000)
    for load in (small, large):
        load.seconds()
    ratios = sorted(large.seconds() / small.seconds() for _ in range(ROUNDS))
    with capsys.disabled():
        cost = small.seconds() * 1e6
        print(f"\nadmission: {cost:.1f} us small, ratio {ratios[ROUNDS // 2]:.2f}")
    assert ratios[ROUNDS // 2] <= BOUND

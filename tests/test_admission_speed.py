"""Compares an admission decision's CPU time at the planned size and a small one, in one run."""

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

MAX_RATIO = 2.0
ROUNDS = 5
TURNS = 4000
QUEUED_RATIO = 0.5


class Workload:
    """Admission of one entry with all slots occupied and a queue.

    Each turn finishes one request, which admits a queued one, and submits another.
    """

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
        for _ in range(int(8 * replicas + min(8 * replicas * QUEUED_RATIO, 1000))):
            self.submit_request()

    def submit_request(self):
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
        self.add_started(self.state.dispatch("p", self.now))

    def add_started(self, decisions):
        self.running += [decision.admitted for decision in decisions if isinstance(decision, Start)]

    def run_turn(self):
        self.now += 0.001
        index = self.rng.randrange(len(self.running))
        self.running[index], self.running[-1] = self.running[-1], self.running[index]
        outcome = Outcome(Verdict.RAN, True, output_tokens=100)
        self.add_started(self.state.finish(self.running.pop(), outcome, self.now))
        self.submit_request()

    def seconds_per_turn(self):
        started_at = time.process_time()
        for _ in range(TURNS):
            self.run_turn()
        return (time.process_time() - started_at) / TURNS


def test_decision_at_planned_size_costs_at_most_twice_a_small_one(capsys):
    small, large = Workload(10, 10), Workload(3000, 11_000)
    for workload in (small, large):
        workload.seconds_per_turn()
    ratios = sorted(large.seconds_per_turn() / small.seconds_per_turn() for _ in range(ROUNDS))
    with capsys.disabled():
        cost = small.seconds_per_turn() * 1e6
        print(f"\nadmission: {cost:.1f} us small, ratio {ratios[ROUNDS // 2]:.2f}")
    assert ratios[ROUNDS // 2] <= MAX_RATIO

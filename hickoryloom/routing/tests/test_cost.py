"""A routing decision among 3,000 backend servers costs at most twice one among 10."""

import random
import time

import pytest

from hickoryloom.admission import Request
from hickoryloom.clock import ManualClock
from hickoryloom.routing import BackendView, LoadReport, Router

MAX_RATIO = 2.0
ROUNDS = 15
CHOICES = 400


def build(count):
    clock = ManualClock(1000.0)
    router = Router(clock, random.Random(1), "d0")
    router.set_views(
        BackendView(f"b{i}", f"b{i}:1", f"d{i % 3}", "p", slots=8) for i in range(count)
    )
    for i in range(count):
        router.apply_load_report(f"b{i}", LoadReport(i % 8, 0, 1.0, clock.monotonic()))
    clock.advance(60.0)
    return router


def measure_decisions(router, round_number):
    started_at = time.process_time()
    for number in range(CHOICES):
        request = Request(
            *(f"r{number}", "c", "m", "p", "guest", 1, True, 0.0, 10.0),
            prompt_tokens=500,
            prefix_hash=f"p{(round_number * CHOICES + number) % 500}",
            stream=True,
        )
        router.start_attempt(router.choose(request), request)
    return time.process_time() - started_at


@pytest.mark.bench
def test_a_choice_among_3000_costs_at_most_twice_one_among_10():
    few, many = build(10), build(3000)
    ratios = sorted(measure_decisions(many, i) / measure_decisions(few, i) for i in range(ROUNDS))
    median = ratios[ROUNDS // 2]
    print(
        f"ratio {median:.2f}, {measure_decisions(many, 0) / CHOICES * 1e6:.0f} us a choice at 3,000"
    )
    assert median <= MAX_RATIO

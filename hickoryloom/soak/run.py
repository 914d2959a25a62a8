"""One run of the soak: traffic, faults by plan, recovery, and the verdict."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent

from hickoryloom.clock import Clock
from hickoryloom.soak.callers import Callers
from hickoryloom.soak.faults import FAULTS, FaultContext, inject
from hickoryloom.soak.instances import Instances
from hickoryloom.soak.operator import Operator
from hickoryloom.soak.plan import PlannedFault, draw_plan
from hickoryloom.soak.ports import SoakSite
from hickoryloom.soak.promises import check_promises
from hickoryloom.soak.record import Record
from hickoryloom.soak.report import SoakReport

__all__ = ["run_soak"]

START_TIMEOUT_S = 30.0
CUSTOMERS = ["ann", "bob", "cleo"]
KEYS_EACH = 2
CALLERS_PER_INSTANCE = 6
"""Callers for each instance: some requests are always open when a fault strikes."""


def run_soak(
    seed: int,
    seconds: float,
    instances: int,
    build_site: Callable[[list[str]], SoakSite],
    clock: Clock,
    kinds: tuple[str, ...] = (),
) -> SoakReport:
    """Run one seed; everything that was started has ended when it returns.

    Args:
        seed: Draws the faults and the traffic.
        seconds: Length of the traffic.
        instances: Number of processes under test.
        build_site: Builds the stand-in of the platform for instances of these names.
        clock: Source of time.
        kinds: Names of faults to draw from; empty for all.
    """
    chosen = kinds or tuple(sorted(FAULTS))
    names = [f"instance-{number}" for number in range(1, instances + 1)]
    site = build_site(names)
    try:
        record = Record(site.bounds)
        _run(seed, seconds, names, site, clock, record, draw_plan(seed, seconds, chosen))
    finally:
        site.stop()
    unused = tuple(kind for kind in sorted(FAULTS) if kind not in record.faults)
    return SoakReport(seed, seconds, instances, record, check_promises(record), unused)


def _run(
    seed: int,
    seconds: float,
    names: list[str],
    site: SoakSite,
    clock: Clock,
    record: Record,
    plan: list[PlannedFault],
) -> None:
    rng = random.Random(seed)
    operator = Operator(site, record, clock, CUSTOMERS, KEYS_EACH)
    operator.publish()
    instances = Instances(site, record, clock, names)
    instances.start_all()
    balancer = gevent.spawn(instances.watch)
    instances.wait_ready(START_TIMEOUT_S)
    callers = Callers(site, instances, operator, record, clock, rng)
    callers.start(CALLERS_PER_INSTANCE * len(names))
    began = clock.monotonic()
    context = FaultContext(site, instances, operator, record, rng)
    running = []
    for planned in plan:
        gevent.sleep(max(0.0, began + planned.at_s - clock.monotonic()))
        running.append(gevent.spawn(inject, context, planned))
    gevent.joinall(running, raise_error=True)
    record.last_fault_ended = clock.monotonic()
    gevent.sleep(max(0.0, began + seconds - clock.monotonic()))
    callers.stop()
    balancer.kill()
    record.runs = list(site.runs)
    record.reports = list(site.reports)
    record.terms = list(site.terms)

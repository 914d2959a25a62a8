"""One soak run: traffic, planned faults, recovery, and the check of the promises."""

from __future__ import annotations

import random
from collections.abc import Callable

import gevent

from hickoryloom.clock import Clock
from hickoryloom.soak.callers import PLANNED_WORK_STYLES, STEADY, Callers
from hickoryloom.soak.faults import (
    DEFAULT_FAULTS,
    FAULTS,
    PLANNED_WORK,
    FaultContext,
    inject,
)
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
KEYS_PER_CUSTOMER = 2
CALLERS_PER_INSTANCE = 6
"""Enough callers for each instance to have requests in flight whenever a fault is injected."""

PLANNED_WORK_CALLERS_PER_INSTANCE = 28
"""Enough callers of each style for some to be in each stage of a request when a stop closes idle
connections or ends."""

CPU_SHARE = 0.5
"""Share of the time for which each process runs beside planned work. What arrives meanwhile is
unread when the process acts on a signal or a timer."""


def run_soak(
    seed: int,
    seconds: float,
    instances: int,
    build_site: Callable[[list[str]], SoakSite],
    clock: Clock,
    kinds: tuple[str, ...] = (),
) -> SoakReport:
    """Run the soak test for one seed; all processes that it started are gone when it returns.

    Args:
        seed: Seed of the fault plan and of the traffic.
        seconds: Duration of the traffic.
        instances: Number of instances, each with one process under test.
        build_site: Builds the platform stand-in for the instance names passed to it.
        clock: Time source.
        kinds: Names of the faults to draw from; empty for the default ones. If all of them are
            planned work, callers use their connections in all styles, and no request that was
            read may end without a complete response.
    """
    selected_kinds = kinds or tuple(sorted(DEFAULT_FAULTS))
    names = [f"instance-{number}" for number in range(1, instances + 1)]
    site = build_site(names)
    try:
        record = Record(site.bounds, only_planned_work=set(selected_kinds) <= set(PLANNED_WORK))
        _run_traffic(
            seed, seconds, names, site, clock, record, draw_plan(seed, seconds, selected_kinds)
        )
    finally:
        site.stop()
    undrawn_faults = tuple(kind for kind in sorted(FAULTS) if kind not in record.faults)
    return SoakReport(seed, seconds, instances, record, check_promises(record), undrawn_faults)


def _run_traffic(
    seed: int,
    seconds: float,
    names: list[str],
    site: SoakSite,
    clock: Clock,
    record: Record,
    plan: list[PlannedFault],
) -> None:
    rng = random.Random(seed)
    operator = Operator(site, record, clock, CUSTOMERS, KEYS_PER_CUSTOMER)
    operator.publish()
    instances = Instances(site, record, clock, names)
    instances.start_all()
    balancer = gevent.spawn(instances.poll_readiness)
    instances.wait_ready(START_TIMEOUT_S)
    styles = PLANNED_WORK_STYLES if record.only_planned_work else (STEADY,)
    callers = Callers(site, instances, operator, record, clock, rng, styles)
    limits: list[gevent.Greenlet] = []
    if record.only_planned_work:
        limits = [gevent.spawn(instances.limit_share, name, CPU_SHARE) for name in names]
    callers_per_instance = CALLERS_PER_INSTANCE
    if record.only_planned_work:
        callers_per_instance = PLANNED_WORK_CALLERS_PER_INSTANCE
    callers.start(callers_per_instance * len(names))
    started_at = clock.monotonic()
    context = FaultContext(site, instances, operator, record, rng)
    injections = []
    for planned in plan:
        gevent.sleep(max(0.0, started_at + planned.at_s - clock.monotonic()))
        injections.append(gevent.spawn(inject, context, planned))
    gevent.joinall(injections, raise_error=True)
    record.last_fault_ended = clock.monotonic()
    gevent.sleep(max(0.0, started_at + seconds - clock.monotonic()))
    callers.stop()
    gevent.killall([balancer, *limits])
    record.log_lines = site.log_lines(answer.call.id for answer in record.unanswered())
    record.runs = list(site.runs)
    record.reports = list(site.reports)
    record.terms = list(site.terms)

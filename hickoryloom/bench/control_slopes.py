"""Measures the cost of ordering servers and of usage, at small sizes and at the planned size.

Example: python -m hickoryloom.bench.control_slopes
"""

from __future__ import annotations

import json
import random
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

import cattrs

from hickoryloom.clock import ManualClock
from hickoryloom.configuration import Pool, PoolKind
from hickoryloom.fleet import (
    Demand,
    PoolPlanner,
    ServerState,
    ServerView,
    Site,
    TierDemand,
    merge_demands,
)
from hickoryloom.store import Versioned
from hickoryloom.tables import render_table
from hickoryloom.usage import UsageKey, UsageObject, UsageTimes, UsageTotals
from hickoryloom.usage.ledger import UsageLedger
from hickoryloom.usage.sealing import build_sealed_record

__all__ = ["measure_costs"]

DOMAINS = tuple(f"domain-{number:02}" for number in range(21))
ENTRIES = 740
CUSTOMERS = 11_000
REPEATS = 5
BYTES_PER_MB = 1_000_000


def measure_costs() -> list[tuple[str, str]]:
    """Return the name and the figure of each measurement."""
    rows = [
        (f"plan one pool of {count} servers, ms", f"{_measure_plan_ms(count):.2f}")
        for count in (10, 3000)
    ]
    rows += [
        (f"merge the demand of {count} entries, ms", f"{_measure_merge_ms(count):.2f}")
        for count in (7, ENTRIES)
    ]
    for count in (10, CUSTOMERS):
        rows += _measure_usage(count)
    return rows


def _measure_plan_ms(count: int) -> float:
    pool = Pool(
        "assistant",
        PoolKind.ENGINE,
        slots=8,
        failure_domains=DOMAINS,
        max_servers=4000,
        cheap=True,
    )
    servers = [
        ServerView(f"s{n}", Site(DOMAINS[n % 21], n % 3 == 0), ServerState.RUNNING)
        for n in range(count)
    ]
    demand = {tier: TierDemand(count, 0, count / 40, 10.0) for tier in (1, 2, 3, 4)}
    planner = PoolPlanner(random.Random(1))
    now = iter(range(0, 10_000, 2))
    return _min_cpu_ms(lambda: planner.plan(float(next(now)), pool, demand, (), servers))


def _measure_merge_ms(entries: int) -> float:
    tiers = {tier: TierDemand(5, 1, 2.0, 10.0, 0.01) for tier in (1, 2, 3, 4)}
    demands = [Demand(f"e{n}", dict.fromkeys("abcde", tiers)) for n in range(entries)]
    return _min_cpu_ms(lambda: merge_demands(demands))


def _measure_usage(customers: int) -> list[tuple[str, str]]:
    tracemalloc.start()
    ledger = UsageLedger("entry-0123456789ab", UsageTimes.for_window(60.0))
    clock = ManualClock()
    for number in range(customers):
        key = UsageKey(f"customer-{number:05}", "assistant-large", "interactive")
        ledger.add(0.0, clock.wall(), key, UsageTotals(10, 10_000, 5_000), f"r{number}")
    memory_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    objects = []
    for usage_part in ledger.parts:
        call = usage_part.writer.next_call(usage_part.figures, usage_part.advance_sequence())
        assert call is not None
        objects.append(cattrs.unstructure(call.value))  # type: ignore[union-attr]
    largest_bytes = max(len(json.dumps(value)) for value in objects)
    stored = [_as_stored(value) for value in objects]
    seal_ms = _min_cpu_ms(lambda: build_sealed_record(stored[0].value.window, stored))
    name = f"{customers} customers"
    return [
        (
            f"memory of the usage ledger of one entry, {name}, MB",
            f"{memory_bytes / BYTES_PER_MB:.2f}",
        ),
        (f"usage objects per entry and window, {name}", str(len(objects))),
        (f"largest usage object, {name}, MB", f"{largest_bytes / BYTES_PER_MB:.3f}"),
        (f"seal the usage of one entry, {name}, ms", f"{seal_ms:.1f}"),
    ]


def _as_stored(value: Any) -> Versioned[UsageObject]:
    usage_object = cattrs.structure(value, UsageObject)
    return Versioned(usage_object.key, 1, usage_object)


def _min_cpu_ms(action: Callable[[], Any]) -> float:
    shortest_s = float("inf")
    for _ in range(REPEATS):
        started_at = time.process_time()
        action()
        shortest_s = min(shortest_s, time.process_time() - started_at)
    return shortest_s * 1000


if __name__ == "__main__":
    print(render_table(("SLOPE", "FIGURE"), measure_costs()))

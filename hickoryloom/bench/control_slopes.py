"""Slopes of leases, ordering and usage at the planned size: `python -m` this module."""

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
from hickoryloom.usage.sealing import build_sealed

__all__ = ["measure_slopes"]

DOMAINS = tuple(f"domain-{number:02}" for number in range(21))
ENTRIES = 740
CUSTOMERS = 11_000
ROUNDS = 5
BYTES_PER_MB = 1_000_000


def measure_slopes() -> list[tuple[str, str]]:
    """Return the name and the figure of each slope."""
    rows = [
        (f"plan one pool of {count} servers, ms", f"{_plan_ms(count):.2f}") for count in (10, 3000)
    ]
    rows += [
        (f"add up the demand of {count} entries, ms", f"{_merge_ms(count):.2f}")
        for count in (7, ENTRIES)
    ]
    for count in (10, CUSTOMERS):
        rows += _usage_rows(count)
    return rows


def _plan_ms(count: int) -> float:
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
    return _best_ms(lambda: planner.plan(float(next(now)), pool, demand, (), servers))


def _merge_ms(entries: int) -> float:
    tiers = {tier: TierDemand(5, 1, 2.0, 10.0, 0.01) for tier in (1, 2, 3, 4)}
    demands = [Demand(f"e{n}", dict.fromkeys("abcde", tiers)) for n in range(entries)]
    return _best_ms(lambda: merge_demands(demands))


def _usage_rows(customers: int) -> list[tuple[str, str]]:
    tracemalloc.start()
    ledger = UsageLedger("entry-0123456789ab", UsageTimes.of(60.0))
    clock = ManualClock()
    for number in range(customers):
        key = UsageKey(f"customer-{number:05}", "assistant-large", "interactive")
        ledger.add(0.0, clock.wall(), key, UsageTotals(10, 10_000, 5_000), f"r{number}")
    memory = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    objects = []
    for part in ledger.parts:
        call = part.writer.next_call(part.figures, part.expose())
        assert call is not None
        objects.append(cattrs.unstructure(call.value))  # type: ignore[union-attr]
    largest = max(len(json.dumps(value)) for value in objects)
    stored = [_stored(value) for value in objects]
    seal_ms = _best_ms(lambda: build_sealed(stored[0].value.window, stored))
    name = f"{customers} customers"
    return [
        (f"memory of an entry's figures, {name}, MB", f"{memory / BYTES_PER_MB:.2f}"),
        (f"usage objects of an entry a window, {name}", str(len(objects))),
        (f"largest usage object, {name}, MB", f"{largest / BYTES_PER_MB:.3f}"),
        (f"seal one entry's figures, {name}, ms", f"{seal_ms:.1f}"),
    ]


def _stored(value: Any) -> Versioned[UsageObject]:
    found = cattrs.structure(value, UsageObject)
    return Versioned(found.key, 1, found)


def _best_ms(run: Callable[[], Any]) -> float:
    best = float("inf")
    for _ in range(ROUNDS):
        began = time.process_time()
        run()
        best = min(best, time.process_time() - began)
    return best * 1000


if __name__ == "__main__":
    print(render_table(("SLOPE", "FIGURE"), measure_slopes()))

"""Experiments on ordering: the planner against fixed sizes, on one clock.

Requests arrive by tier and hold a slot for a while; servers start late, cost by the hour and
may go by failure domain or all cheap ones at once. The planner sees what `DemandMeter` tells.
"""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import attrs
import cattrs

from hickoryloom.bench.ordering_site import OrderingSite, Outage, TierLoad
from hickoryloom.configuration import Pool, PoolKind
from hickoryloom.exceptions import UsageError
from hickoryloom.fleet import DemandMeter, PoolPlanner, Site, choose_targets
from hickoryloom.fleet.messages import Need
from hickoryloom.tables import render_table

__all__ = ["OrderingExperiment", "format_ordering", "is_ordering", "read_ordering", "run_ordering"]

KIND = "ordering"
PLAN_INTERVAL_S = 2
POLICIES = ("planned", "fixed-peak", "fixed-mean")


@attrs.frozen
class OrderingExperiment:
    """One experiment on ordering.

    Attributes:
        name: Unique name.
        seed: Seed of arrivals and durations.
        duration_s: Seconds during which requests arrive.
        failure_domains: Where servers may be ordered.
        tiers: Offered load by tier.
        outages: Losses of capacity.
        slots: Requests that a server runs side by side.
        load_s: Seconds that a server needs to load its model.
        loads_per_minute: Rate of the weight store.
        max_servers: Most servers.
        price: Price of an ordinary server per hour.
        cheap_price: Price of a cheap server per hour.
        scale_down_delay_s: Of the planner.
    """

    name: str
    seed: int
    duration_s: int
    failure_domains: tuple[str, ...]
    tiers: tuple[TierLoad, ...]
    outages: tuple[Outage, ...] = ()
    slots: int = 8
    load_s: float = 60.0
    loads_per_minute: float = 20.0
    max_servers: int = 60
    price: float = 1.0
    cheap_price: float = 0.3
    scale_down_delay_s: float = 300.0
    kind: str = KIND

    def pool(self) -> Pool:
        """Return the pool's document."""
        return Pool(
            "assistant",
            PoolKind.ENGINE,
            slots=self.slots,
            failure_domains=self.failure_domains,
            max_servers=self.max_servers,
            cheap=True,
            price=self.price,
            cheap_price=self.cheap_price,
            load_s=self.load_s,
        )


def is_ordering(path: Path) -> bool:
    """Tell whether a file holds an experiment on ordering."""
    try:
        found = json.loads(path.read_text())
    except (OSError, ValueError):
        return False
    return isinstance(found, dict) and found.get("kind") == KIND


def read_ordering(path: Path) -> OrderingExperiment:
    """Read one experiment.

    Raises:
        UsageError: The file is no such experiment; the message says why.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        return converter.structure(json.loads(path.read_text()), OrderingExperiment)
    except (OSError, ValueError) as error:
        raise UsageError(f"{path}: {error}") from error
    except Exception as error:
        faults = "; ".join(cattrs.transform_error(error))
        raise UsageError(f"{path}: {faults}") from error


def run_ordering(experiment: OrderingExperiment) -> dict[str, Any]:
    """Run all policies on the same arrivals and return their figures."""
    results = {name: _run(experiment, name) for name in POLICIES}
    return {"experiment": experiment.name, "seed": experiment.seed, "policies": results}


def format_ordering(report: dict[str, Any]) -> str:
    """Return the figures as a table, spending also against the fixed size for the peak."""
    base = report["policies"]["fixed-peak"]["spending"]
    rows = []
    for name, found in report["policies"].items():
        attained = " ".join(f"{tier}:{part:.3f}" for tier, part in found["attainment"].items())
        rows.append(
            (
                name,
                attained,
                f"{found['spending']:.2f}",
                f"{found['spending'] / base:.2f}",
                f"{found['cheap_part']:.2f}",
                found["interrupted_upper"],
                found["interrupted_lower"],
                found["orders"],
                f"{found['longest_load_wait_s']:.0f}",
            )
        )
    headings = (
        "POLICY",
        "ATTAINMENT BY TIER",
        "SPENDING",
        "OF PEAK",
        "LOWER ON CHEAP",
        "CUT UPPER",
        "CUT LOWER",
        "ORDERS",
        "LOAD WAIT S",
    )
    return f"{report['experiment']}\n{render_table(headings, rows)}"


def _run(experiment: OrderingExperiment, policy: str) -> dict[str, Any]:
    pool = experiment.pool()
    lower = frozenset(load.tier for load in experiment.tiers if load.lower)
    site = OrderingSite(
        pool,
        experiment.tiers,
        experiment.outages,
        experiment.loads_per_minute,
        random.Random(experiment.seed),
        lower,
    )
    meter = DemandMeter("entry")
    planner = PoolPlanner(random.Random(experiment.seed), experiment.scale_down_delay_s)
    fixed = _fixed_targets(experiment, pool, policy, lower)
    for site_at in fixed:
        for _ in range(fixed[site_at]):
            site.order(0.0, site_at, at_once=True)
    if policy == "planned":
        _start_planned(experiment, pool, site, lower)
    for now in range(experiment.duration_s):
        site.step(float(now), meter)
        if policy == "planned" and now % PLAN_INTERVAL_S == 0:
            _plan(float(now), pool, planner, meter, site)
        elif policy != "planned":
            site.replace_lost(float(now), fixed)
    return site.figures()


def _plan(
    now: float, pool: Pool, planner: PoolPlanner, meter: DemandMeter, site: OrderingSite
) -> None:
    demand = meter.demand(now).pools.get(pool.name, {})
    found = planner.plan(now, pool, demand, (), site.views())
    for wanted in found.orders:
        if site.order(now, wanted):
            planner.backoff.on_capacity(wanted)
        else:
            planner.backoff.on_no_capacity(now, wanted)
    site.release(found.releases)


def _fixed_targets(
    experiment: OrderingExperiment, pool: Pool, policy: str, lower: frozenset[int]
) -> dict[Site, int]:
    """Return sizes for the peak or the mean of the offered load, with no cheap capacity."""
    if policy == "planned":
        return {}
    ordinary = attrs.evolve(pool, cheap=False)
    need = Need(0.0, 0.0)
    for load in experiment.tiers:
        slots = load.peak_slots() if policy == "fixed-peak" else load.mean_slots()
        upper_slots, lower_slots = (0.0, slots) if load.tier in lower else (slots, 0.0)
        need = Need(need.upper + upper_slots, need.lower + lower_slots)
    return choose_targets(ordinary, need, frozenset(), {})


def _start_planned(
    experiment: OrderingExperiment, pool: Pool, site: OrderingSite, lower: frozenset[int]
) -> None:
    """Begin with what the load at the start needs."""
    upper_slots = sum(load.slots_at(0.0) for load in experiment.tiers if load.tier not in lower)
    lower_slots = sum(load.slots_at(0.0) for load in experiment.tiers if load.tier in lower)
    for wanted, count in choose_targets(
        pool, Need(upper_slots, lower_slots), frozenset(), {}
    ).items():
        for _ in range(count):
            site.order(0.0, wanted, at_once=True)

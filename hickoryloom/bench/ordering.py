"""Experiments on ordering servers: the planner against fixed numbers of servers.

Requests arrive by tier and occupy a slot for a random time. Servers start after a delay, are
charged by the hour and may be lost by failure domain, or all cheap ones at once. The planner is
given the demand that `DemandMeter` measures.
"""

from __future__ import annotations

import json
import random
from pathlib import Path
from typing import Any

import attrs
import cattrs

from hickoryloom.bench.pool_simulation import Outage, PoolSimulation, TierLoad
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
    """One experiment on ordering servers.

    Attributes:
        name: Unique name.
        seed: Random seed of arrivals and durations.
        duration_s: Seconds during which requests arrive.
        failure_domains: Failure domains in which servers may be ordered.
        tiers: Offered load by tier.
        outages: Outages.
        slots: Number of requests that a server runs concurrently.
        load_s: Seconds that a server takes to load its model.
        loads_per_minute: Model loads per minute that the weight store allows.
        max_servers: Maximum number of servers.
        price: Price of a regular server per hour.
        cheap_price: Price of a cheap server per hour.
        scale_down_delay_s: Seconds that the planner waits before it releases servers.
        kind: Distinguishes these files from other experiments.
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
        """Return the configuration of the pool."""
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
    """Return whether a file contains an experiment on ordering servers."""
    try:
        decoded = json.loads(path.read_text())
    except (OSError, ValueError):
        return False
    return isinstance(decoded, dict) and decoded.get("kind") == KIND


def read_ordering(path: Path) -> OrderingExperiment:
    """Read an experiment from a JSON file.

    Raises:
        UsageError: The file is not a valid experiment; the message states why.
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
    """Return the figures as a table, with spending relative to the fixed peak size too."""
    peak_spending = report["policies"]["fixed-peak"]["spending"]
    rows = []
    for name, figures in report["policies"].items():
        attainment = " ".join(
            f"{tier}:{fraction:.3f}" for tier, fraction in figures["attainment"].items()
        )
        rows.append(
            (
                name,
                attainment,
                f"{figures['spending']:.2f}",
                f"{figures['spending'] / peak_spending:.2f}",
                f"{figures['cheap_part']:.2f}",
                figures["interrupted_upper"],
                figures["interrupted_lower"],
                figures["orders"],
                f"{figures['longest_load_wait_s']:.0f}",
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
    simulation = PoolSimulation(
        pool,
        experiment.tiers,
        experiment.outages,
        experiment.loads_per_minute,
        random.Random(experiment.seed),
        lower,
    )
    meter = DemandMeter("entry")
    planner = PoolPlanner(random.Random(experiment.seed), experiment.scale_down_delay_s)
    targets = _fixed_targets(experiment, pool, policy, lower)
    for site in targets:
        for _ in range(targets[site]):
            simulation.order(0.0, site, loaded=True)
    if policy == "planned":
        _start_planned(experiment, pool, simulation, lower)
    for now in range(experiment.duration_s):
        simulation.step(float(now), meter)
        if policy == "planned" and now % PLAN_INTERVAL_S == 0:
            _plan(float(now), pool, planner, meter, simulation)
        elif policy != "planned":
            simulation.replace_lost(float(now), targets)
    return simulation.figures()


def _plan(
    now: float, pool: Pool, planner: PoolPlanner, meter: DemandMeter, simulation: PoolSimulation
) -> None:
    demand = meter.demand(now).pools.get(pool.name, {})
    plan = planner.plan(now, pool, demand, (), simulation.views())
    for site in plan.orders:
        if simulation.order(now, site):
            planner.backoff.on_capacity(site)
        else:
            planner.backoff.on_no_capacity(now, site)
    simulation.release(plan.releases)


def _fixed_targets(
    experiment: OrderingExperiment, pool: Pool, policy: str, lower: frozenset[int]
) -> dict[Site, int]:
    """Return the servers for the peak or the mean of the offered load, without cheap capacity."""
    if policy == "planned":
        return {}
    without_cheap = attrs.evolve(pool, cheap=False)
    need = Need(0.0, 0.0)
    for load in experiment.tiers:
        slots = load.peak_slots() if policy == "fixed-peak" else load.mean_slots()
        upper_slots, lower_slots = (0.0, slots) if load.tier in lower else (slots, 0.0)
        need = Need(need.upper + upper_slots, need.lower + lower_slots)
    return choose_targets(without_cheap, need, frozenset(), {})


def _start_planned(
    experiment: OrderingExperiment, pool: Pool, simulation: PoolSimulation, lower: frozenset[int]
) -> None:
    """Start with the servers that the initial load needs."""
    upper_slots = sum(load.slots_at(0.0) for load in experiment.tiers if load.tier not in lower)
    lower_slots = sum(load.slots_at(0.0) for load in experiment.tiers if load.tier in lower)
    for site, count in choose_targets(
        pool, Need(upper_slots, lower_slots), frozenset(), {}
    ).items():
        for _ in range(count):
            simulation.order(0.0, site, loaded=True)

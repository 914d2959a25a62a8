"""JSON reports and text tables of experiments."""

from __future__ import annotations

from typing import Any

from hickoryloom.bench.driver import Driver
from hickoryloom.bench.experiment import Experiment
from hickoryloom.bench.measures import MEASURES, attainment_by_class

__all__ = ["format_table", "run_experiment"]


def run_experiment(experiment: Experiment) -> dict[str, Any]:
    """Run an experiment under each of its policies.

    Returns:
        The name, the seed and, for each policy, the measures and the attainment by class.
    """
    results: dict[str, Any] = {}
    for policy in experiment.policies:
        journal = Driver(experiment, policy).run()
        results[policy] = {
            "classes": attainment_by_class(journal),
            "measures": {name: measure.compute(journal) for name, measure in MEASURES.items()},
        }
    return {"experiment": experiment.name, "seed": experiment.seed, "policies": results}


def format_table(report: dict[str, Any]) -> str:
    """Return the report of one experiment as a table with one row per measure."""
    policies = report["policies"]
    rows = [[report["experiment"], *policies]]
    first = next(iter(policies.values()))
    for name in first["classes"]:
        values = [_format(policy_results["classes"][name]) for policy_results in policies.values()]
        rows.append([f"attainment of {name}", *values])
    for name in first["measures"]:
        values = [_format(policy_results["measures"][name]) for policy_results in policies.values()]
        rows.append([name, *values])
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)


def _format(value: float) -> str:
    return f"{value:.4g}"

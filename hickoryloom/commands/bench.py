"""`hickoryloom bench`."""

from __future__ import annotations

import argparse
import json
from pathlib import Path

import attrs

from hickoryloom.bench import (
    format_ordering,
    format_table,
    is_ordering,
    read_experiment,
    read_ordering,
    run_experiment,
    run_ordering,
)
from hickoryloom.commands.registry import command


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Declare the verb's options."""
    parser.add_argument("experiments", nargs="+", metavar="FILE", help="experiments as JSON")
    parser.add_argument("--policy", action="append", help="compare only these policies")
    parser.add_argument("--seed", type=int, help="use this seed in place of the file's")
    parser.add_argument("--report", metavar="FILE", help="write the figures as JSON")


@command(
    "bench",
    "Compare policies on experiments.",
    "hickoryloom bench bench/experiments/studio.json --report studio-report.json",
    add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Run experiments, print a table for each and write the report."""
    reports = []
    for path in options.experiments:
        if is_ordering(Path(path)):
            reports.append(run_ordering(read_ordering(Path(path))))
            print(format_ordering(reports[-1]), end="\n\n", flush=True)
            continue
        experiment = read_experiment(Path(path))
        if options.policy:
            experiment = attrs.evolve(experiment, policies=tuple(options.policy))
        if options.seed is not None:
            experiment = attrs.evolve(experiment, seed=options.seed)
        reports.append(run_experiment(experiment))
        print(format_table(reports[-1]), end="\n\n", flush=True)
    if options.report:
        Path(options.report).write_text(json.dumps(reports, indent=2) + "\n")

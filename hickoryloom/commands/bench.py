"""The `hickoryloom bench` subcommand."""

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
    """Add the options of the subcommand."""
    parser.add_argument(
        "experiments", nargs="+", metavar="FILE", help="experiment description in JSON"
    )
    parser.add_argument(
        "--policy",
        action="append",
        help="policy to compare; may be repeated (default: all policies of the experiment)",
    )
    parser.add_argument("--seed", type=int, help="random seed, overrides the one in the file")
    parser.add_argument("--report", metavar="FILE", help="file to write the results to, in JSON")


@command(
    "bench",
    "Run simulation experiments and compare policies.",
    "hickoryloom bench bench/experiments/studio.json --report studio-report.json",
    add_arguments,
)
def run(options: argparse.Namespace) -> None:
    """Run the experiments, print a table for each and write the report if requested."""
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

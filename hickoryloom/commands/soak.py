"""The `hickoryloom soak` subcommand."""

from __future__ import annotations

import argparse
import random
import tempfile
from pathlib import Path

from hickoryloom.clock import SystemClock
from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UsageError
from hickoryloom.soak import render_report, run_soak
from hickoryloom.soak.faults import FAULTS, PLANNED_WORK
from hickoryloom.soak.sites import build_site

SEED_LIMIT = 10**9
MAX_INSTANCES = 200
"""Keeps one run within a few hundred processes."""


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seeds", type=int, nargs="*", default=[], help="seeds of the runs")
    parser.add_argument(
        "--fresh", type=int, default=0, help="number of further runs with random seeds"
    )
    parser.add_argument(
        "--seconds", type=float, default=40.0, help="duration of each run in seconds"
    )
    parser.add_argument(
        "--instances", type=int, default=6, help="number of instances, each with one process"
    )
    parser.add_argument(
        "--faults", nargs="*", default=[], help="kinds of faults to inject (default: all)"
    )
    parser.add_argument(
        "--planned",
        action="store_true",
        help="inject only planned work: stops, reloads, settings and configuration changes",
    )
    parser.add_argument(
        "--logs",
        metavar="DIR",
        help="directory in which the settings and logs of the runs are kept",
    )


@command(
    "soak",
    "Run real processes, inject random faults and check the promises from the outside.",
    "hickoryloom soak --fresh 5 --seconds 40",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Run each seed; return 1 if any promise was broken."""
    unknown = sorted(set(options.faults) - set(FAULTS))
    if unknown:
        raise UsageError(f"--faults: unknown faults {unknown}; allowed: {sorted(FAULTS)}")
    if options.planned and options.faults:
        raise UsageError("--planned selects the faults; it can't be used with --faults")
    if not 1 <= options.instances <= MAX_INSTANCES:
        raise UsageError(f"--instances: found {options.instances}; allowed: 1 to {MAX_INSTANCES}")
    if options.seconds < 1:
        raise UsageError(f"--seconds: found {options.seconds:g}; allowed: 1 or more")
    seeds = [*options.seeds, *(random.randrange(SEED_LIMIT) for _ in range(options.fresh))]
    if not seeds:
        raise UsageError("specify seeds with --seeds, or a number of random seeds with --fresh")
    broken = sum(not _run_seed(seed, options) for seed in seeds)
    print(f"{len(seeds)} seeds, {broken} with a broken promise")
    return 1 if broken else 0


def _run_seed(seed: int, options: argparse.Namespace) -> bool:
    """Run one seed and print its report; return whether all promises were kept."""
    with tempfile.TemporaryDirectory(prefix="hickoryloom-soak-") as temporary:
        directory = Path(options.logs, str(seed)) if options.logs else Path(temporary)
        directory.mkdir(parents=True, exist_ok=True)
        report = run_soak(
            seed,
            options.seconds,
            options.instances,
            lambda names: build_site(directory, names),
            SystemClock(),
            PLANNED_WORK if options.planned else tuple(options.faults),
        )
    print(render_report(report), flush=True)
    return not report.broken

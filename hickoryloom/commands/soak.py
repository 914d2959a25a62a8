"""`hickoryloom soak`."""

from __future__ import annotations

import argparse
import random
import tempfile
from pathlib import Path

from hickoryloom.clock import SystemClock
from hickoryloom.commands.registry import command
from hickoryloom.exceptions import UsageError
from hickoryloom.soak import render_report, run_soak
from hickoryloom.soak.faults import FAULTS
from hickoryloom.soak.sites import build_site

LARGEST_SEED = 10**9
MOST_INSTANCES = 200
"""A run keeps within a few hundred processes."""


def _add_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--seeds", type=int, nargs="*", default=[], help="seeds to run")
    parser.add_argument("--fresh", type=int, default=0, help="number of fresh seeds to run")
    parser.add_argument("--seconds", type=float, default=40.0, help="length of each run")
    parser.add_argument("--instances", type=int, default=6, help="processes under test")
    parser.add_argument("--faults", nargs="*", default=[], help="kinds of faults; all by default")
    parser.add_argument("--logs", metavar="DIR", help="where logs of broken runs are kept")


@command(
    "soak",
    "Run real processes under random faults and check the promises from outside.",
    "hickoryloom soak --fresh 5 --seconds 40",
    _add_arguments,
)
def run(options: argparse.Namespace) -> int:
    """Run each seed; exit with 1 when a promise is broken."""
    unknown = sorted(set(options.faults) - set(FAULTS))
    if unknown:
        raise UsageError(f"--faults: {unknown} do not exist; known ones: {sorted(FAULTS)}")
    if not 1 <= options.instances <= MOST_INSTANCES:
        raise UsageError(f"--instances: found {options.instances}; allowed: 1 to {MOST_INSTANCES}")
    if options.seconds < 1:
        raise UsageError(f"--seconds: found {options.seconds:g}; allowed: 1 or more")
    seeds = [*options.seeds, *(random.randrange(LARGEST_SEED) for _ in range(options.fresh))]
    if not seeds:
        raise UsageError("name seeds by --seeds, or a number of fresh ones by --fresh")
    broken = sum(not _run_seed(seed, options) for seed in seeds)
    print(f"{len(seeds)} seeds, {broken} with a broken promise")
    return 1 if broken else 0


def _run_seed(seed: int, options: argparse.Namespace) -> bool:
    """Run one seed and print its report; return whether all promises were kept."""
    with tempfile.TemporaryDirectory(prefix="hickoryloom-soak-") as scratch:
        folder = Path(options.logs, str(seed)) if options.logs else Path(scratch)
        folder.mkdir(parents=True, exist_ok=True)
        report = run_soak(
            seed,
            options.seconds,
            options.instances,
            lambda names: build_site(folder, names),
            SystemClock(),
            tuple(options.faults),
        )
    print(render_report(report), flush=True)
    return not report.broken

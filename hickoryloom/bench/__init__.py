"""Experiments with the production decision logic in simulated time, and benchmarks."""

from hickoryloom.bench.experiment import Experiment, read_experiment
from hickoryloom.bench.ordering import (
    OrderingExperiment,
    format_ordering,
    is_ordering,
    read_ordering,
    run_ordering,
)
from hickoryloom.bench.report import format_table, run_experiment

__all__ = [
    "Experiment",
    "OrderingExperiment",
    "format_ordering",
    "format_table",
    "is_ordering",
    "read_experiment",
    "read_ordering",
    "run_experiment",
    "run_ordering",
]

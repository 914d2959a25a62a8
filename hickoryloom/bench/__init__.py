"""Experiments on the real decision logic: arrivals, answers, reports and words on a clock."""

from hickoryloom.bench.experiment import Experiment, read_experiment
from hickoryloom.bench.report import format_table, run_experiment

__all__ = ["Experiment", "format_table", "read_experiment", "run_experiment"]

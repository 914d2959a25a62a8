"""Metrics: histograms per request class and customer, attainment and refusals."""

from hickoryloom.metrics import histograms, recorder
from hickoryloom.metrics.histograms import *  # noqa: F403
from hickoryloom.metrics.recorder import *  # noqa: F403

__all__ = [*histograms.__all__, *recorder.__all__]

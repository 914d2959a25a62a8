"""Admission: tiers, classes, customers and their limits, shared between entries."""

from hickoryloom.admission.messages import *  # noqa: F403
from hickoryloom.admission.messages import __all__ as __all__

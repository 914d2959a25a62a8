"""Admission: tiers, classes, customers and their limits, shared between entries."""

from hickoryloom.admission import messages
from hickoryloom.admission.messages import *  # noqa: F403
from hickoryloom.admission.state import AdmissionState
from hickoryloom.admission.task import Admission

__all__ = [*messages.__all__, "Admission", "AdmissionState"]

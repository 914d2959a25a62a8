"""Admission control by tier, class and customer limits, coordinated between entries."""

from hickoryloom.admission import messages
from hickoryloom.admission.messages import *  # noqa: F403
from hickoryloom.admission.state import AdmissionState
from hickoryloom.admission.task import Admission

__all__ = [*messages.__all__, "Admission", "AdmissionState"]

"""Decisions that the pure admission state returns to the admission task."""

from __future__ import annotations

import attrs

from hickoryloom.admission.messages import Admitted, Refused
from hickoryloom.admission.queued_request import QueuedRequest

__all__ = ["Decision", "Preempt", "Refuse", "Start"]


@attrs.frozen
class Start:
    """A queued request may start now."""

    queued_request: QueuedRequest
    admitted: Admitted


@attrs.frozen
class Refuse:
    """A queued request is finally refused now."""

    queued_request: QueuedRequest
    refused: Refused


@attrs.frozen
class Preempt:
    """A running request must release its slot to a higher tier."""

    admitted: Admitted


Decision = Start | Refuse | Preempt

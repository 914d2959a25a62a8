"""Decisions that the pure admission state returns to the admission task."""

from __future__ import annotations

import attrs

from hickoryloom.admission.messages import Admitted, Refused
from hickoryloom.admission.queued_request import Waiting

__all__ = ["Decision", "Preempt", "Refuse", "Start"]


@attrs.frozen
class Start:
    """A queued request may start now."""

    waiting: Waiting
    admitted: Admitted


@attrs.frozen
class Refuse:
    """A queued request is finally refused now."""

    waiting: Waiting
    refused: Refused


@attrs.frozen
class Preempt:
    """A running request must release its slot to a higher tier."""

    admitted: Admitted


Decision = Start | Refuse | Preempt

"""Decisions that the pure part of admission hands to its task."""

from __future__ import annotations

import attrs

from hickoryloom.admission.messages import Admitted, Refused
from hickoryloom.admission.waiting import Waiting

__all__ = ["Decision", "Preempt", "Refuse", "Start"]


@attrs.frozen
class Start:
    """A waiting request may start now."""

    waiting: Waiting
    admitted: Admitted


@attrs.frozen
class Refuse:
    """A waiting request gets its final answer now."""

    waiting: Waiting
    refused: Refused


@attrs.frozen
class Preempt:
    """A running request must give its slot to a higher tier."""

    admitted: Admitted


Decision = Start | Refuse | Preempt

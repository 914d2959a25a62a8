"""A group of backend servers that is ordered as one number, and the port to who takes orders."""

from __future__ import annotations

from typing import Protocol

import attrs

from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.http import JsonAnswer

__all__ = ["Group", "ScalingCodec"]


@attrs.frozen(order=True)
class Group:
    """Backend servers of one service, failure domain and kind."""

    service: str
    failure_domain: str
    reclaimable: bool


class ScalingCodec(Protocol):
    """How an order is spelled."""

    def order(self, group: Group, number: int, holder: str, term: int) -> DutyCall:
        """Return the call that sets the number of backend servers of a group."""

    def read(self, answer: JsonAnswer) -> DutyOutcome:
        """Decode the answer."""

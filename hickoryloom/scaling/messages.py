"""Groups of backend servers and the codec for ordering them."""

from __future__ import annotations

from typing import Protocol

import attrs

from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.http import JsonResponse

__all__ = ["Group", "ScalingCodec"]


@attrs.frozen(order=True)
class Group:
    """Backend servers of one service, failure domain and kind, which are ordered by count."""

    service: str
    failure_domain: str
    reclaimable: bool


class ScalingCodec(Protocol):
    """Encodes orders as calls and decodes the responses."""

    def order(self, group: Group, number: int, holder: str, term: int) -> DutyCall:
        """Return the call that sets the number of backend servers in a group."""

    def read(self, response: JsonResponse) -> DutyOutcome:
        """Decode the response to an order."""

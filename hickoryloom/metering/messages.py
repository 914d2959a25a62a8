"""Usage counts of one instance as stored, and the interface for encoding usage reports."""

from __future__ import annotations

from typing import Any, Protocol

import attrs
import cattrs

from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.http import JsonResponse

__all__ = ["InstanceCounts", "ServiceDemand", "UsageCodec", "read_counts"]

Counts = dict[str, int]


@attrs.frozen
class ServiceDemand:
    """Recent demand for a service at one instance.

    Attributes:
        requests_per_s: Requests forwarded per second.
        prompt_tokens_per_s: Prompt tokens that engines had to process without a cache hit, per
            second.
        refused_per_s: Requests refused per second because no backend server was available.
    """

    requests_per_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    refused_per_s: float = 0.0


@attrs.frozen
class InstanceCounts:
    """Counts of one process of an instance.

    Attributes:
        written: Unix time of the write by the instance's clock, in seconds.
        windows: Number of started requests by customer, keyed by the window number as a string.
        demand: Demand by service.
        final: Whether the process has ended gracefully and will write no more.
        address: `host:port` at which the process serves other instances; empty for none.
        failure_domain: Failure domain of the instance.
        token: Secret with which other instances sign the requests that they hand over to the
            process; empty if it takes none.
        journals: Whether the process keeps journals of the origins of its streams.
    """

    written: float
    windows: dict[str, Counts] = attrs.field(factory=dict)
    demand: dict[str, ServiceDemand] = attrs.field(factory=dict)
    final: bool = False
    address: str = ""
    failure_domain: str = ""
    token: str = attrs.field(default="", repr=False)
    journals: bool = False


class UsageCodec(Protocol):
    """Encodes usage reports and decodes the responses."""

    def report(self, window: int, counts: Counts, holder: str, term: int) -> DutyCall:
        """Return the call that reports the number of requests per customer in one window."""

    def read(self, response: JsonResponse) -> DutyOutcome:
        """Decode the response to a report."""


def read_counts(value: Any) -> InstanceCounts | None:
    """Decode the counts of an instance; return None if they are invalid."""
    try:
        return cattrs.structure(value, InstanceCounts)
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError):
        return None

"""Counts of one instance as they stand in the store, and the port to who takes reports."""

from __future__ import annotations

from typing import Any, Protocol

import attrs
import cattrs

from hickoryloom.duties import DutyCall, DutyOutcome
from hickoryloom.http import JsonAnswer

__all__ = ["InstanceCounts", "ServiceDemand", "UsageCodec", "read_counts"]

Counts = dict[str, int]


@attrs.frozen
class ServiceDemand:
    """What callers of one instance ask of a service.

    Attributes:
        requests_per_s: Requests sent on, per second, over the last seconds.
        prompt_tokens_per_s: Tokens that engines had to read anew for them, per second.
        refused_per_s: Requests refused for want of backend servers, per second.
    """

    requests_per_s: float = 0.0
    prompt_tokens_per_s: float = 0.0
    refused_per_s: float = 0.0


@attrs.frozen
class InstanceCounts:
    """What one process of an instance has counted.

    Attributes:
        written: Unix time of the write by the instance's clock, in seconds.
        windows: Requests by customer that began to run, by the window's number as text.
        demand: Demand by service.
    """

    written: float
    windows: dict[str, Counts] = attrs.field(factory=dict)
    demand: dict[str, ServiceDemand] = attrs.field(factory=dict)


class UsageCodec(Protocol):
    """How a usage report is spelled."""

    def report(self, window: int, counts: Counts, holder: str, term: int) -> DutyCall:
        """Return the call that reports the requests of each customer in one window."""

    def read(self, answer: JsonAnswer) -> DutyOutcome:
        """Decode the answer."""


def read_counts(value: Any) -> InstanceCounts | None:
    """Decode the counts of an instance; None when they can't be read."""
    try:
        return cattrs.structure(value, InstanceCounts)
    except (cattrs.BaseValidationError, KeyError, TypeError, ValueError):
        return None

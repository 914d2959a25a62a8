"""The intrinsic speeds of servers, as the instances of a failure domain have learned them together.

This answers the load of a large fleet, in which one instance receives a few responses a minute from
a given server, while its speed shows only after about twenty. Applies to servers that report how
slowly they work, of services whose prompts are spread. This module performs no I/O.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Iterable
from typing import Any

import attrs
from result import Err, Ok, Result

from hickoryloom.placing.speed import MAX_INTRINSIC
from hickoryloom.placing.stated_number import is_finite_number

__all__ = ["SPEED_INTERVAL_S", "LearnedSpeed", "SpeedSamples", "most_certain", "read_speeds"]

SPEED_INTERVAL_S = 10.0
"""Time between two exchanges of an instance with its reader; speeds change with a restart only."""

MAX_AGE_S = 60.0
"""Age up to which the speeds that an instance has learned count: a few exchanges."""

MAX_SPEEDS = 64
"""Speeds in one message, those of most responses first."""

MAX_WEIGHT = 20
"""Responses that count at most for one instance: as many outweigh a wrong start, and one faulty
instance then counts no more than any other with as many."""

MAX_RESPONSES = 1_000_000
MAX_ID_CHARS = 64


@attrs.frozen
class LearnedSpeed:
    """A speed with the evidence for it.

    Attributes:
        id: Id of the server.
        speed: Speed without a slow-down, relative to the usual one of its service.
        responses: Number of responses that it was learned from.
    """

    id: str
    speed: float
    responses: int

    def encode(self) -> list[Any]:
        """Return the JSON value."""
        return [self.id, round(self.speed, 3), self.responses]


def read_speeds(value: Any) -> Result[tuple[LearnedSpeed, ...], str]:
    """Decode the JSON value of a list of speeds; return an error message if any is malformed."""
    if not isinstance(value, list) or len(value) > MAX_SPEEDS:
        return Err("no list of speeds")
    speeds = []
    for item in value:
        if not isinstance(item, list) or len(item) < 3:
            return Err("no speed")
        id, speed, responses = item[:3]
        if not isinstance(id, str) or len(id) > MAX_ID_CHARS:
            return Err("unsound server id")
        if not is_finite_number(speed) or not 1 / MAX_INTRINSIC <= speed <= MAX_INTRINSIC:
            return Err("unsound speed")
        if not is_finite_number(responses) or not 0 <= responses <= MAX_RESPONSES:
            return Err("unsound number of responses")
        speeds.append(LearnedSpeed(id, float(speed), int(responses)))
    return Ok(tuple(speeds))


@attrs.define
class SpeedSamples:
    """The latest speeds that each instance has learned."""

    _samples: dict[str, tuple[float, tuple[LearnedSpeed, ...]]] = attrs.field(factory=dict)

    def record(self, key: str, speeds: Iterable[LearnedSpeed], now: float) -> None:
        """Record the speeds of one instance."""
        self._samples[key] = (now, tuple(speeds))

    def mean(self, now: float) -> list[LearnedSpeed]:
        """Return the geometric means by server, weighted by the number of responses."""
        for key in [key for key, (at, _) in self._samples.items() if now - at > MAX_AGE_S]:
            del self._samples[key]
        sums: dict[str, tuple[float, int]] = {}
        for _, speeds in self._samples.values():
            for learned in speeds:
                weight = min(learned.responses, MAX_WEIGHT)
                log_sum, total = sums.get(learned.id, (0.0, 0))
                log_sum += weight * math.log(learned.speed)
                sums[learned.id] = (log_sum, total + weight)
        return most_certain(
            LearnedSpeed(id, math.exp(log_sum / total), total)
            for id, (log_sum, total) in sums.items()
            if total
        )


def most_certain(speeds: Iterable[LearnedSpeed]) -> list[LearnedSpeed]:
    """Return the speeds that rest on most responses, as many as a message holds."""
    return heapq.nlargest(MAX_SPEEDS, speeds, key=lambda learned: learned.responses)

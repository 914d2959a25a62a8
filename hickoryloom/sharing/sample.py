"""Mean load of the instances that exchange views, as an estimate of that of all instances.

One instance of a large fleet has too few streams in flight to estimate the load of all of them from
its own. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

__all__ = ["StreamSample"]

MAX_AGE_S = 3.0
"""Age up to which an instance's figures count: a few polls."""


@attrs.define
class StreamSample:
    """The latest numbers of streams of each instance, by service."""

    _streams: dict[str, tuple[float, Mapping[str, float]]] = attrs.field(factory=dict)

    def record(self, key: str, streams: Mapping[str, float], now: float) -> None:
        """Record the figures of one instance."""
        self._streams[key] = (now, streams)

    def mean(self, now: float) -> dict[str, float]:
        """Return the mean number of streams of an instance, by service."""
        for key in [key for key, (at, _) in self._streams.items() if now - at > MAX_AGE_S]:
            del self._streams[key]
        total: dict[str, float] = {}
        for _, streams in self._streams.values():
            for service, number in streams.items():
                total[service] = total.get(service, 0.0) + number
        return {service: round(sum_ / len(self._streams), 3) for service, sum_ in total.items()}

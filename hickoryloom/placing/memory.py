"""The memory of model engines, in tokens.

This answers the load of long prompts on engines with many slots: what they hold exceeds their
memory long before the slots are used up, and an engine without memory preempts requests and
processes their prompts again. Applies to services whose configuration states the memory of an
engine. This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

import logbook

from hickoryloom.logs import log_event
from hickoryloom.placing.messages import PlacementRequest
from hickoryloom.placing.tracked import TrackedServer

__all__ = ["EngineMemory"]

REPORT_HALF_LIFE_S = 2.0
"""Half-life of a reported number of requests, which hold memory for 1 to 2 s. With 0.3 s, prompts
went to full engines 1.7 times as often: an engine that gets none doesn't report either."""

SAME_FILL = 0.1
"""Difference up to which engines count as equally full when no engine has room."""

LOG_INTERVAL_S = 1.0
"""Least time between two log lines on the lack of memory of a service."""

log = logbook.Logger("hickoryloom.placing")


class EngineMemory:
    """Selects the engines whose memory has room for a request.

    Attributes:
        without_room: Number of requests that no engine had room for when they were placed.
        too_large: Number of requests larger than the memory of any engine.
    """

    def __init__(self) -> None:
        self.without_room = 0
        self.too_large = 0
        self._limits: dict[str, int] = {}
        self._logged_at: dict[str, float] = {}

    def set_limits(self, limits: Mapping[str, int]) -> None:
        """Set the memory of one engine in tokens, by service; 0 if it is not stated."""
        self._limits = {service: limit for service, limit in limits.items() if limit > 0}

    def is_too_large(self, request: PlacementRequest) -> bool:
        """Return whether a request never fits in an engine."""
        limit = self._limits.get(request.service)
        return limit is not None and request.memory_tokens > limit

    def record_too_large(self, request: PlacementRequest) -> None:
        """Count and log a request that is refused since it never fits in an engine."""
        self.too_large += 1
        log_event(
            log,
            "request-too-large",
            service=request.service,
            tokens=request.memory_tokens,
            memory_tokens=self._limits.get(request.service),
        )

    def with_room(
        self, candidates: list[TrackedServer], request: PlacementRequest, now: float
    ) -> list[TrackedServer]:
        """Return the engines with room for a request; if there are none, the least full ones.

        Args:
            candidates: Engines of the service of the request.
            request: The request.
            now: Monotonic time in seconds.
        """
        limit = self._limits.get(request.service)
        if limit is None:
            return candidates
        fills = [
            (_estimate_tokens(tracked, now) + request.memory_tokens) / limit
            for tracked in candidates
        ]
        least = min(fills)
        if least > 1.0:
            self._record_without_room(request, least, now)
        bound = least + SAME_FILL if least > 1.0 else 1.0
        return [tracked for tracked, fill in zip(candidates, fills, strict=True) if fill <= bound]

    def _record_without_room(self, request: PlacementRequest, fill: float, now: float) -> None:
        self.without_room += 1
        if now - self._logged_at.get(request.service, float("-inf")) >= LOG_INTERVAL_S:
            self._logged_at[request.service] = now
            log_event(
                log,
                "engine-memory-full",
                service=request.service,
                tokens=request.memory_tokens,
                fill=round(fill, 2),
                count=self.without_room,
            )


def _estimate_tokens(tracked: TrackedServer, now: float) -> float:
    """Return the tokens that an engine holds, of all instances.

    Requests of other instances are known by number, from its latest report. They count with the
    mean size of those that this instance has sent to the engine: engines reserved for short prompts
    hold small ones at all instances.
    """
    others = tracked.requests_of_others(now, REPORT_HALF_LIFE_S)
    return tracked.held_tokens + others * tracked.mean_tokens

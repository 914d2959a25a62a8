"""Which engines are kept free of long prompts; pure.

The load: short prompts whose streams must not pause beside prompts so long that reading them takes
many steps, in each of which every running stream of the engine waits. Spread over all engines, a
few long prompts a second make most streams pause too long. So a few engines, the same ones at every
instance, are kept for the streams: as many as their number needs, and never more than half.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b

import attrs

__all__ = ["LONG_PROMPT_TOKENS", "QuietEngines", "rank"]

LONG_PROMPT_TOKENS = 2_048
"""Engines read about so many tokens in a step; a longer prompt holds up streams for several."""

FILL = 0.8
"""Part of an engine's slots that streams may take before another engine is kept for them."""

MEMORY_S = 4.0
"""Time over which the number of streams is averaged: two mean streams."""

FEWEST_TO_DIVIDE = 3
"""With fewer engines, keeping one free costs more than the pauses."""


@attrs.define
class QuietEngines:
    """Follows the number of short requests in flight, and names the engines kept for them.

    Attributes:
        instances: Instances that send alike; their number scales own requests up to all.
    """

    instances: int = 1
    _short: int = 0
    _long: int = 0
    _level: float = 0.0
    _updated: float | None = None

    def started(self, short: bool, now: float) -> None:
        """Count a request that is sent."""
        self._refresh(now)
        if short:
            self._short += 1
        else:
            self._long += 1

    def finished(self, short: bool, now: float) -> None:
        """Count a request that has ended."""
        self._refresh(now)
        if short:
            self._short = max(0, self._short - 1)

    def names(self, engines: Iterable[tuple[str, int]], now: float) -> frozenset[str]:
        """Return the ids of the engines that are kept for short requests.

        Args:
            engines: Id and slots of each usable engine.
            now: Monotonic time in seconds.
        """
        self._refresh(now)
        ranked = sorted(engines, key=lambda engine: rank("quiet", engine[0]), reverse=True)
        if len(ranked) < FEWEST_TO_DIVIDE or not self._long:
            return frozenset()
        slots = max(1, ranked[0][1])
        needed = math.ceil(self._level * self.instances / (FILL * slots))
        number = min(max(1, needed), len(ranked) // 2)
        return frozenset(id for id, _ in ranked[:number])

    def _refresh(self, now: float) -> None:
        if self._updated is not None:
            kept = math.exp((self._updated - now) / MEMORY_S)
            self._level = kept * self._level + (1 - kept) * self._short
        self._updated = now


def rank(key: str, id: str) -> bytes:
    """Return the rank of a backend server for a key, by rendezvous hashing."""
    return blake2b(f"{key}\n{id}".encode(), digest_size=8).digest()

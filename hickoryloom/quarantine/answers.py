"""Which parts of prompts servers have answered lately, from the first answer on.

A part that crashes servers is never answered, so answers outweigh ends of servers. A part that many
prompts contain is answered often; if answers were only counted after an end, a burst of ends would
make it suspect before the next answer is known.

This module performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict

import attrs

__all__ = ["PartAnswers"]

MAX_PARTS = 2_000
"""Parts whose answers are counted; those answered longest ago are forgotten."""

COMMON_ANSWERS = 8
"""Answers of one instance to a part from which on the others are told of it without an end. Parts
of single sessions have fewer, so only a few records of each service are added."""

TELL_S = 60.0
"""Interval at which the others are told of a common part: half of the time for which it counts."""


@attrs.define
class _Answers:
    count: int = 0
    last_at: float = float("-inf")
    told_at: float = float("-inf")


class PartAnswers:
    """The answers that this instance got to prompts with each part.

    Args:
        lifetime_s: Seconds after the last answer for which the answers to a part count.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._parts: OrderedDict[str, _Answers] = OrderedDict()

    def __len__(self) -> int:
        return len(self._parts)

    def add(self, part: str, now: float) -> bool:
        """Record an answer; return whether the other instances are to be told of it."""
        known = self._parts.setdefault(part, _Answers())
        self._parts.move_to_end(part)
        if now - known.last_at >= self._lifetime_s:
            known.count = 0
        known.count += 1
        known.last_at = now
        if len(self._parts) > MAX_PARTS:
            self._parts.popitem(last=False)
        if known.count < COMMON_ANSWERS or now - known.told_at < TELL_S:
            return False
        known.told_at = now
        return True

    def last_to(self, part: str, now: float) -> float | None:
        """Return the time of the last answer to a part, in seconds; None if it doesn't count."""
        known = self._parts.get(part)
        if known is None or now - known.last_at >= self._lifetime_s:
            return None
        return known.last_at

    def last(self, now: float) -> dict[str, float]:
        """Return the time of the last answer to each part that counts, in monotonic seconds."""
        return {
            part: known.last_at
            for part, known in self._parts.items()
            if now - known.last_at < self._lifetime_s
        }

"""An estimate of how fast model engines read prompts, from what was seen; pure."""

from __future__ import annotations

import attrs

__all__ = ["PrefillRate"]

FIRST_TOKENS_PER_S = 40_000.0
"""Until it is measured: the order of a current data-centre engine with a large sparse model."""

LEARNING_PART = 0.05
"""Weight of one observation; twenty of them outweigh the first guess."""

MIN_OBSERVED_TOKENS = 1_500
"""Shorter reads tell more of the fixed costs of a step than of the rate."""

LOWEST_TOKENS_PER_S = 2_000.0
HIGHEST_TOKENS_PER_S = 1_000_000.0


@attrs.define
class PrefillRate:
    """Tokens that an engine reads in a second."""

    _tokens_per_s: float = FIRST_TOKENS_PER_S

    @property
    def tokens_per_s(self) -> float:
        """The estimate."""
        return self._tokens_per_s

    def seconds(self, tokens: int) -> float:
        """Return the seconds that reading takes."""
        return tokens / self._tokens_per_s

    def observe(self, tokens: int, seconds: float) -> None:
        """Take in that an otherwise idle engine gave its first token after `seconds`."""
        if tokens < MIN_OBSERVED_TOKENS or seconds <= 0:
            return
        rate = min(max(tokens / seconds, LOWEST_TOKENS_PER_S), HIGHEST_TOKENS_PER_S)
        self._tokens_per_s += LEARNING_PART * (rate - self._tokens_per_s)

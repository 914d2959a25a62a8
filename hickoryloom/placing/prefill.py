"""Estimate of the prefill rate of model engines from observed times to the first token."""

from __future__ import annotations

import attrs

__all__ = ["PrefillRate"]

INITIAL_TOKENS_PER_S = 40_000.0
"""Initial estimate: the order of magnitude of a current data-centre engine with a large sparse
model."""

SMOOTHING = 0.05
"""Weight of one observation; after about 20 observations they outweigh the initial estimate."""

MIN_OBSERVED_TOKENS = 1_500
"""Shorter prefills are ignored: they reflect the fixed costs of a step rather than the rate."""

MIN_TOKENS_PER_S = 2_000.0
MAX_TOKENS_PER_S = 1_000_000.0


@attrs.define
class PrefillRate:
    """Estimated number of prompt tokens that an engine processes per second."""

    _tokens_per_s: float = INITIAL_TOKENS_PER_S

    @property
    def tokens_per_s(self) -> float:
        """The current estimate."""
        return self._tokens_per_s

    def seconds(self, tokens: int) -> float:
        """Return the estimated prefill time of `tokens` in seconds."""
        return tokens / self._tokens_per_s

    def observe(self, tokens: int, seconds: float) -> None:
        """Update the estimate with one prefill at an engine that had no other prompt to process.

        Args:
            tokens: Prompt tokens that were not cached.
            seconds: Time to the first token.
        """
        if tokens < MIN_OBSERVED_TOKENS or seconds <= 0:
            return
        rate = min(max(tokens / seconds, MIN_TOKENS_PER_S), MAX_TOKENS_PER_S)
        self._tokens_per_s += SMOOTHING * (rate - self._tokens_per_s)

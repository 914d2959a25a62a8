"""Pool-wide load and timing averages, the baseline for each backend server of the pool."""

from __future__ import annotations

import attrs

from hickoryloom.routing.messages import AttemptOutcome

__all__ = ["PoolLoad", "unit_seconds"]

EWMA_WEIGHT = 0.05
DEFAULT_SERVICE_S = 2.0
DEFAULT_FIRST_TOKEN_S = 0.1


@attrs.define(eq=False)
class PoolLoad:
    """Load on one pool and the average timing of its attempts.

    Attributes:
        service_s: Average duration of an attempt, in seconds.
        first_token_s: Average time to first token, in seconds.
        unit_s: Average time per token, or per attempt for attempts without tokens, in seconds;
            0 before the first measurement.
        own_in_flight: Attempts of this process in flight.
    """

    service_s: float = DEFAULT_SERVICE_S
    first_token_s: float = DEFAULT_FIRST_TOKEN_S
    unit_s: float = 0.0
    own_in_flight: int = 0
    _other_load_sum: float = 0.0
    _reported_backends: int = 0

    @property
    def mean_other_load(self) -> float:
        """Mean load per backend server caused by other entry processes."""
        return self._other_load_sum / self._reported_backends if self._reported_backends else 0.0

    def update_other_load(self, old: float | None, new: float | None) -> None:
        """Replace one backend server's load in the mean; None stands for an unknown load."""
        self._other_load_sum += (new or 0.0) - (old or 0.0)
        self._reported_backends += (new is not None) - (old is not None)

    def record_first_token(self, seconds: float) -> None:
        """Add a time to first token to the average."""
        self.first_token_s += EWMA_WEIGHT * (seconds - self.first_token_s)

    def record_attempt(self, outcome: AttemptOutcome) -> None:
        """Add the timing of a finished attempt to the averages."""
        seconds = outcome.finished - outcome.started
        self.service_s += EWMA_WEIGHT * (seconds - self.service_s)
        unit_s = unit_seconds(outcome)
        if unit_s is not None:
            self.unit_s += (EWMA_WEIGHT if self.unit_s else 1.0) * (unit_s - self.unit_s)


def unit_seconds(outcome: AttemptOutcome) -> float | None:
    """Return the time per token of a finished attempt, or its duration if it had no tokens.

    Returns None for a single token, which has no interval to measure.
    """
    if outcome.tokens == 0 or outcome.first_token_at is None:
        return outcome.finished - outcome.started
    if outcome.tokens == 1:
        return None
    return (outcome.finished - outcome.first_token_at) / (outcome.tokens - 1)

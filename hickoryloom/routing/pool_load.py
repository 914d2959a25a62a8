"""What a router learns of a pool as a whole, to compare its backend servers with."""

from __future__ import annotations

import attrs

from hickoryloom.routing.messages import AttemptOutcome

__all__ = ["PoolLoad", "unit_seconds"]

AVERAGE_WEIGHT = 0.05
DEFAULT_SERVICE_S = 2.0
DEFAULT_FIRST_TOKEN_S = 0.1


@attrs.define(eq=False)
class PoolLoad:
    """Load that other entries put on one pool, and the pool's usual times.

    Attributes:
        service_s: Average seconds of an attempt.
        first_token_s: Average seconds to a first token.
        unit_s: Average seconds of one token, or of a whole attempt without tokens.
        own: Own attempts that run now.
    """

    service_s: float = DEFAULT_SERVICE_S
    first_token_s: float = DEFAULT_FIRST_TOKEN_S
    unit_s: float = 0.0
    own: int = 0
    _sum: float = 0.0
    _count: int = 0

    @property
    def mean(self) -> float:
        """Mean load of a backend server by others."""
        return self._sum / self._count if self._count else 0.0

    def replace(self, old: float | None, new: float | None) -> None:
        """Take one backend server's changed load; None for a load not known."""
        self._sum += (new or 0.0) - (old or 0.0)
        self._count += (new is not None) - (old is not None)

    def learn_first_token(self, seconds: float) -> None:
        """Take the time to a first token."""
        self.first_token_s += AVERAGE_WEIGHT * (seconds - self.first_token_s)

    def learn_attempt(self, outcome: AttemptOutcome) -> None:
        """Take the times of a finished attempt."""
        seconds = outcome.finished - outcome.started
        self.service_s += AVERAGE_WEIGHT * (seconds - self.service_s)
        unit_s = unit_seconds(outcome)
        if unit_s is not None:
            self.unit_s += (AVERAGE_WEIGHT if self.unit_s else 1.0) * (unit_s - self.unit_s)


def unit_seconds(outcome: AttemptOutcome) -> float | None:
    """Return the seconds of one token of a finished attempt, or of all of it without tokens.

    None when a single token tells nothing.
    """
    if outcome.tokens == 0 or outcome.first_token_at is None:
        return outcome.finished - outcome.started
    if outcome.tokens == 1:
        return None
    return (outcome.finished - outcome.first_token_at) / (outcome.tokens - 1)

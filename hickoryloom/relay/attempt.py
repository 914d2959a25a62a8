"""One attempt at a backend server, from the choice to its end."""

from __future__ import annotations

import attrs

from hickoryloom.relay.stall import SilenceJudge
from hickoryloom.routing.messages import Choice
from hickoryloom.upstream import Exchange

__all__ = ["Attempt", "attempt_id"]


@attrs.define(eq=False)
class Attempt:
    """One attempt.

    Attributes:
        id: Id that the backend server gets.
        choice: The backend server and why.
        started: Monotonic time of the start, in seconds.
        exchange: The connection, None while there is none.
        first_token_at: Monotonic time of the first bytes of the body, in seconds.
        first_position: Position at which its stream begins.
        tokens: Tokens received.
        silence: Judges its connection when it goes silent.
        cancelling: Whether its cancel is on its way to the engine.
    """

    id: str
    choice: Choice
    started: float
    exchange: Exchange | None = None
    first_token_at: float | None = None
    first_position: int = 0
    tokens: int = 0
    silence: SilenceJudge = attrs.field(factory=SilenceJudge)
    cancelling: bool = False

    @property
    def next_position(self) -> int:
        """Position of the next event that it is expected to bring."""
        return self.first_position + self.tokens

    @property
    def wrote(self) -> bool:
        """Whether a byte of the request may have left."""
        return self.exchange is not None and self.exchange.wrote


def attempt_id(request_id: str, number: int) -> str:
    """Return the id of the attempt with `number`, counted from 1.

    Each attempt has its own, so that a late cancel of one can't stop the next.
    """
    return request_id if number == 1 else f"{request_id}~{number}"

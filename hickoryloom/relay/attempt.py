"""State of one attempt at a backend server."""

from __future__ import annotations

import attrs

from hickoryloom.relay.stall import StallDetector
from hickoryloom.routing.messages import Choice
from hickoryloom.upstream import Exchange

__all__ = ["Attempt", "attempt_id"]


@attrs.define(eq=False)
class Attempt:
    """One attempt to get a response from a backend server.

    Attributes:
        id: Request id sent to the backend server.
        choice: The chosen backend server and the reason for the choice.
        started: Monotonic time of the start, in seconds.
        exchange: The HTTP exchange; None before a connection is open.
        first_token_at: Monotonic time of the first bytes of the body, in seconds.
        first_position: Event position at which its stream starts.
        tokens: Tokens received.
        prompt_answered: Whether the response has gone on for long enough to show that no part of
            the prompt crashes the server.
        answered: Whether it has done so for long enough to show that the request does not.
        stall_detector: Evaluates status probes while the connection is silent.
        cancelling: Whether a cancel has been scheduled for the engine.
    """

    id: str
    choice: Choice
    started: float
    exchange: Exchange | None = None
    first_token_at: float | None = None
    first_position: int = 0
    tokens: int = 0
    prompt_answered: bool = False
    answered: bool = False
    stall_detector: StallDetector = attrs.field(factory=StallDetector)
    cancelling: bool = False

    @property
    def next_position(self) -> int:
        """Position of the next expected event."""
        return self.first_position + self.tokens

    @property
    def bytes_sent(self) -> bool:
        """Whether any byte of the request may have been sent."""
        return self.exchange is not None and self.exchange.bytes_sent


def attempt_id(request_id: str, number: int) -> str:
    """Return the id of the attempt with `number`, counted from 1.

    Ids differ between attempts, so that a delayed cancel of one cannot stop the next.
    """
    return request_id if number == 1 else f"{request_id}~{number}"

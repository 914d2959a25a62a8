"""Messages of the relay: the outcome of a request."""

from __future__ import annotations

import attrs

from hickoryloom.verdict import Verdict

__all__ = ["Outcome"]


@attrs.frozen
class Outcome:
    """How a request ended.

    Attributes:
        verdict: Whether a backend server ran it.
        complete: Whether the caller received the complete response.
        backend_id: Backend server of the last attempt; empty if there was none.
        prompt_tokens: Tokens of the prompt, as counted by the engine.
        output_tokens: Tokens delivered to the caller.
        wasted_tokens: Tokens that engines generated but that were not delivered to the caller.
        first_token_at: Monotonic time of the first token, in seconds; None if there was none.
        finished_at: Monotonic time of the end, in seconds.
        worst_gap_s: Longest time between two consecutive tokens, in seconds.
        attempts: Attempts at backend servers.
        resumed: Attempts that resumed a partially delivered response.
    """

    verdict: Verdict
    complete: bool
    backend_id: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    wasted_tokens: int = 0
    first_token_at: float | None = None
    finished_at: float = 0.0
    worst_gap_s: float = 0.0
    attempts: int = 0
    resumed: int = 0

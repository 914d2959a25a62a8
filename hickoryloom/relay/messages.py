"""Messages of the relay: attempts at backend servers and their outcome."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.verdict import Verdict

__all__ = ["AttemptFailed", "FailureCause", "Outcome"]


class FailureCause(enum.Enum):
    """Why an attempt at a backend server failed."""

    CONNECT = "connect"
    CUT = "cut"
    SILENT = "silent"
    NOT_RUN = "not-run"
    STATUS = "status"
    CROSSED = "crossed"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"


@attrs.frozen
class AttemptFailed:
    """A failed attempt, and whether the backend server may have run it."""

    cause: FailureCause
    verdict: Verdict
    detail: str = ""


@attrs.frozen
class Outcome:
    """How a request ended.

    Attributes:
        verdict: Whether a backend server ran it.
        whole: Whether the caller got the whole answer.
        backend_id: Backend server of the last attempt; empty for none.
        prompt_tokens: Tokens of the prompt, as the engine counted them.
        output_tokens: Tokens delivered to the caller.
        wasted_tokens: Tokens that engines produced and no caller received.
        first_token_at: Monotonic time of the first token, in seconds; None without one.
        finished_at: Monotonic time of the end, in seconds.
        worst_gap_s: Longest time between two tokens, in seconds.
        attempts: Attempts at backend servers.
        resumed: Attempts that continued an answer already begun.
    """

    verdict: Verdict
    whole: bool
    backend_id: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    wasted_tokens: int = 0
    first_token_at: float | None = None
    finished_at: float = 0.0
    worst_gap_s: float = 0.0
    attempts: int = 0
    resumed: int = 0

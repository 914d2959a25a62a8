"""Final answers to requests that no backend server answered; pure."""

from __future__ import annotations

import random

from hickoryloom.gateway.messages import Refusal
from hickoryloom.verdict import Verdict

__all__ = ["refuse"]

FIRST_RETURN_S = 0.3
"""Soonest return: a pause of a crashed backend server or a full queue lasts about as long."""

SPREAD_RETURN_S = 0.7
"""Returns are spread over this time, so that refused callers don't come back together."""

LARGEST_PART = 0.3
"""Callers heed a return within a third of the time that they have left."""

NOT_RUN_STATUS = 503
FAILED_STATUS = 502
TIMEOUT_STATUS = 504


def refuse(
    status: int,
    reason: str,
    verdict: Verdict,
    left_s: float = 0.0,
    rng: random.Random | None = None,
) -> Refusal:
    """Return the final answer that is true for a verdict.

    Args:
        status: HTTP status; 0 for the one that goes with the verdict.
        reason: Short name of the cause.
        verdict: Whether a backend server may have run the request.
        left_s: Seconds for which the caller goes on waiting.
        rng: Source of random numbers that spreads returns.
    """
    if status:
        return Refusal(status, reason, verdict)
    if verdict is not Verdict.NOT_RUN:
        timeout = reason == "timeout"
        return Refusal(TIMEOUT_STATUS if timeout else FAILED_STATUS, reason, verdict)
    draw = rng.random() if rng is not None else 0.5
    retry_s = min(FIRST_RETURN_S + SPREAD_RETURN_S * draw, max(0.0, LARGEST_PART * left_s))
    return Refusal(NOT_RUN_STATUS, reason, verdict, retry_s)

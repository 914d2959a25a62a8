"""Builds the error responses for requests that no backend server answered. Performs no I/O."""

from __future__ import annotations

import random

from hickoryloom.gateway.messages import Refusal
from hickoryloom.gateway.progress import STOPPING
from hickoryloom.verdict import Verdict

__all__ = ["refuse"]

MIN_RETRY_AFTER_S = 0.3
"""Shortest `Retry-After`, about as long as a crashed backend server or a full queue takes to
recover."""

RETRY_AFTER_JITTER_S = 0.7
"""Random delay added to `Retry-After`, so that refused callers don't retry simultaneously."""

MAX_RETRY_AFTER_FRACTION = 0.3
"""Largest `Retry-After` as a fraction of the caller's remaining time. Callers honour the header
up to a third of that time."""

NOT_RUN_STATUS = 503
FAILED_STATUS = 502
TIMEOUT_STATUS = 504


def refuse(
    status: int,
    reason: str,
    verdict: Verdict,
    left_s: float = 0.0,
    rng: random.Random | None = None,
    wait_s: float = 0.0,
) -> Refusal:
    """Return the refusal that matches a verdict.

    Args:
        status: HTTP status; 0 to derive it from the verdict.
        reason: Short name of the cause.
        verdict: Whether a backend server may have run the request.
        left_s: Remaining time of the caller, in seconds.
        rng: Random number generator for the `Retry-After` jitter.
        wait_s: Seconds before which a further request is pointless.
    """
    if status:
        return Refusal(status, reason, verdict)
    if verdict is not Verdict.NOT_RUN:
        timeout = reason == "timeout"
        return Refusal(TIMEOUT_STATUS if timeout else FAILED_STATUS, reason, verdict)
    if reason == STOPPING:
        # The load balancer leads the caller to another instance, which can serve it at once.
        return Refusal(NOT_RUN_STATUS, reason, verdict, 0.0)
    draw = rng.random() if rng is not None else 0.5
    retry_s = min(
        max(MIN_RETRY_AFTER_S, wait_s) + RETRY_AFTER_JITTER_S * draw,
        max(0.0, MAX_RETRY_AFTER_FRACTION * left_s),
    )
    return Refusal(NOT_RUN_STATUS, reason, verdict, retry_s)

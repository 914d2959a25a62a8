"""Construction of refusals, with the explanation and the retry time for the caller."""

from __future__ import annotations

import random

from hickoryloom.admission.messages import RefusalReason, Refused
from hickoryloom.verdict import Verdict

__all__ = ["TIER_ORDERED_REASONS", "build_refusal"]

MIN_RETRY_S = 0.5
MAX_RETRY_S = 60.0
RETRY_JITTER = 0.25

DETAILS = {
    RefusalReason.OVERLOAD: "too many requests wait",
    RefusalReason.EXPECTED_LATE: "the request would miss its target",
    RefusalReason.CUSTOMER_LIMIT: "the customer's limit is used up",
    RefusalReason.NO_BACKEND: "no backend server is known",
}
TIER_ORDERED_REASONS = frozenset(
    (RefusalReason.OVERLOAD, RefusalReason.EXPECTED_LATE, RefusalReason.NO_BACKEND)
)


def build_refusal(reason: RefusalReason, wait_s: float, rng: random.Random) -> Refused:
    """Return the refusal of a request that was not run.

    Args:
        reason: Reason for the refusal.
        wait_s: Estimated time in seconds after which a retry would be served.
        rng: Source of jitter, so that refused callers do not all retry at the same time.
    """
    bounded = min(max(wait_s, MIN_RETRY_S), MAX_RETRY_S)
    retry_s = bounded * (1.0 + RETRY_JITTER * rng.random())
    return Refused(reason, Verdict.NOT_RUN, retry_s, DETAILS[reason])

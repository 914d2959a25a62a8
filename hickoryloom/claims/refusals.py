"""Refusals of calls that can't be claimed."""

from __future__ import annotations

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.verdict import Verdict

__all__ = [
    "refuse_already_run",
    "refuse_in_progress",
    "refuse_key_reused",
    "refuse_outcome_unknown",
    "refuse_platform_unavailable",
]

IN_PROGRESS_RETRY_S = 1.0
PLATFORM_RETRY_S = 2.0


def refuse_in_progress(retry_after_s: float = IN_PROGRESS_RETRY_S) -> Refused:
    """Refuse because another request is making the same call."""
    return Refused(
        RefusalReason.IN_PROGRESS,
        Verdict.MAY_HAVE_RUN,
        retry_after_s,
        "The same call is in progress; repeat it with the same Idempotency-Key.",
    )


def refuse_outcome_unknown(
    detail: str = "The call was sent and its outcome is not known.",
) -> Refused:
    """Refuse because it can no longer be determined whether the call ran."""
    return Refused(RefusalReason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, 0.0, detail)


def refuse_already_run() -> Refused:
    """Refuse because the call ran and its response was not stored."""
    detail = "The call ran; its answer was too large to be kept."
    return Refused(RefusalReason.ALREADY_RUN, Verdict.RAN, 0.0, detail)


def refuse_key_reused() -> Refused:
    """Refuse because the idempotency key was used for another call."""
    detail = "The Idempotency-Key was used for another call."
    return Refused(RefusalReason.KEY_REUSED, Verdict.NOT_RUN, 0.0, detail)


def refuse_platform_unavailable(
    retry_after_s: float = 0.0, verdict: Verdict = Verdict.NOT_RUN
) -> Refused:
    """Refuse because the platform does not answer, or the process has used up its call budget.

    Args:
        retry_after_s: Minimum wait in seconds given by the platform client.
        verdict: `MAY_HAVE_RUN` when another request is known to have used the key.
    """
    return Refused(
        RefusalReason.PLATFORM_UNAVAILABLE,
        verdict,
        max(PLATFORM_RETRY_S, retry_after_s),
        "This request was not sent; repeat it with the same Idempotency-Key.",
    )

"""Answers to calls that can't be claimed."""

from __future__ import annotations

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.verdict import Verdict

__all__ = [
    "refuse_already_run",
    "refuse_in_progress",
    "refuse_reused_key",
    "refuse_unknown",
    "refuse_without_platform",
]

IN_PROGRESS_RETRY_S = 1.0
PLATFORM_RETRY_S = 2.0


def refuse_in_progress(retry_after_s: float = IN_PROGRESS_RETRY_S) -> Refused:
    """Refuse because another request makes the same call."""
    return Refused(
        RefusalReason.IN_PROGRESS,
        Verdict.MAY_HAVE_RUN,
        retry_after_s,
        "The same call is in progress; repeat it with the same Idempotency-Key.",
    )


def refuse_unknown(detail: str = "The call was sent and its outcome is not known.") -> Refused:
    """Refuse because nobody can tell any more whether the call ran."""
    return Refused(RefusalReason.OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, 0.0, detail)


def refuse_already_run() -> Refused:
    """Refuse because the call ran and its answer is not kept."""
    detail = "The call ran; its answer was too large to be kept."
    return Refused(RefusalReason.ALREADY_RUN, Verdict.RAN, 0.0, detail)


def refuse_reused_key() -> Refused:
    """Refuse because the key belongs to another call."""
    detail = "The Idempotency-Key was used for another call."
    return Refused(RefusalReason.KEY_REUSED, Verdict.NOT_RUN, 0.0, detail)


def refuse_without_platform(
    retry_after_s: float = 0.0, verdict: Verdict = Verdict.NOT_RUN
) -> Refused:
    """Refuse because the platform does not answer, or takes no more calls of this process.

    Args:
        retry_after_s: Seconds that the platform client says to wait.
        verdict: `MAY_HAVE_RUN` when another request is known to have used the key.
    """
    return Refused(
        RefusalReason.PLATFORM_UNAVAILABLE,
        verdict,
        max(PLATFORM_RETRY_S, retry_after_s),
        "This request was not sent; repeat it with the same Idempotency-Key.",
    )

"""Failures of attempts at backend servers."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.verdict import Verdict

__all__ = ["AttemptFailed", "FailureCause"]


class FailureCause(enum.Enum):
    """Cause of a failed attempt."""

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
    """A failed attempt, with the verdict on whether the backend server may have run the request."""

    cause: FailureCause
    verdict: Verdict
    detail: str = ""

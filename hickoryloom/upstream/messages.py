"""How an attempt at a backend server fails."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.verdict import Verdict

__all__ = ["AttemptFailed", "FailureCause"]


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

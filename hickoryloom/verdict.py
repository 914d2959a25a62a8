"""Whether a request, or a write to the platform, may have taken effect."""

from __future__ import annotations

import enum

__all__ = ["Applied", "Verdict"]


class Verdict(enum.Enum):
    """Whether a backend server may have run a request.

    Only three places may produce ``NOT_RUN``: before any byte of the request was written to a
    backend server, a refused connection, and the backend server's explicit not-run answer.
    A timeout is never ``NOT_RUN``.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Applied(enum.Enum):
    """Whether the platform applied a write."""

    APPLIED = "applied"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"

"""Whether a request or a write to the platform may have taken effect."""

from __future__ import annotations

import enum

__all__ = ["Applied", "Verdict"]


class Verdict(enum.Enum):
    """Whether a backend server may have run a request.

    ``NOT_RUN`` may only be used in three cases: no byte of the request was written to a backend
    server, the connection was refused, or the backend server explicitly responded that it did not
    run the request. A timeout is never ``NOT_RUN``.
    """

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Applied(enum.Enum):
    """Whether the platform applied a write."""

    APPLIED = "applied"
    NOT_APPLIED = "not-applied"
    UNKNOWN = "unknown"

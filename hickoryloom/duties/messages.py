"""Data types of a duty's HTTP calls and their outcomes."""

from __future__ import annotations

import enum
from typing import Any

import attrs

__all__ = ["DutyCall", "DutyOutcome"]


@attrs.frozen
class DutyCall:
    """An HTTP `POST` request made on behalf of a duty.

    Attributes:
        path: Path of the request.
        body: JSON body.
        headers: Headers that carry the lease holder and its fencing token.
    """

    path: str
    body: Any
    headers: dict[str, str]


class DutyOutcome(enum.Enum):
    """The outcome of a call.

    After `UNKNOWN`, the call may still be executed later, even after newer calls.
    """

    DONE = "done"
    FENCED = "fenced"
    NONE_TO_BE_HAD = "none-to-be-had"
    REJECTED = "rejected"
    UNKNOWN = "unknown"

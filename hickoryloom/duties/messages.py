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

    Attributes:
        DONE: The call was executed.
        FENCED: The receiver rejected it, since it has seen a higher fencing token.
        NO_CAPACITY: The receiver has no backend servers of the ordered kind.
        REJECTED: The call was not sent, since the lease was no longer held, or was rejected for
            another reason.
        UNKNOWN: The call may have been executed, or may still be executed later, even after newer
            calls.
    """

    DONE = "done"
    FENCED = "fenced"
    NO_CAPACITY = "none-to-be-had"
    REJECTED = "rejected"
    UNKNOWN = "unknown"

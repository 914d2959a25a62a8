"""A duty's call as HTTP carries it, and how it ended."""

from __future__ import annotations

import enum
from typing import Any

import attrs

__all__ = ["DutyCall", "DutyOutcome"]


@attrs.frozen
class DutyCall:
    """One call.

    Attributes:
        path: Path of the call, sent with `POST`.
        body: JSON value.
        headers: Headers that name the holder and its fencing token.
    """

    path: str
    body: Any
    headers: dict[str, str]


class DutyOutcome(enum.Enum):
    """How a call ended.

    `UNKNOWN` may still be carried out later, after newer calls.
    """

    DONE = "done"
    FENCED = "fenced"
    NONE_TO_BE_HAD = "none-to-be-had"
    REJECTED = "rejected"
    UNKNOWN = "unknown"

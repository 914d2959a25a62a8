"""Messages about attempts at backend servers: failures and the framing of responses."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.verdict import Verdict

__all__ = ["AttemptFailure", "BodyFraming", "FailureCause"]


class FailureCause(enum.Enum):
    """Cause of a failed attempt.

    Attributes:
        CONNECT: The connection could not be opened, so nothing was sent.
        CONNECTION_LOST: The connection failed before the end of the response.
        TIMED_OUT: No bytes arrived in time.
        NOT_RUN: The backend server stated that it did not run the request.
        STATUS: The response reports an error.
        WRONG_RESPONSE: The response belongs to another request.
        MALFORMED: The request or the response is not valid.
        TOO_LARGE: The response exceeds a size limit.
        CANCELLED: The request was cancelled, for example because its caller disconnected.
        PREEMPTED: The attempt was interrupted in favor of other requests; its request continues
            later.
    """

    CONNECT = "connect"
    CONNECTION_LOST = "cut"
    TIMED_OUT = "silent"
    NOT_RUN = "not-run"
    STATUS = "status"
    WRONG_RESPONSE = "crossed"
    MALFORMED = "malformed"
    TOO_LARGE = "too-large"
    CANCELLED = "cancelled"
    PREEMPTED = "preempted"


class BodyFraming(enum.Enum):
    """What marks the end of a response body.

    Attributes:
        LENGTH: The length in the headers, which is zero for statuses without a body.
        CHUNKED: The last chunk.
        CLOSE: The end of the connection.
    """

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


@attrs.frozen
class AttemptFailure:
    """A failed attempt, with the verdict on whether the backend server may have run the request."""

    cause: FailureCause
    verdict: Verdict
    detail: str = ""

"""Messages of the entry: client errors, replies and summaries."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.metrics import Attainment
from hickoryloom.verdict import Verdict

__all__ = ["ClassSummary", "ClientError", "ErrorResponse", "Reply"]


@attrs.frozen
class ClientError:
    """Why a request is rejected as invalid.

    Attributes:
        status: HTTP status, 4xx.
        code: Machine-readable error code.
        message: Human-readable description.
    """

    status: int
    code: str
    message: str


@attrs.frozen
class ErrorResponse:
    """A response that refuses a request.

    Attributes:
        status: HTTP status.
        code: Machine-readable reason.
        message: Human-readable description.
        verdict: Whether a backend server may have run the request.
        request_id: Id of the request.
        retry_after_s: Seconds after which the caller may retry; 0 if a retry is not useful.
    """

    status: int
    code: str
    message: str
    verdict: Verdict
    request_id: str
    retry_after_s: float = 0.0


@attrs.frozen
class Reply:
    """An HTTP response as sent to the caller.

    Attributes:
        status: HTTP status.
        headers: Names and values, in order.
        body: Chunks of the body; has a `close` method if it holds resources.
        refused: Machine-readable reason of a refusal; empty for any other response.
        verdict: Whether a backend server may have run a refused request.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]
    refused: str = ""
    verdict: Verdict = Verdict.MAY_HAVE_RUN


@attrs.frozen
class ClassSummary:
    """Latency and target attainment of one request class at one entry.

    Attributes:
        attainment: Request counts by result.
        first_token_p95_s: 95th percentile of the time to the first token, in seconds.
        answer_p95_s: 95th percentile of the time to the complete response, in seconds.
    """

    attainment: Attainment
    first_token_p95_s: float
    answer_p95_s: float

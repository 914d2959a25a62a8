"""Messages of the entry: faults in a caller's request."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.metrics import Attainment
from hickoryloom.verdict import Verdict

__all__ = ["CallerError", "ClassSummary", "ErrorAnswer", "Reply"]


@attrs.frozen
class CallerError:
    """A request that cannot be served as it was sent.

    Attributes:
        status: HTTP status, 4xx.
        code: Machine-readable name of the fault.
        message: A sentence for the caller.
    """

    status: int
    code: str
    message: str


@attrs.frozen
class ErrorAnswer:
    """An answer that refuses a request.

    Attributes:
        status: HTTP status.
        code: Machine-readable reason.
        message: A sentence for the caller.
        verdict: Whether a backend server may have run the request.
        request_id: Id of the request.
        retry_after_s: Seconds after which another try is worth while; 0 for never.
    """

    status: int
    code: str
    message: str
    verdict: Verdict
    request_id: str
    retry_after_s: float = 0.0


@attrs.frozen
class Reply:
    """What is sent back to a caller.

    Attributes:
        status: HTTP status.
        headers: Names and values, in order.
        body: Pieces of the body; has a `close` method where something must be given back.
    """

    status: int
    headers: list[tuple[str, str]]
    body: Iterable[bytes]


@attrs.frozen
class ClassSummary:
    """How the requests of one class fared at one entry.

    Attributes:
        attainment: Counts by result.
        first_token_p95_s: Seconds to the first token for 95 in 100.
        answer_p95_s: Seconds to the whole answer for 95 in 100.
    """

    attainment: Attainment
    first_token_p95_s: float
    answer_p95_s: float

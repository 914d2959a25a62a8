"""Error answers in the form that callers of model APIs expect."""

from __future__ import annotations

import json
import math
from typing import Any

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.entry.messages import CallerError, ErrorAnswer
from hickoryloom.verdict import Verdict

__all__ = [
    "answer_for_caller_error",
    "answer_for_refusal",
    "error_body",
    "error_event",
    "error_headers",
]

STATUS_BY_REASON = {
    RefusalReason.OVERLOAD: 503,
    RefusalReason.EXPECTED_LATE: 503,
    RefusalReason.CUSTOMER_LIMIT: 429,
    RefusalReason.NO_BACKEND: 503,
    RefusalReason.PREEMPTED: 503,
    RefusalReason.STALE_VIEW: 503,
    RefusalReason.PLATFORM_UNAVAILABLE: 503,
    RefusalReason.KEY_WITHDRAWN: 401,
    RefusalReason.STOPPING: 503,
    RefusalReason.CALLER_LEFT: 499,
    RefusalReason.BACKEND_FAILED: 502,
    RefusalReason.RETRY_BUDGET: 503,
    RefusalReason.INTERNAL: 500,
    RefusalReason.IN_PROGRESS: 409,
    RefusalReason.OUTCOME_UNKNOWN: 409,
    RefusalReason.ALREADY_RUN: 409,
    RefusalReason.KEY_REUSED: 422,
}
MESSAGE_BY_REASON = {
    RefusalReason.OVERLOAD: "There is no capacity for this class now.",
    RefusalReason.EXPECTED_LATE: "The answer would come later than the class's target.",
    RefusalReason.CUSTOMER_LIMIT: "The customer's limit is used up.",
    RefusalReason.NO_BACKEND: "No backend server can take the request now.",
    RefusalReason.PREEMPTED: "A request of a higher tier took the capacity.",
    RefusalReason.STALE_VIEW: "This entry cannot tell whether the key is still valid.",
    RefusalReason.PLATFORM_UNAVAILABLE: "The platform is needed for this request and is down.",
    RefusalReason.KEY_WITHDRAWN: "The key has been withdrawn.",
    RefusalReason.STOPPING: "This entry is stopping.",
    RefusalReason.CALLER_LEFT: "The caller left.",
    RefusalReason.BACKEND_FAILED: "The backend server failed.",
    RefusalReason.INTERNAL: "The entry met a fault of its own.",
    RefusalReason.RETRY_BUDGET: "The backend server failed and retries are used up for now.",
    RefusalReason.IN_PROGRESS: "The same call is in progress.",
    RefusalReason.OUTCOME_UNKNOWN: "The call was sent and its outcome is not known.",
    RefusalReason.ALREADY_RUN: "The call ran; its answer was too large to be kept.",
    RefusalReason.KEY_REUSED: "The Idempotency-Key was used for another call.",
}


def answer_for_caller_error(error: CallerError, request_id: str) -> ErrorAnswer:
    """Return the answer to a request that was never tried."""
    return ErrorAnswer(error.status, error.code, error.message, Verdict.NOT_RUN, request_id)


def answer_for_refusal(refused: Refused, request_id: str) -> ErrorAnswer:
    """Return the answer to a refused request."""
    return ErrorAnswer(
        status=STATUS_BY_REASON[refused.reason],
        code=refused.reason.value,
        message=refused.detail or MESSAGE_BY_REASON[refused.reason],
        verdict=refused.verdict,
        request_id=request_id,
        retry_after_s=refused.retry_after_s,
    )


def error_headers(answer: ErrorAnswer) -> list[tuple[str, str]]:
    """Return the headers that go with an error, `Retry-After` in whole seconds rounded up."""
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", answer.request_id),
        ("X-Verdict", answer.verdict.value),
    ]
    if answer.retry_after_s > 0:
        headers.append(("Retry-After", str(max(1, math.ceil(answer.retry_after_s)))))
    if answer.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return headers


def error_body(answer: ErrorAnswer) -> bytes:
    """Return the JSON body of an error."""
    return json.dumps(_document(answer)).encode()


def error_event(answer: ErrorAnswer) -> bytes:
    """Return an error as the last server-sent event of a stream that was already begun."""
    return b"data: " + error_body(answer) + b"\n\n"


def _document(answer: ErrorAnswer) -> dict[str, Any]:
    error: dict[str, Any] = {
        "type": "invalid_request_error" if answer.status < 500 else "service_unavailable",
        "code": answer.code,
        "message": answer.message,
        "verdict": answer.verdict.value,
        "request_id": answer.request_id,
    }
    if answer.retry_after_s > 0:
        error["retry_after_s"] = round(answer.retry_after_s, 3)
    return {"error": error}

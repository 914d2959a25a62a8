"""Error responses in the format that callers of model APIs expect."""

from __future__ import annotations

import json
import math
from typing import Any

from hickoryloom.admission import RefusalReason, Refused
from hickoryloom.entry.messages import ClientError, ErrorResponse, Reply
from hickoryloom.verdict import Verdict

__all__ = [
    "error_body",
    "error_event",
    "error_headers",
    "reply_with_error",
    "response_for_client_error",
    "response_for_refusal",
]

STATUS_BY_REASON = {
    RefusalReason.OVERLOAD: 503,
    RefusalReason.EXPECTED_LATE: 503,
    RefusalReason.CUSTOMER_LIMIT: 429,
    RefusalReason.NO_BACKEND: 503,
    RefusalReason.UNREACHABLE: 503,
    RefusalReason.QUARANTINED: 503,
    RefusalReason.PREEMPTED: 503,
    RefusalReason.STALE_VIEW: 503,
    RefusalReason.PLATFORM_UNAVAILABLE: 503,
    RefusalReason.KEY_WITHDRAWN: 401,
    RefusalReason.STOPPING: 503,
    RefusalReason.CALLER_DISCONNECTED: 499,
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
    RefusalReason.QUARANTINED: "Backend servers crashed under prompts that begin like this one.",
    RefusalReason.UNREACHABLE: "This entry reaches no backend server, nor does any other now.",
    RefusalReason.NO_BACKEND: "No backend server can take the request now.",
    RefusalReason.PREEMPTED: "A request of a higher tier took the capacity.",
    RefusalReason.STALE_VIEW: "This entry cannot tell whether the key is still valid.",
    RefusalReason.PLATFORM_UNAVAILABLE: "The platform is needed for this request and is down.",
    RefusalReason.KEY_WITHDRAWN: "The key has been withdrawn.",
    RefusalReason.STOPPING: "This entry is stopping.",
    RefusalReason.CALLER_DISCONNECTED: "The caller left.",
    RefusalReason.BACKEND_FAILED: "The backend server failed.",
    RefusalReason.INTERNAL: "The entry met a fault of its own.",
    RefusalReason.RETRY_BUDGET: "The backend server failed and retries are used up for now.",
    RefusalReason.IN_PROGRESS: "The same call is in progress.",
    RefusalReason.OUTCOME_UNKNOWN: "The call was sent and its outcome is not known.",
    RefusalReason.ALREADY_RUN: "The call ran; its answer was too large to be kept.",
    RefusalReason.KEY_REUSED: "The Idempotency-Key was used for another call.",
}


def response_for_client_error(error: ClientError, request_id: str) -> ErrorResponse:
    """Return the response to a request that was rejected before any attempt."""
    return ErrorResponse(error.status, error.code, error.message, Verdict.NOT_RUN, request_id)


def response_for_refusal(refused: Refused, request_id: str) -> ErrorResponse:
    """Return the response to a refused request."""
    return ErrorResponse(
        status=STATUS_BY_REASON[refused.reason],
        code=refused.reason.value,
        message=refused.detail or MESSAGE_BY_REASON[refused.reason],
        verdict=refused.verdict,
        request_id=request_id,
        retry_after_s=refused.retry_after_s,
    )


def error_headers(response: ErrorResponse) -> list[tuple[str, str]]:
    """Return the headers of an error response; `Retry-After` is rounded up to whole seconds."""
    headers = [
        ("Content-Type", "application/json"),
        ("X-Request-Id", response.request_id),
        ("X-Verdict", response.verdict.value),
    ]
    if response.retry_after_s > 0:
        headers.append(("Retry-After", str(max(1, math.ceil(response.retry_after_s)))))
    if response.status == 401:
        headers.append(("WWW-Authenticate", "Bearer"))
    return headers


def error_body(response: ErrorResponse) -> bytes:
    """Return the JSON body of an error response."""
    return json.dumps(_error_document(response)).encode()


def error_event(response: ErrorResponse) -> bytes:
    """Return an error as the last server-sent event of a stream that has already started."""
    return b"data: " + error_body(response) + b"\n\n"


def reply_with_error(response: ErrorResponse) -> Reply:
    """Return an error response as a complete reply."""
    return Reply(
        response.status,
        error_headers(response),
        [error_body(response)],
        response.code,
        response.verdict,
    )


def _error_document(response: ErrorResponse) -> dict[str, Any]:
    error: dict[str, Any] = {
        "type": "invalid_request_error" if response.status < 500 else "service_unavailable",
        "code": response.code,
        "message": response.message,
        "verdict": response.verdict.value,
        "request_id": response.request_id,
    }
    if response.retry_after_s > 0:
        error["retry_after_s"] = round(response.retry_after_s, 3)
    return {"error": error}

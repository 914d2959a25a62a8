"""Message types of admission: requests, admitted requests and refusals."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.verdict import Verdict

__all__ = ["Admitted", "Refused", "RefusalReason", "Request"]


@attrs.frozen
class Request:
    """An authenticated request that is assigned to a customer.

    Attributes:
        id: Unique id, sent to the backend server and returned to the caller.
        customer: Name of the customer; empty on a route without authentication.
        service: Name of the service; the model for chat and text completions.
        pool: Name of the pool that serves the request.
        request_class: Name of the request's class.
        tier: Tier of the class; 1 is the highest.
        idempotent: Whether the request may be repeated.
        arrived: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which the request must start to meet its latency target.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: The caller's limit on the response length in tokens; 0 for none.
        prefix_hash: Hash of the beginning of the prompt, for cache affinity; empty for none.
        prompt_hash: Hash of the whole prompt; empty for none.
        idempotency_key: The caller's key for at-most-once execution; empty for none.
        stream: Whether the caller requested server-sent events.
    """

    id: str
    customer: str
    service: str
    pool: str
    request_class: str
    tier: int
    idempotent: bool
    arrived: float
    deadline: float
    prompt_tokens: int = 0
    max_tokens: int = 0
    prefix_hash: str = ""
    prompt_hash: str = ""
    idempotency_key: str = ""
    stream: bool = False


@attrs.frozen
class Admitted:
    """Permission to start a request now.

    Attributes:
        request: The request.
        started: Monotonic time of the decision, in seconds.
        estimated_tokens: Tokens charged to the customer until the length of the response is known.
        reserved: Whether the request uses the reserve of its class.
    """

    request: Request
    started: float
    estimated_tokens: int
    reserved: bool = False


class RefusalReason(enum.Enum):
    """Reason for a refusal, as reported to the caller."""

    OVERLOAD = "overload"
    EXPECTED_LATE = "expected-late"
    CUSTOMER_LIMIT = "customer-limit"
    NO_BACKEND = "no-backend-server"
    UNREACHABLE = "unreachable"
    QUARANTINED = "prompt-in-quarantine"
    PREEMPTED = "preempted"
    STALE_VIEW = "stale-view"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    KEY_WITHDRAWN = "key-withdrawn"
    STOPPING = "stopping"
    CALLER_DISCONNECTED = "caller-left"
    BACKEND_FAILED = "backend-server-failed"
    RETRY_BUDGET = "retry-budget"
    INTERNAL = "internal"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ALREADY_RUN = "already-run"
    KEY_REUSED = "idempotency-key-reused"


@attrs.frozen
class Refused:
    """The final refusal of a request.

    Attributes:
        reason: Reason for the refusal.
        verdict: Whether a backend server may have run the request.
        retry_after_s: Time in seconds after which the caller should retry.
        detail: Human-readable explanation for the caller.
    """

    reason: RefusalReason
    verdict: Verdict
    retry_after_s: float
    detail: str = ""

"""Messages of admission: requests, admitted requests and refusals."""

from __future__ import annotations

import enum

import attrs

from hickoryloom.verdict import Verdict

__all__ = ["Admitted", "Refused", "RefusalReason", "Request"]


@attrs.frozen
class Request:
    """A request that has been authenticated and bound to its customer.

    Attributes:
        id: Unique id, sent along to the backend server and back to the caller.
        customer: Customer's name; empty on a route open to all.
        service: Service's name; the model for chat and text completions.
        pool: Pool that serves it.
        request_class: Name of its class.
        tier: Tier of its class; 1 is the highest.
        idempotent: Whether it may be repeated.
        arrived: Monotonic time of arrival, in seconds.
        deadline: Monotonic time by which it must have begun so as to meet its target.
        prompt_tokens: Estimated length of the prompt.
        max_tokens: Caller's bound on the answer, 0 for none.
        prefix_hash: Hash of the prompt's head, for cache affinity; empty for none.
        idempotency_key: Caller's key for at-most-once calls; empty for none.
        stream: Whether the caller asked for server-sent events.
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
    idempotency_key: str = ""
    stream: bool = False


@attrs.frozen
class Admitted:
    """Leave to start a request now.

    Attributes:
        request: The request.
        started: Monotonic time of the decision, in seconds.
        estimated_tokens: Tokens charged to the customer until the answer's length is known.
        reserved: Whether it runs in its class's reserved share.
    """

    request: Request
    started: float
    estimated_tokens: int
    reserved: bool = False


class RefusalReason(enum.Enum):
    """Why a request was refused, as told to its caller."""

    OVERLOAD = "overload"
    EXPECTED_LATE = "expected-late"
    CUSTOMER_LIMIT = "customer-limit"
    NO_BACKEND = "no-backend-server"
    PREEMPTED = "preempted"
    STALE_VIEW = "stale-view"
    PLATFORM_UNAVAILABLE = "platform-unavailable"
    KEY_WITHDRAWN = "key-withdrawn"
    STOPPING = "stopping"
    CALLER_LEFT = "caller-left"
    BACKEND_FAILED = "backend-server-failed"
    RETRY_BUDGET = "retry-budget"
    INTERNAL = "internal"
    IN_PROGRESS = "in-progress"
    OUTCOME_UNKNOWN = "outcome-unknown"
    ALREADY_RUN = "already-run"
    KEY_REUSED = "idempotency-key-reused"


@attrs.frozen
class Refused:
    """A final answer for a request that will not be served.

    Attributes:
        reason: Why.
        verdict: Whether a backend server may have run it.
        retry_after_s: Seconds after which another try is worth while.
        detail: A sentence for the caller.
    """

    reason: RefusalReason
    verdict: Verdict
    retry_after_s: float
    detail: str = ""

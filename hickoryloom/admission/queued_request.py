"""Queued requests."""

from __future__ import annotations

import attrs

from hickoryloom.admission.messages import RefusalReason, Request

__all__ = ["QueuedRequest"]


@attrs.define(eq=False)
class QueuedRequest:
    """A queued request and its state.

    Attributes:
        request: The request.
        cost: Tokens that are charged to the customer when the request starts.
        since: Monotonic time at which the request was queued, in seconds.
        weight: Weight of the customer.
        urgent: Whether the request may have to be refused soon.
        refusal_reason: Reason of the pending refusal, which is sent as soon as the tier order
            allows it; None if no refusal is pending.
        ended: Whether the request has been started, refused or withdrawn.
    """

    request: Request
    cost: float
    since: float
    weight: float = 1.0
    urgent: bool = False
    refusal_reason: RefusalReason | None = None
    ended: bool = False

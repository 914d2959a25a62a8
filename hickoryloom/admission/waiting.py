"""A request in admission's queues."""

from __future__ import annotations

import attrs

from hickoryloom.admission.messages import RefusalReason, Request

__all__ = ["Waiting"]


@attrs.define(eq=False)
class Waiting:
    """One request that has been neither started nor refused.

    Attributes:
        request: The request.
        cost: Tokens charged to its customer when it starts.
        since: Monotonic time at which it was queued, in seconds.
        weight: Its customer's weight.
        urgent: Whether it may have to be refused soon.
        late: Why it is to be refused as soon as that is allowed; None while it may start.
        ended: Whether it has been started, refused or withdrawn.
    """

    request: Request
    cost: float
    since: float
    weight: float = 1.0
    urgent: bool = False
    late: RefusalReason | None = None
    ended: bool = False

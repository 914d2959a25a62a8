"""Detection of queued requests that are close to their deadline, and of the pressure they cause."""

from __future__ import annotations

import heapq

from hickoryloom.admission.queued_request import QueuedRequest

__all__ = ["UrgencyTracker"]

URGENT_SLACK_FRACTION = 0.5
URGENT_HOLD_S = 1.0
PREEMPT_BEFORE_DEADLINE_S = 0.25


class UrgencyTracker:
    """Tracks the deadlines of the queued requests of one pool.

    A tier stays urgent for `URGENT_HOLD_S` after one of its urgent requests has ended.
    """

    def __init__(self) -> None:
        self._due: list[tuple[float, int, QueuedRequest]] = []
        self._sequence = 0
        self._urgent: dict[int, int] = {}
        self._held: dict[int, float] = {}
        self._near_deadline: list[QueuedRequest] = []

    def watch(self, queued_request: QueuedRequest, now: float) -> None:
        """Track a new request; it becomes urgent after `URGENT_SLACK_FRACTION` of its slack."""
        slack = queued_request.request.deadline - now
        self._push(now + URGENT_SLACK_FRACTION * max(0.0, slack), queued_request)

    def mark_urgent(self, queued_request: QueuedRequest) -> None:
        """Mark a request as urgent."""
        if queued_request.urgent or queued_request.ended:
            return
        queued_request.urgent = True
        tier = queued_request.request.tier
        self._urgent[tier] = self._urgent.get(tier, 0) + 1

    def end(self, queued_request: QueuedRequest, now: float) -> None:
        """Stop tracking a request that was started, refused or withdrawn."""
        queued_request.ended = True
        if not queued_request.urgent:
            return
        tier = queued_request.request.tier
        self._urgent[tier] -= 1
        self._held[tier] = now + URGENT_HOLD_S

    def pop_due(self, now: float) -> list[QueuedRequest]:
        """Mark the requests that are due as urgent; return those whose deadline has passed."""
        expired = []
        while self._due and self._due[0][0] <= now:
            queued_request = heapq.heappop(self._due)[2]
            if queued_request.ended:
                continue
            self.mark_urgent(queued_request)
            deadline = queued_request.request.deadline
            if deadline <= now:
                expired.append(queued_request)
            elif now < deadline - PREEMPT_BEFORE_DEADLINE_S:
                self._push(deadline - PREEMPT_BEFORE_DEADLINE_S, queued_request)
            else:
                self._near_deadline.append(queued_request)
                self._push(deadline, queued_request)
        return expired

    def take_near_deadline(self) -> list[QueuedRequest]:
        """Return, once each, the requests that can only meet their deadline by preemption.

        These are the requests within `PREEMPT_BEFORE_DEADLINE_S` of their deadline.
        """
        near, self._near_deadline = self._near_deadline, []
        return [queued_request for queued_request in near if not queued_request.ended]

    def tier(self, now: float) -> int:
        """Return the highest tier that is urgent; 0 for none."""
        tiers = [tier for tier, count in self._urgent.items() if count]
        tiers += [tier for tier, until in self._held.items() if until > now]
        return min(tiers, default=0)

    def next_due(self, now: float) -> float:
        """Return the monotonic time of the next change without an event; infinite for never."""
        while self._due and self._due[0][2].ended:
            heapq.heappop(self._due)
        times = [until for until in self._held.values() if until > now]
        if self._due:
            times.append(self._due[0][0])
        return min(times, default=float("inf"))

    def _push(self, at: float, queued_request: QueuedRequest) -> None:
        self._sequence += 1
        heapq.heappush(self._due, (at, self._sequence, queued_request))

"""Which waiting requests may have to be refused soon, and the pressure that follows."""

from __future__ import annotations

import heapq

from hickoryloom.admission.waiting import Waiting

__all__ = ["Urgency"]

ALARM_PART = 0.5
HOLD_S = 1.0
LAST_CALL_S = 0.25


class Urgency:
    """Watches the waiting requests of one pool as their deadlines draw near."""

    def __init__(self) -> None:
        self._due: list[tuple[float, int, Waiting]] = []
        self._sequence = 0
        self._urgent: dict[int, int] = {}
        self._held: dict[int, float] = {}
        self._last_calls: list[Waiting] = []

    def watch(self, waiting: Waiting, now: float) -> None:
        """Watch a new request; it becomes urgent when half of its time is used up."""
        slack = waiting.request.deadline - now
        self._push(now + ALARM_PART * max(0.0, slack), waiting)

    def mark(self, waiting: Waiting) -> None:
        """Call a request urgent now."""
        if waiting.urgent or waiting.ended:
            return
        waiting.urgent = True
        tier = waiting.request.tier
        self._urgent[tier] = self._urgent.get(tier, 0) + 1

    def end(self, waiting: Waiting, now: float) -> None:
        """Forget a request that was started, refused or withdrawn."""
        waiting.ended = True
        if not waiting.urgent:
            return
        tier = waiting.request.tier
        self._urgent[tier] -= 1
        self._held[tier] = now + HOLD_S

    def pop_due(self, now: float) -> list[Waiting]:
        """Mark requests whose alarm is due; return those whose deadline has come."""
        expired = []
        while self._due and self._due[0][0] <= now:
            waiting = heapq.heappop(self._due)[2]
            if waiting.ended:
                continue
            self.mark(waiting)
            deadline = waiting.request.deadline
            if deadline <= now:
                expired.append(waiting)
            elif now < deadline - LAST_CALL_S:
                self._push(deadline - LAST_CALL_S, waiting)
            else:
                self._last_calls.append(waiting)
                self._push(deadline, waiting)
        return expired

    def take_last_calls(self) -> list[Waiting]:
        """Return, once each, the requests that only a preempted slot can still serve in time."""
        calls, self._last_calls = self._last_calls, []
        return [waiting for waiting in calls if not waiting.ended]

    def tier(self, now: float) -> int:
        """Return the highest tier with an urgent request, now or just before; 0 for none."""
        tiers = [tier for tier, count in self._urgent.items() if count]
        tiers += [tier for tier, until in self._held.items() if until > now]
        return min(tiers, default=0)

    def next_due(self, now: float) -> float:
        """Return when something changes by itself, in seconds; infinite for never."""
        while self._due and self._due[0][2].ended:
            heapq.heappop(self._due)
        times = [until for until in self._held.values() if until > now]
        if self._due:
            times.append(self._due[0][0])
        return min(times, default=float("inf"))

    def _push(self, at: float, waiting: Waiting) -> None:
        self._sequence += 1
        heapq.heappush(self._due, (at, self._sequence, waiting))

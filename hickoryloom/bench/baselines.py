"""Baseline admission policies with the interface of `AdmissionState`."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from typing import Any

from hickoryloom.admission import Admitted, Request
from hickoryloom.admission.decisions import Decision, Start
from hickoryloom.admission.queued_request import QueuedRequest
from hickoryloom.configuration import Snapshot
from hickoryloom.routing.messages import BackendView

__all__ = ["PassThroughAdmission", "StrictPriorityAdmission"]


class PassThroughAdmission:
    """Starts each request on arrival and leaves queueing to the engines."""

    def __init__(self) -> None:
        self._queue: list[tuple[int, int, QueuedRequest]] = []
        self._running: set[str] = set()
        self._sequence = 0
        self._capacity: dict[str, int] = {}

    def set_snapshot(self, snapshot: Snapshot, now: float) -> list[Decision]:
        """Ignore the configuration."""
        return []

    def set_backends(self, views: Iterable[BackendView], now: float) -> list[Decision]:
        """Set the capacity of each pool."""
        self._capacity = {}
        for view in views:
            self._capacity[view.pool] = self._capacity.get(view.pool, 0) + view.slots
        return self.dispatch_due(now)

    def set_peers(self, peers: Collection[Any], now: float) -> list[Decision]:
        """Ignore the peers."""
        return []

    def submit(self, request: Request, now: float) -> QueuedRequest:
        """Queue a request."""
        queued_request = QueuedRequest(request=request, cost=0.0, since=now)
        self._sequence += 1
        heapq.heappush(self._queue, (self._priority(request), self._sequence, queued_request))
        return queued_request

    def withdraw(self, queued_request: QueuedRequest, now: float) -> None:
        """Remove a request whose caller left."""
        queued_request.ended = True

    def finish(self, admitted: Admitted, outcome: Any, now: float) -> list[Decision]:
        """Free the slot of a request."""
        self._running.discard(admitted.request.id)
        return self.dispatch_due(now)

    def dispatch(self, pool: str, now: float) -> list[Decision]:
        """Start the queued requests that may start."""
        return self.dispatch_due(now)

    def dispatch_due(self, now: float) -> list[Decision]:
        """Start the queued requests that may start."""
        decisions: list[Decision] = []
        while self._queue and self._has_free_slot():
            queued_request = heapq.heappop(self._queue)[2]
            if queued_request.ended:
                continue
            queued_request.ended = True
            self._running.add(queued_request.request.id)
            decisions.append(Start(queued_request, Admitted(queued_request.request, now, 0)))
        return decisions

    def next_wake(self) -> float:
        """Return infinity: no wake-up is needed."""
        return float("inf")

    def _priority(self, request: Request) -> int:
        return 0

    def _has_free_slot(self) -> bool:
        return True


class StrictPriorityAdmission(PassThroughAdmission):
    """Serves strictly by tier within an equal share of the slots, without reserve or refusal.

    Args:
        entries: Number of entries among which the slots are divided.
    """

    def __init__(self, entries: int) -> None:
        super().__init__()
        self._entries = entries

    def _priority(self, request: Request) -> int:
        return request.tier

    def _has_free_slot(self) -> bool:
        return len(self._running) < max(1, -(-sum(self._capacity.values()) // self._entries))

"""Admissions to compare with, with the methods of `AdmissionState`."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Iterable
from typing import Any

from hickoryloom.admission import Admitted, Request
from hickoryloom.admission.decisions import Decision, Start
from hickoryloom.admission.waiting import Waiting
from hickoryloom.configuration import Snapshot
from hickoryloom.routing.messages import BackendView

__all__ = ["PassThrough", "StrictQueue"]


class PassThrough:
    """Starts each request as it comes; engines queue."""

    def __init__(self) -> None:
        self._queue: list[tuple[int, int, Waiting]] = []
        self._running: set[str] = set()
        self._sequence = 0
        self._capacity: dict[str, int] = {}

    def set_snapshot(self, snapshot: Snapshot, now: float) -> list[Decision]:
        """Need no configuration."""
        return []

    def set_backends(self, views: Iterable[BackendView], now: float) -> list[Decision]:
        """Take in the capacity."""
        self._capacity = {}
        for view in views:
            self._capacity[view.pool] = self._capacity.get(view.pool, 0) + view.slots
        return self.dispatch_due(now)

    def set_peers(self, peers: Collection[Any], now: float) -> list[Decision]:
        """Need no peers."""
        return []

    def submit(self, request: Request, now: float) -> Waiting:
        """Queue a request."""
        waiting = Waiting(request=request, cost=0.0, since=now)
        self._sequence += 1
        heapq.heappush(self._queue, (self._rank(request), self._sequence, waiting))
        return waiting

    def withdraw(self, waiting: Waiting, now: float) -> None:
        """Drop a request whose caller left."""
        waiting.ended = True

    def finish(self, admitted: Admitted, outcome: Any, now: float) -> list[Decision]:
        """Free a slot."""
        self._running.discard(admitted.request.id)
        return self.dispatch_due(now)

    def dispatch(self, pool: str, now: float) -> list[Decision]:
        """Start what may start."""
        return self.dispatch_due(now)

    def dispatch_due(self, now: float) -> list[Decision]:
        """Start what may start."""
        started: list[Decision] = []
        while self._queue and self._has_room():
            waiting = heapq.heappop(self._queue)[2]
            if waiting.ended:
                continue
            waiting.ended = True
            self._running.add(waiting.request.id)
            started.append(Start(waiting, Admitted(waiting.request, now, 0)))
        return started

    def next_wake(self) -> float:
        """Need no wake-up."""
        return float("inf")

    def _rank(self, request: Request) -> int:
        return 0

    def _has_room(self) -> bool:
        return True


class StrictQueue(PassThrough):
    """Strict tiers in an equal part of the slots, without reserve or refusal.

    Args:
        entries: Number of entries that share the slots.
    """

    def __init__(self, entries: int) -> None:
        super().__init__()
        self._entries = entries

    def _rank(self, request: Request) -> int:
        return request.tier

    def _has_room(self) -> bool:
        return len(self._running) < max(1, -(-sum(self._capacity.values()) // self._entries))

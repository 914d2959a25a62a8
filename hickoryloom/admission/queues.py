"""Bounded queues of one pool: by tier, class and customer."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from hickoryloom.admission.fairness import FairQueue
from hickoryloom.admission.reserve import Reserve
from hickoryloom.admission.waiting import Waiting

__all__ = ["ClassQueue", "PoolQueues"]


@attrs.define(eq=False)
class ClassQueue:
    """One class's waiting requests in one pool.

    Attributes:
        name: Name of the class.
        tier: Its tier.
        queue: Its requests.
        reserve: Its reserved share.
        arrived: Monotonic time of its latest request, in seconds.
    """

    name: str
    tier: int
    queue: FairQueue = attrs.field(factory=FairQueue)
    reserve: Reserve = attrs.field(factory=Reserve)
    arrived: float = float("-inf")


class PoolQueues:
    """All classes' queues of one pool, in order of tier."""

    def __init__(self) -> None:
        self._classes: dict[tuple[str, int], ClassQueue] = {}
        self._ordered: list[ClassQueue] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[ClassQueue]:
        return iter(self._ordered)

    @property
    def highest(self) -> int:
        """Highest tier that waits and could run; 0 for none."""
        for found in self._ordered:
            if found.queue.peek() is not None:
                return found.tier
        return 0

    def get(self, name: str, tier: int, now: float) -> ClassQueue:
        """Return the queue of a class, made on first use."""
        found = self._classes.get((name, tier))
        if found is None:
            found = ClassQueue(name, tier, reserve=Reserve(updated=now))
            self._classes[name, tier] = found
            self._ordered = sorted(self._classes.values(), key=lambda q: (q.tier, q.name))
        return found

    def queue_of(self, waiting: Waiting) -> ClassQueue:
        """Return the queue that a request stands in."""
        return self._classes[waiting.request.request_class, waiting.request.tier]

    def push(self, waiting: Waiting, weight: float, now: float) -> ClassQueue:
        """Append a request to the queue of its class."""
        found = self.get(waiting.request.request_class, waiting.request.tier, now)
        found.queue.push(waiting, weight)
        found.arrived = now
        self._size += 1
        return found

    def pop(self, found: ClassQueue) -> Waiting | None:
        """Remove and return the next request of one class."""
        waiting = found.queue.pop()
        if waiting is not None:
            self._size -= 1
        return waiting

    def remove(self, waiting: Waiting) -> None:
        """Remove a request that will not be started."""
        if self.queue_of(waiting).queue.remove(waiting):
            self._size -= 1

    def backlog(self) -> dict[int, int]:
        """Return the number of waiting requests by tier."""
        counts: dict[int, int] = {}
        for found in self._ordered:
            if len(found.queue):
                counts[found.tier] = counts.get(found.tier, 0) + len(found.queue)
        return counts

    def ahead_of(self, waiting: Waiting, weight: float) -> float:
        """Estimate how many waiting requests would start before a new one."""
        request = waiting.request
        ahead = 0.0
        for found in self._ordered:
            if found.tier > request.tier:
                break
            if found.name == request.request_class:
                ahead += found.queue.ahead_of(request.customer, weight)
            else:
                ahead += len(found.queue)
        return ahead

    def newest_of_lowest(self) -> Waiting | None:
        """Return the request to give up first when the queues are full."""
        for found in reversed(self._ordered):
            newest = found.queue.newest()
            if newest is not None:
                return newest
        return None

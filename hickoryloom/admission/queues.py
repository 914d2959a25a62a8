"""Request queues of one pool, by tier, class and customer."""

from __future__ import annotations

from collections.abc import Iterator

import attrs

from hickoryloom.admission.fairness import FairQueue
from hickoryloom.admission.queued_request import QueuedRequest
from hickoryloom.admission.reserve import Reserve

__all__ = ["ClassQueue", "PoolQueues"]


@attrs.define(eq=False)
class ClassQueue:
    """The queued requests of one class in one pool.

    Attributes:
        name: Name of the class.
        tier: Tier of the class.
        queue: Queued requests of the class.
        reserve: Reserved slots of the class.
        arrived: Monotonic time at which the latest request of the class arrived, in seconds.
    """

    name: str
    tier: int
    queue: FairQueue = attrs.field(factory=FairQueue)
    reserve: Reserve = attrs.field(factory=Reserve)
    arrived: float = float("-inf")


class PoolQueues:
    """The queues of all classes in one pool, in order of tier."""

    def __init__(self) -> None:
        self._classes: dict[tuple[str, int], ClassQueue] = {}
        self._ordered: list[ClassQueue] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def __iter__(self) -> Iterator[ClassQueue]:
        return iter(self._ordered)

    @property
    def highest_tier(self) -> int:
        """Highest tier with a queued request that is not held; 0 for none."""
        for class_queue in self._ordered:
            if class_queue.queue.peek() is not None:
                return class_queue.tier
        return 0

    def get(self, name: str, tier: int, now: float) -> ClassQueue:
        """Return the queue of a class; it is created on first use."""
        class_queue = self._classes.get((name, tier))
        if class_queue is None:
            class_queue = ClassQueue(name, tier, reserve=Reserve(updated=now))
            self._classes[name, tier] = class_queue
            self._ordered = sorted(self._classes.values(), key=lambda q: (q.tier, q.name))
        return class_queue

    def queue_of(self, queued_request: QueuedRequest) -> ClassQueue:
        """Return the class queue to which a request belongs."""
        return self._classes[queued_request.request.request_class, queued_request.request.tier]

    def push(self, queued_request: QueuedRequest, weight: float, now: float) -> ClassQueue:
        """Append a request to the queue of its class."""
        class_queue = self.get(
            queued_request.request.request_class, queued_request.request.tier, now
        )
        class_queue.queue.push(queued_request, weight)
        class_queue.arrived = now
        self._size += 1
        return class_queue

    def pop(self, class_queue: ClassQueue) -> QueuedRequest | None:
        """Remove and return the next request of a class."""
        queued_request = class_queue.queue.pop()
        if queued_request is not None:
            self._size -= 1
        return queued_request

    def remove(self, queued_request: QueuedRequest) -> None:
        """Remove a request without starting it."""
        if self.queue_of(queued_request).queue.remove(queued_request):
            self._size -= 1

    def backlog(self) -> dict[int, int]:
        """Return the number of queued requests by tier."""
        counts: dict[int, int] = {}
        for class_queue in self._ordered:
            if len(class_queue.queue):
                counts[class_queue.tier] = counts.get(class_queue.tier, 0) + len(class_queue.queue)
        return counts

    def ahead_of(self, queued_request: QueuedRequest, weight: float) -> float:
        """Estimate how many queued requests would start before a new one."""
        request = queued_request.request
        ahead = 0.0
        for class_queue in self._ordered:
            if class_queue.tier > request.tier:
                break
            if class_queue.name == request.request_class:
                ahead += class_queue.queue.ahead_of(request.customer, weight)
            else:
                ahead += len(class_queue.queue)
        return ahead

    def newest_of_lowest_tier(self) -> QueuedRequest | None:
        """Return the newest request of the lowest tier, the first to be refused on overload."""
        for class_queue in reversed(self._ordered):
            newest = class_queue.queue.newest()
            if newest is not None:
                return newest
        return None

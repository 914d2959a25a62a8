"""Start-time fair queueing (SFQ) between the customers of one class, by token cost."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Collection

import attrs

from hickoryloom.admission.queued_request import QueuedRequest

__all__ = ["FairQueue"]


@attrs.define
class _Flow:
    """One customer's requests in one class, in order of arrival."""

    name: str
    weight: float
    finish_tag: float = 0.0
    queue: deque[QueuedRequest] = attrs.field(factory=deque)
    in_heap: bool = False
    held: bool = False


class FairQueue:
    """Weighted fair queue of customers; requests of the same customer are served in FIFO order."""

    def __init__(self) -> None:
        self._flows: dict[str, _Flow] = {}
        self._heap: list[tuple[float, int, str]] = []
        self._held: set[str] = set()
        self._virtual_time = 0.0
        self._sequence = 0
        self._size = 0
        self._active = 0
        self._active_weight = 0.0

    def __len__(self) -> int:
        return self._size

    @property
    def held(self) -> frozenset[str]:
        """Customers that are skipped until their own limits allow a start."""
        return frozenset(self._held)

    @property
    def earliest_deadline(self) -> float:
        """Deadline of the next request to be served; infinite if there is none."""
        head = self.peek()
        return float("inf") if head is None else head.request.deadline

    def push(self, queued_request: QueuedRequest, weight: float) -> None:
        """Append a request to its customer's queue.

        Args:
            queued_request: The request.
            weight: The customer's weight relative to other customers.
        """
        flow = self._flow(queued_request.request.customer, weight)
        if not flow.queue:
            self._active += 1
            self._active_weight += flow.weight
        flow.queue.append(queued_request)
        self._size += 1
        self._schedule(flow)

    def peek(self) -> QueuedRequest | None:
        """Return the next request to be served, or None if there is none."""
        while self._heap:
            flow = self._flows[self._heap[0][2]]
            if flow.queue and not flow.held:
                return flow.queue[0]
            heapq.heappop(self._heap)
            flow.in_heap = False
        return None

    def pop(self) -> QueuedRequest | None:
        """Remove the request that `peek` returns and charge its cost to the customer."""
        if self.peek() is None:
            return None
        tag, _, name = heapq.heappop(self._heap)
        flow = self._flows[name]
        flow.in_heap = False
        self._virtual_time = max(self._virtual_time, tag)
        queued_request = flow.queue.popleft()
        self._size -= 1
        flow.finish_tag = tag + queued_request.cost / flow.weight
        self._update_active(flow)
        self._schedule(flow)
        return queued_request

    def remove(self, queued_request: QueuedRequest) -> bool:
        """Remove a request without serving it; return whether it was in the queue."""
        flow = self._flows.get(queued_request.request.customer)
        if flow is None or queued_request not in flow.queue:
            return False
        flow.queue.remove(queued_request)
        self._size -= 1
        self._update_active(flow)
        return True

    def hold(self, customer: str) -> None:
        """Skip a customer until `release` is called."""
        flow = self._flows.get(customer)
        if flow is not None:
            flow.held = True
            self._held.add(customer)

    def release(self, customer: str) -> None:
        """Make a held customer eligible again."""
        self._held.discard(customer)
        flow = self._flows.get(customer)
        if flow is not None:
            flow.held = False
            self._schedule(flow)

    def settle(self, customer: str, difference: float) -> None:
        """Charge a customer the difference between a response's actual and estimated cost."""
        flow = self._flows.get(customer)
        if flow is not None:
            flow.finish_tag = max(0.0, flow.finish_tag + difference / flow.weight)

    def ahead_of(self, customer: str, weight: float) -> float:
        """Estimate how many requests would be served before a new one of `customer`."""
        flow = self._flows.get(customer)
        own = len(flow.queue) if flow is not None else 0
        others = self._active_weight - (flow.weight if flow is not None and flow.queue else 0.0)
        return min(float(self._size), own + (own + 1) * others / weight)

    def queued(self, customer: str) -> int:
        """Return the number of queued requests of a customer."""
        flow = self._flows.get(customer)
        return 0 if flow is None else len(flow.queue)

    def newest(self) -> QueuedRequest | None:
        """Return the newest request of the customer with the longest queue for its weight."""
        flows = [flow for flow in self._flows.values() if flow.queue]
        if not flows:
            return None
        return max(flows, key=lambda flow: len(flow.queue) / flow.weight).queue[-1]

    def remove_idle(self, running: Collection[str]) -> None:
        """Remove the state of customers with an empty queue and no outstanding charge.

        Args:
            running: Customers with running requests, whose charges are not settled yet.
        """
        idle = [
            name
            for name, flow in self._flows.items()
            if not flow.queue
            and not flow.in_heap
            and name not in running
            and flow.finish_tag <= self._virtual_time
        ]
        for name in idle:
            del self._flows[name]
            self._held.discard(name)

    def _flow(self, customer: str, weight: float) -> _Flow:
        flow = self._flows.get(customer)
        if flow is None:
            flow = self._flows[customer] = _Flow(customer, weight)
        elif flow.weight != weight and not flow.queue:
            flow.weight = weight
        return flow

    def _schedule(self, flow: _Flow) -> None:
        if flow.in_heap or flow.held or not flow.queue:
            return
        self._sequence += 1
        tag = max(self._virtual_time, flow.finish_tag)
        heapq.heappush(self._heap, (tag, self._sequence, flow.name))
        flow.in_heap = True

    def _update_active(self, flow: _Flow) -> None:
        if flow.queue:
            return
        self._active -= 1
        self._active_weight = self._active_weight - flow.weight if self._active else 0.0

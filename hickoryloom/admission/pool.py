"""Admission decisions of one pool: which requests are started, refused and preempted."""

from __future__ import annotations

import random
from collections.abc import Collection, Mapping

from hickoryloom.admission.allocation import Allocation, allocate
from hickoryloom.admission.arrivals import ArrivalRates
from hickoryloom.admission.decisions import Decision, Preempt, Refuse, Start
from hickoryloom.admission.estimates import Estimates
from hickoryloom.admission.holds import Holds
from hickoryloom.admission.limits import CustomerLimits
from hickoryloom.admission.messages import Admitted, RefusalReason, Request
from hickoryloom.admission.peers import PoolPeers, Pressure
from hickoryloom.admission.queued_request import QueuedRequest
from hickoryloom.admission.queues import ClassQueue, PoolQueues
from hickoryloom.admission.refusals import TIER_ORDERED_REASONS, build_refusal
from hickoryloom.admission.running import Running, choose_victim
from hickoryloom.admission.urgency import UrgencyTracker
from hickoryloom.configuration import RequestClass
from hickoryloom.membership.messages import PoolSummary
from hickoryloom.relay.messages import Outcome

__all__ = ["PoolState"]

MAX_QUEUED = 2000
DEMAND_HEADROOM = 1.25
RESERVE_DEMAND_S = 10.0
LONG_SLACK_S = 4.0
MIN_SLOTS_FRACTION = 0.05
NO_BACKEND_RETRY_S = 2.0
TIME_TOLERANCE_S = 1e-9


class PoolState:
    """Queues, slots and decisions of one pool, without I/O or a clock.

    Args:
        name: Name of the pool.
        tokens_per_s: Output tokens per second of one slot, used until a request has finished.
        limits: This entry's shares of the customers' limits.
        rng: Source of jitter.
    """

    def __init__(
        self, name: str, tokens_per_s: float, limits: CustomerLimits, rng: random.Random
    ) -> None:
        self.name = name
        self.capacity = 0
        self.top_tier = 1
        self.peers = PoolPeers()
        self._limits = limits
        self._rng = rng
        self._classes: Mapping[str, RequestClass] = {}
        self._queues = PoolQueues()
        self._running: dict[str, Running] = {}
        self._estimates = Estimates(tokens_per_s)
        self._arrivals = ArrivalRates()
        self._urgency = UrgencyTracker()
        self._pressure = Pressure()
        self._pending_refusals: list[QueuedRequest] = []
        self._holds = Holds()
        self._entries = 1
        self._tiers: frozenset[int] = frozenset()
        self._slots_in_use: dict[int, int] = {}
        self._reserved = 0
        self._demand_at_dispatch: dict[int, int] = {}
        self._allocation: Allocation | None = None
        self._dispatched_at = float("-inf")

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return len(self._queues)

    @property
    def pressure(self) -> Pressure:
        """The pressure and demand that this entry announces to its peers."""
        return self._pressure

    @property
    def allocation(self) -> Allocation:
        """Slots that this entry may occupy, by tier."""
        if self._allocation is None:
            acknowledged = self._pressure.acknowledged_demand(self.peers.acknowledged_at)
            self._allocation = allocate(
                self.capacity,
                self._tiers,
                self.peers,
                self._demand_at_dispatch,
                acknowledged,
                self._reserves(),
            )
        return self._allocation

    def set_classes(self, classes: Mapping[str, RequestClass]) -> None:
        """Apply a new set of request classes."""
        self._classes = classes
        self._tiers = frozenset(request_class.tier for request_class in classes.values())
        self.top_tier = min(self._tiers, default=1)
        self._allocation = None

    def set_view(self, capacity: int, peers: PoolPeers, entries: int) -> None:
        """Update the slots of the pool and their use by the other entries.

        Args:
            capacity: Slots of the pool.
            peers: The other entries' use of the pool.
            entries: Number of entries that share the pool, including this one.
        """
        self.capacity = capacity
        self.peers = peers
        self._holds.release_all()
        self._allocation = None
        for class_queue in self._queues:
            self._size_reserve(class_queue, entries)
        self._entries = entries

    def submit(self, queued_request: QueuedRequest, now: float) -> None:
        """Queue a request; `dispatch` decides on it."""
        request = queued_request.request
        self._arrivals.record(request.tier, self._service_s(request), now)
        reason = self._predict_refusal(queued_request, now)
        class_queue = self._queues.push(queued_request, queued_request.weight, now)
        self._size_reserve(class_queue, self._entries)
        self._urgency.watch(queued_request, now)
        if reason is not None:
            self._schedule_refusal(queued_request, reason)
        if len(self._queues) > MAX_QUEUED:
            newest = self._queues.newest_of_lowest_tier()
            if newest is not None and newest.refusal_reason is None:
                self._schedule_refusal(newest, RefusalReason.OVERLOAD)

    def withdraw(self, queued_request: QueuedRequest, now: float) -> None:
        """Remove a request whose caller disconnected or whose API key was withdrawn."""
        if not queued_request.ended:
            self._end(queued_request, now)

    def finish(self, admitted: Admitted, outcome: Outcome, now: float) -> bool:
        """Release the slot of a finished request and update the estimates.

        Returns whether the request held a slot.
        """
        running = self._running.pop(admitted.request.id, None)
        if running is None:
            return False
        request = admitted.request
        self._count_slot(request.tier, -1, admitted.reserved)
        class_queue = self._queues.get(request.request_class, request.tier, now)
        if admitted.reserved:
            class_queue.reserve.finished(now)
        difference = outcome.output_tokens + outcome.wasted_tokens - admitted.estimated_tokens
        class_queue.queue.settle(request.customer, difference)
        self._limits.finished(request.customer, difference, now)
        self._holds.release_customer(request.customer)
        if outcome.complete:
            self._estimates.observe(
                request.request_class, outcome.output_tokens, now - admitted.started
            )
        return True

    def dispatch(self, now: float) -> list[Decision]:
        """Return the starts, refusals and preemptions that are due at `now`."""
        decisions: list[Decision] = []
        self._dispatched_at = now
        self._demand_at_dispatch = self._demand(now)
        self._holds.release_due(now)
        self._start_all(decisions, now)
        for queued_request in self._urgency.pop_due(now):
            self._schedule_refusal(queued_request, self._reason_at_deadline(queued_request))
            self._queues.remove(queued_request)
        self._pressure.announce(self._urgency.tier(now), now)
        self._preempt(decisions, now)
        self._refuse_pending(decisions, now)
        return decisions

    def summary(self, now: float) -> PoolSummary:
        """Return the summary of this pool for the peers, and record the demand it announces."""
        backlog = self._queues.backlog()
        demand = self._demand(now)
        self._pressure.note_demand(demand, now)
        self._allocation = None
        return PoolSummary(
            in_flight=len(self._running),
            backlog=backlog,
            highest_waiting=self._queues.highest_tier,
            pressure=self._pressure.tier,
            epoch=self._pressure.epoch,
            demand=demand,
            over_share=self._limits.over_share(now),
        )

    def remove_idle(self, running: Collection[str]) -> None:
        """Remove the state of customers that have no queued request and are not in `running`."""
        for class_queue in self._queues:
            class_queue.queue.remove_idle(running)

    def next_wake(self) -> float:
        """Return the monotonic time at which `dispatch` is due without another event.

        The result may be in the past: changes that became due since the last dispatch are
        included, however late this is called.
        """
        last = self._dispatched_at
        times = [self._urgency.next_due(last), *self._holds.times]
        times += [
            self._pressure.in_force_at(queued_request.request.tier)
            for queued_request in self._pending_refusals
        ]
        if len(self._running) < self.allocation.free:
            times += self._reserve_times()
        return min((at for at in times if at > last), default=float("inf"))

    def may_start(self, tier: int, now: float) -> bool:
        """Return whether the tier order allows a tier to start requests outside of its reserve."""
        if tier <= self.top_tier:
            return True
        if 0 < self._pressure.tier < tier or 0 < self.peers.pressure < tier:
            return False
        return now <= self.peers.start_granted_until

    def needs_peer_exchange(self) -> bool:
        """Return whether an immediate exchange with the peers could free slots for the queue.

        This is the case if the highest queued tier has no room at present, would have room once
        the peers know of its demand, and the demand announced last is too low.
        """
        highest_tier = self._queues.highest_tier
        if not highest_tier or self.peers.alone or self._room(highest_tier) > 0:
            return False
        if len(self._running) - self._reserved >= self.allocation.potential.get(highest_tier, 0):
            return False
        announced = self._pressure.demands[-1][1] if self._pressure.demands else {}
        demand = len(self._running) + len(self._queues)
        return sum(announced.values()) < demand

    def _start_all(self, decisions: list[Decision], now: float) -> None:
        while True:
            class_queue, reserved = self._choose_class(now)
            if class_queue is None:
                return
            queued_request = class_queue.queue.peek()
            assert queued_request is not None
            request = queued_request.request
            if not self._limits.may_start(request.customer, now):
                until = self._limits.ready_at(request.customer, now)
                self._holds.hold(class_queue, request.customer, until)
                continue
            self._queues.pop(class_queue)
            decisions.append(self._start(class_queue, queued_request, reserved, now))

    def _choose_class(self, now: float) -> tuple[ClassQueue | None, bool]:
        nonempty = [
            class_queue for class_queue in self._queues if class_queue.queue.peek() is not None
        ]
        if not nonempty:
            return None, False
        tier = nonempty[0].tier
        startable_tier = tier if self._room(tier) > 0 and self.may_start(tier, now) else 0
        reserve_ready = [
            class_queue for class_queue in nonempty if class_queue.reserve.may_start(now)
        ]
        if reserve_ready and len(self._running) < self.allocation.free:
            return (
                max(
                    reserve_ready,
                    key=lambda class_queue: class_queue.reserve.credit / class_queue.reserve.slots,
                ),
                True,
            )
        if not startable_tier:
            return None, False
        same_tier = [class_queue for class_queue in nonempty if class_queue.tier == tier]
        return min(same_tier, key=lambda class_queue: class_queue.queue.earliest_deadline), False

    def _start(
        self, class_queue: ClassQueue, queued_request: QueuedRequest, reserved: bool, now: float
    ) -> Start:
        request = queued_request.request
        self._urgency.end(queued_request, now)
        admitted = Admitted(request, now, int(queued_request.cost), reserved)
        request_class = self._classes.get(request.request_class)
        self._count_slot(request.tier, 1, reserved)
        self._running[request.id] = Running(
            admitted, request_class.resumable if request_class else False
        )
        self._limits.started(request.customer, queued_request.cost, now)
        if reserved:
            class_queue.reserve.started(now)
        return Start(queued_request, admitted)

    def _predict_refusal(self, queued_request: QueuedRequest, now: float) -> RefusalReason | None:
        request = queued_request.request
        queued_request.cost = self._estimates.tokens(request.request_class, request.max_tokens)
        slack = request.deadline - now
        class_queue = self._queues.get(request.request_class, request.tier, now)
        queued = class_queue.queue.queued(request.customer)
        service_s = self._service_s(request)
        limit_wait = self._limits.expected_wait(
            request.customer, queued, queued_request.cost, service_s, now
        )
        if limit_wait > slack:
            return RefusalReason.CUSTOMER_LIMIT
        if self.expected_wait(queued_request, now) > slack + TIME_TOLERANCE_S:
            return RefusalReason.EXPECTED_LATE if self.capacity else RefusalReason.NO_BACKEND
        return None

    def expected_wait(self, queued_request: QueuedRequest, now: float) -> float:
        """Estimate how long a new request would wait for a slot, in seconds.

        Requests with a slack of more than `LONG_SLACK_S` are estimated with the long-term load of
        higher tiers if that leaves more slots than the recent load.
        """
        if not self.capacity:
            return float("inf")
        request = queued_request.request
        ahead = self._queues.ahead_of(queued_request, queued_request.weight)
        free = max(0, self._room(request.tier))
        if ahead < free:
            return 0.0
        potential = self.allocation.potential.get(request.tier, 0)
        slots = potential - self._arrivals.slots_above(request.tier, now)
        class_queue = self._queues.get(request.request_class, request.tier, now)
        if not len(class_queue.queue) and class_queue.reserve.may_start(now):
            return 0.0
        min_slots = MIN_SLOTS_FRACTION * self.capacity / self._entries
        if request.deadline - now > LONG_SLACK_S:
            long_term = self._arrivals.long_term_slots_above(request.tier, now)
            slots = max(slots, self.capacity / self._entries - long_term)
        slots = max(slots, class_queue.reserve.slots, min_slots)
        return (ahead - free + 1) * self._estimates.service_s / slots

    def _schedule_refusal(self, queued_request: QueuedRequest, reason: RefusalReason) -> None:
        if queued_request.ended or queued_request.refusal_reason is not None:
            return
        queued_request.refusal_reason = reason
        if reason in TIER_ORDERED_REASONS:
            self._urgency.mark_urgent(queued_request)
        self._pending_refusals.append(queued_request)

    def _reason_at_deadline(self, queued_request: QueuedRequest) -> RefusalReason:
        request = queued_request.request
        if self._holds.is_held(request.request_class, request.tier, request.customer):
            return RefusalReason.CUSTOMER_LIMIT
        return RefusalReason.EXPECTED_LATE if self.capacity else RefusalReason.NO_BACKEND

    def _refuse_pending(self, decisions: list[Decision], now: float) -> None:
        kept = []
        for queued_request in self._pending_refusals:
            if queued_request.ended:
                continue
            tier_ordered = queued_request.refusal_reason in TIER_ORDERED_REASONS
            if tier_ordered and not self._pressure.in_force(
                queued_request.request.tier, self.peers, now
            ):
                kept.append(queued_request)
                continue
            decisions.append(self._refuse(queued_request, now))
        self._pending_refusals = kept

    def _refuse(self, queued_request: QueuedRequest, now: float) -> Refuse:
        reason = queued_request.refusal_reason or RefusalReason.OVERLOAD
        self._end(queued_request, now)
        wait_s = self._retry_wait(queued_request, reason, now)
        return Refuse(queued_request, build_refusal(reason, wait_s, self._rng))

    def _retry_wait(
        self, queued_request: QueuedRequest, reason: RefusalReason, now: float
    ) -> float:
        request = queued_request.request
        if reason is RefusalReason.NO_BACKEND:
            return NO_BACKEND_RETRY_S
        if reason is not RefusalReason.CUSTOMER_LIMIT:
            return self.expected_wait(queued_request, now) - (request.deadline - request.arrived)
        queued = self._queues.queue_of(queued_request).queue.queued(request.customer)
        service_s = self._service_s(request)
        return self._limits.expected_wait(
            request.customer, queued, queued_request.cost, service_s, now
        )

    def _preempt(self, decisions: list[Decision], now: float) -> None:
        for queued_request in self._urgency.take_near_deadline():
            if queued_request.refusal_reason is None:
                self._preempt_for(queued_request, decisions)
        for queued_request in self._pending_refusals:
            if (
                queued_request.ended
                or queued_request.refusal_reason is not RefusalReason.EXPECTED_LATE
            ):
                continue
            if queued_request.request.deadline > now and self._preempt_for(
                queued_request, decisions
            ):
                queued_request.refusal_reason = None
        self._pending_refusals = [
            queued_request
            for queued_request in self._pending_refusals
            if queued_request.refusal_reason is not None
        ]

    def _preempt_for(self, queued_request: QueuedRequest, decisions: list[Decision]) -> bool:
        """Preempt a request of a lower tier for `queued_request`; return whether there was one."""
        victim = choose_victim(self._running.values(), queued_request.request.tier)
        if victim is None:
            return False
        victim.preempted = True
        decisions.append(Preempt(victim.admitted))
        return True

    def _end(self, queued_request: QueuedRequest, now: float) -> None:
        self._queues.remove(queued_request)
        self._urgency.end(queued_request, now)

    def _room(self, tier: int) -> int:
        return self.allocation.room(tier, len(self._running), self._reserved)

    def _count_slot(self, tier: int, change: int, reserved: bool) -> None:
        before = self._slots_in_use.get(tier, 0)
        self._slots_in_use[tier] = before + change
        if reserved:
            self._reserved += change
        if not before or not self._slots_in_use[tier]:
            self._allocation = None

    def _demand(self, now: float) -> dict[int, int]:
        wanted = self._queues.backlog()
        for tier, in_use in self._slots_in_use.items():
            wanted[tier] = wanted.get(tier, 0) + in_use
        for class_queue in self._queues:
            if class_queue.reserve.slots and now - class_queue.arrived <= RESERVE_DEMAND_S:
                wanted[class_queue.tier] = wanted.get(class_queue.tier, 0) or 1
        return {tier: int(count * DEMAND_HEADROOM) + 1 for tier, count in wanted.items() if count}

    def _reserves(self) -> dict[int, float]:
        reserves: dict[int, float] = {}
        for request_class in self._classes.values():
            slots = reserves.get(request_class.tier, 0.0) + request_class.reserve * self.capacity
            reserves[request_class.tier] = slots
        return reserves

    def _service_s(self, request: Request) -> float:
        return self._estimates.class_service_s(request.request_class)

    def _size_reserve(self, class_queue: ClassQueue, entries: int) -> None:
        request_class = self._classes.get(class_queue.name)
        share = request_class.reserve if request_class is not None else 0.0
        class_queue.reserve.slots = share * self.capacity / entries

    def _reserve_times(self) -> list[float]:
        times = []
        for class_queue in self._queues:
            at = class_queue.reserve.ready_at() if len(class_queue.queue) else None
            if at is not None:
                times.append(at)
        return times

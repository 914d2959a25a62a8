"""Admission to one pool: who starts next, who is refused, who is preempted."""

from __future__ import annotations

import random
from collections.abc import Mapping

from hickoryloom.admission.allotment import Allotment, allot
from hickoryloom.admission.arrivals import ArrivalRates
from hickoryloom.admission.decisions import Decision, Preempt, Refuse, Start
from hickoryloom.admission.estimates import Estimates
from hickoryloom.admission.holds import Holds
from hickoryloom.admission.limits import LimitBook
from hickoryloom.admission.messages import Admitted, RefusalReason, Request
from hickoryloom.admission.peers import PoolPeers, Pressure
from hickoryloom.admission.queues import ClassQueue, PoolQueues
from hickoryloom.admission.refusals import ORDERED_REASONS, build_refusal
from hickoryloom.admission.running import Running, choose_victim
from hickoryloom.admission.urgency import Urgency
from hickoryloom.admission.waiting import Waiting
from hickoryloom.configuration import RequestClass
from hickoryloom.membership.messages import PoolSummary
from hickoryloom.relay.messages import Outcome

__all__ = ["PoolState"]

MAX_WAITING = 2000
DEMAND_HEADROOM = 1.25
RESERVE_MEMORY_S = 10.0
LONG_SLACK_S = 4.0
LEAST_SLOTS_PART = 0.05
NO_BACKEND_RETRY_S = 2.0
TIME_SLACK_S = 1e-9


class PoolState:
    """Pure decisions on one pool.

    Args:
        name: Name of the pool.
        tokens_per_s: Output tokens per second of one slot, before any is measured.
        limits: This entry's parts of the customers' limits.
        rng: Source of jitter.
    """

    def __init__(
        self, name: str, tokens_per_s: float, limits: LimitBook, rng: random.Random
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
        self._urgency = Urgency()
        self._pressure = Pressure()
        self._late: list[Waiting] = []
        self._holds = Holds()
        self._entries = 1
        self._tiers: frozenset[int] = frozenset()
        self._busy: dict[int, int] = {}
        self._reserved = 0
        self._own_demand: dict[int, int] = {}
        self._allotment: Allotment | None = None
        self._dispatched_at = float("-inf")

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._queues)

    @property
    def pressure(self) -> Pressure:
        """This entry's announcements."""
        return self._pressure

    @property
    def allotment(self) -> Allotment:
        """Slots that this entry may fill, by tier."""
        if self._allotment is None:
            agreed = self._pressure.agreed_demand(self.peers.echoed)
            self._allotment = allot(
                self.capacity, self._tiers, self.peers, self._own_demand, agreed, self._reserves()
            )
        return self._allotment

    def set_classes(self, classes: Mapping[str, RequestClass]) -> None:
        """Put classes in force."""
        self._classes = classes
        self._tiers = frozenset(found.tier for found in classes.values())
        self.top_tier = min(self._tiers, default=1)
        self._allotment = None

    def set_view(self, capacity: int, peers: PoolPeers, entries: int) -> None:
        """Take in the pool's slots and the other entries' use of them."""
        self.capacity = capacity
        self.peers = peers
        self._holds.release_all()
        self._allotment = None
        for found in self._queues:
            self._size_reserve(found, entries)
        self._entries = entries

    def submit(self, waiting: Waiting, now: float) -> None:
        """Queue a request; `dispatch` decides on it."""
        request = waiting.request
        self._arrivals.note(request.tier, self._service_s(request), now)
        reason = self._foresee(waiting, now)
        found = self._queues.push(waiting, waiting.weight, now)
        self._size_reserve(found, self._entries)
        self._urgency.watch(waiting, now)
        if reason is not None:
            self._give_up(waiting, reason)
        if len(self._queues) > MAX_WAITING:
            newest = self._queues.newest_of_lowest()
            if newest is not None and newest.late is None:
                self._give_up(newest, RefusalReason.OVERLOAD)

    def withdraw(self, waiting: Waiting, now: float) -> None:
        """Drop a request whose caller left or lost its key."""
        if not waiting.ended:
            self._end(waiting, now)

    def finish(self, admitted: Admitted, outcome: Outcome, now: float) -> bool:
        """Free the slot of a request that ended and learn from it; return whether it held one."""
        running = self._running.pop(admitted.request.id, None)
        if running is None:
            return False
        request = admitted.request
        self._count(request.tier, -1, admitted.reserved)
        found = self._queues.get(request.request_class, request.tier, now)
        if admitted.reserved:
            found.reserve.finished(now)
        difference = outcome.output_tokens + outcome.wasted_tokens - admitted.estimated_tokens
        found.queue.settle(request.customer, difference)
        self._limits.finished(request.customer, difference, now)
        self._holds.release_customer(request.customer)
        if outcome.whole:
            self._estimates.learn(
                request.request_class, outcome.output_tokens, now - admitted.started
            )
        return True

    def dispatch(self, now: float) -> list[Decision]:
        """Start, refuse and preempt whatever is due at `now`."""
        decisions: list[Decision] = []
        self._dispatched_at = now
        self._own_demand = self._demand(now)
        self._holds.release_due(now)
        self._start_all(decisions, now)
        for waiting in self._urgency.pop_due(now):
            self._give_up(waiting, self._late_reason(waiting))
            self._queues.remove(waiting)
        self._pressure.announce(self._urgency.tier(now), now)
        self._preempt(decisions, now)
        self._refuse_late(decisions, now)
        return decisions

    def summary(self, now: float) -> PoolSummary:
        """Return what peers are told."""
        backlog = self._queues.backlog()
        demand = self._demand(now)
        self._pressure.note_demand(demand, now)
        self._allotment = None
        return PoolSummary(
            in_flight=len(self._running),
            backlog=backlog,
            highest_waiting=self._queues.highest,
            pressure=self._pressure.tier,
            epoch=self._pressure.epoch,
            demand=demand,
        )

    def next_wake(self) -> float:
        """Return when `dispatch` is due next without an event, in seconds.

        What came due since the last dispatch counts too, however late this is asked.
        """
        last = self._dispatched_at
        times = [self._urgency.next_due(last), *self._holds.times]
        times += [self._pressure.in_force_at(waiting.request.tier) for waiting in self._late]
        if len(self._running) < self.allotment.free:
            times += self._reserve_times()
        return min((at for at in times if at > last), default=float("inf"))

    def may_start(self, tier: int, now: float) -> bool:
        """Return whether a tier may start outside of its reserve, by the order of tiers."""
        if tier <= self.top_tier:
            return True
        if 0 < self._pressure.tier < tier or 0 < self.peers.pressure < tier:
            return False
        return now <= self.peers.leave_until

    def wants_word(self) -> bool:
        """Return whether requests wait for slots that only the peers' answer can free."""
        highest = self._queues.highest
        if not highest or self.peers.alone or self._room(highest) > 0:
            return False
        if len(self._running) - self._reserved >= self.allotment.wanted.get(highest, 0):
            return False
        told = self._pressure.demands[-1][1] if self._pressure.demands else {}
        wanted = len(self._running) + len(self._queues)
        return sum(told.values()) < wanted

    def _start_all(self, decisions: list[Decision], now: float) -> None:
        while True:
            found, reserved = self._choose_class(now)
            if found is None:
                return
            waiting = found.queue.peek()
            assert waiting is not None
            request = waiting.request
            if not self._limits.may_start(request.customer, now):
                until = self._limits.ready_at(request.customer, now)
                self._holds.hold(found, request.customer, until)
                continue
            self._queues.pop(found)
            decisions.append(self._start(found, waiting, reserved, now))

    def _choose_class(self, now: float) -> tuple[ClassQueue | None, bool]:
        heads = [found for found in self._queues if found.queue.peek() is not None]
        if not heads:
            return None, False
        tier = heads[0].tier
        ordered = tier if self._room(tier) > 0 and self.may_start(tier, now) else 0
        owed = [found for found in heads if found.reserve.may_start(now)]
        if owed and len(self._running) < self.allotment.free:
            return max(owed, key=lambda found: found.reserve.credit / found.reserve.slots), True
        if not ordered:
            return None, False
        same = [found for found in heads if found.tier == tier]
        return min(same, key=lambda found: found.queue.earliest_deadline), False

    def _start(self, found: ClassQueue, waiting: Waiting, reserved: bool, now: float) -> Start:
        request = waiting.request
        self._urgency.end(waiting, now)
        admitted = Admitted(request, now, int(waiting.cost), reserved)
        known = self._classes.get(request.request_class)
        self._count(request.tier, 1, reserved)
        self._running[request.id] = Running(admitted, known.resumable if known else False)
        self._limits.started(request.customer, waiting.cost, now)
        if reserved:
            found.reserve.started(now)
        return Start(waiting, admitted)

    def _foresee(self, waiting: Waiting, now: float) -> RefusalReason | None:
        request = waiting.request
        waiting.cost = self._estimates.tokens(request.request_class, request.max_tokens)
        slack = request.deadline - now
        found = self._queues.get(request.request_class, request.tier, now)
        queued = found.queue.queued(request.customer)
        service_s = self._service_s(request)
        own = self._limits.expected_wait(request.customer, queued, waiting.cost, service_s, now)
        if own > slack:
            return RefusalReason.CUSTOMER_LIMIT
        if self.expected_wait(waiting, now) > slack + TIME_SLACK_S:
            return RefusalReason.EXPECTED_LATE if self.capacity else RefusalReason.NO_BACKEND
        return None

    def expected_wait(self, waiting: Waiting, now: float) -> float:
        """Estimate how long a new request would wait for a slot, in seconds."""
        if not self.capacity:
            return float("inf")
        request = waiting.request
        ahead = self._queues.ahead_of(waiting, waiting.weight)
        free = max(0, self._room(request.tier))
        if ahead < free:
            return 0.0
        wanted = self.allotment.wanted.get(request.tier, 0)
        slots = wanted - self._arrivals.slots_above(request.tier, now)
        found = self._queues.get(request.request_class, request.tier, now)
        if not len(found.queue) and found.reserve.may_start(now):
            return 0.0
        least = LEAST_SLOTS_PART * self.capacity / self._entries
        if request.deadline - now > LONG_SLACK_S:
            usual = self._arrivals.usual_slots_above(request.tier, now)
            slots = max(slots, self.capacity / self._entries - usual)
        slots = max(slots, found.reserve.slots, least)
        return (ahead - free + 1) * self._estimates.service_s / slots

    def _give_up(self, waiting: Waiting, reason: RefusalReason) -> None:
        if waiting.ended or waiting.late is not None:
            return
        waiting.late = reason
        if reason in ORDERED_REASONS:
            self._urgency.mark(waiting)
        self._late.append(waiting)

    def _late_reason(self, waiting: Waiting) -> RefusalReason:
        request = waiting.request
        if self._holds.is_held(request.request_class, request.tier, request.customer):
            return RefusalReason.CUSTOMER_LIMIT
        return RefusalReason.EXPECTED_LATE if self.capacity else RefusalReason.NO_BACKEND

    def _refuse_late(self, decisions: list[Decision], now: float) -> None:
        kept = []
        for waiting in self._late:
            if waiting.ended:
                continue
            ordered = waiting.late in ORDERED_REASONS
            if ordered and not self._pressure.in_force(waiting.request.tier, self.peers, now):
                kept.append(waiting)
                continue
            decisions.append(self._refuse(waiting, now))
        self._late = kept

    def _refuse(self, waiting: Waiting, now: float) -> Refuse:
        reason = waiting.late or RefusalReason.OVERLOAD
        self._end(waiting, now)
        wait_s = self._wait_of_next_try(waiting, reason, now)
        return Refuse(waiting, build_refusal(reason, wait_s, self._rng))

    def _wait_of_next_try(self, waiting: Waiting, reason: RefusalReason, now: float) -> float:
        request = waiting.request
        if reason is RefusalReason.NO_BACKEND:
            return NO_BACKEND_RETRY_S
        if reason is not RefusalReason.CUSTOMER_LIMIT:
            return self.expected_wait(waiting, now) - (request.deadline - request.arrived)
        queued = self._queues.queue_of(waiting).queue.queued(request.customer)
        service_s = self._service_s(request)
        return self._limits.expected_wait(request.customer, queued, waiting.cost, service_s, now)

    def _preempt(self, decisions: list[Decision], now: float) -> None:
        for waiting in self._urgency.take_last_calls():
            if waiting.late is None:
                self._preempt_for(waiting, decisions)
        for waiting in self._late:
            if waiting.ended or waiting.late is not RefusalReason.EXPECTED_LATE:
                continue
            if waiting.request.deadline > now and self._preempt_for(waiting, decisions):
                waiting.late = None
        self._late = [waiting for waiting in self._late if waiting.late is not None]

    def _preempt_for(self, waiting: Waiting, decisions: list[Decision]) -> bool:
        """Take a slot from a lower tier for a request; return whether there is one to take."""
        victim = choose_victim(self._running.values(), waiting.request.tier)
        if victim is None:
            return False
        victim.preempted = True
        decisions.append(Preempt(victim.admitted))
        return True

    def _end(self, waiting: Waiting, now: float) -> None:
        self._queues.remove(waiting)
        self._urgency.end(waiting, now)

    def _room(self, tier: int) -> int:
        return self.allotment.room(tier, len(self._running), self._reserved)

    def _count(self, tier: int, change: int, reserved: bool) -> None:
        before = self._busy.get(tier, 0)
        self._busy[tier] = before + change
        if reserved:
            self._reserved += change
        if not before or not self._busy[tier]:
            self._allotment = None

    def _demand(self, now: float) -> dict[int, int]:
        wanted = self._queues.backlog()
        for tier, busy in self._busy.items():
            wanted[tier] = wanted.get(tier, 0) + busy
        for found in self._queues:
            if found.reserve.slots and now - found.arrived <= RESERVE_MEMORY_S:
                wanted[found.tier] = wanted.get(found.tier, 0) or 1
        return {tier: int(count * DEMAND_HEADROOM) + 1 for tier, count in wanted.items() if count}

    def _reserves(self) -> dict[int, float]:
        reserves: dict[int, float] = {}
        for found in self._classes.values():
            slots = reserves.get(found.tier, 0.0) + found.reserve * self.capacity
            reserves[found.tier] = slots
        return reserves

    def _service_s(self, request: Request) -> float:
        return self._estimates.class_service_s(request.request_class)

    def _size_reserve(self, found: ClassQueue, entries: int) -> None:
        known = self._classes.get(found.name)
        part = known.reserve if known is not None else 0.0
        found.reserve.slots = part * self.capacity / entries

    def _reserve_times(self) -> list[float]:
        times = []
        for found in self._queues:
            at = found.reserve.ready_at() if len(found.queue) else None
            if at is not None:
                times.append(at)
        return times

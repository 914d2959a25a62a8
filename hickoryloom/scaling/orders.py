"""Decides which orders are due from the plan, the running backend servers and earlier orders.

This module performs no I/O.
"""

from __future__ import annotations

import attrs

from hickoryloom.duties import DutyOutcome
from hickoryloom.scaling.messages import Group
from hickoryloom.scaling.sizing import Plan

__all__ = ["OrderTracker"]

REPEAT_AFTER_S = 4.0
"""Time after which an order without effect is repeated, since a delayed one may have undone it."""

NO_CAPACITY_PAUSE_S = 3.0
"""Pause after a response that no backend servers of a group are available."""


@attrs.define
class _Order:
    """The last order of a group.

    Attributes:
        number: Number of backend servers that was ordered.
        at: Monotonic time at which the order finished, in seconds.
        confirmed: Whether the order was accepted for certain.
        fulfilled: Whether this number was running at some time since.
    """

    number: int
    at: float
    confirmed: bool
    fulfilled: bool = False


@attrs.define
class OrderTracker:
    """Tracks the orders of one service during one lease term.

    Args:
        service: Name of the service.
    """

    service: str
    _orders: dict[Group, _Order] = attrs.field(factory=dict)
    _retry_at: dict[Group, float] = attrs.field(factory=dict)
    _in_progress: set[Group] = attrs.field(factory=set)

    def clear(self) -> None:
        """Discard all orders, since another lease holder may have issued others meanwhile."""
        self._orders.clear()

    def desired_counts(
        self,
        plan: Plan,
        running: dict[Group, int],
        now: float,
        warm: dict[Group, int] | None = None,
    ) -> dict[Group, int]:
        """Return the desired number of backend servers of each group.

        On-demand backend servers are released only once others run in their place, and they
        replace reclaimable ones that are not available.

        Args:
            plan: Backend servers that the load needs.
            running: Number of running backend servers by group.
            now: Monotonic time in seconds.
            warm: Number of those that are warm, by group; only these replace others. None for all.
        """
        warm = running if warm is None else warm
        desired = {
            Group(self.service, domain, True): number for domain, number in plan.reclaimable.items()
        }
        counted = sum(self._available(group, number, warm) for group, number in desired.items())
        surplus = max(0, sum(warm.values()) - plan.total)
        missing = max(0, plan.minimum - counted - sum(plan.on_demand.values()))
        for domain, number in plan.on_demand.items():
            group = Group(self.service, domain, False)
            current = running.get(group, 0)
            kept = max(number, current - surplus)
            surplus -= max(0, current - kept)
            replacements = min(missing, max(0, number + plan.reclaimable[domain] - kept))
            missing -= replacements
            desired[group] = kept + replacements
        return desired

    def _available(self, group: Group, number: int, running: dict[Group, int]) -> int:
        """Return how many of the desired reclaimable backend servers of a group are available."""
        if group in self._retry_at:
            return min(number, running.get(group, 0))
        return number

    def due_orders(
        self, desired: dict[Group, int], running: dict[Group, int], now: float
    ) -> list[tuple[Group, int]]:
        """Return the orders to issue now, those that add backend servers first."""
        orders = [
            (group, number)
            for group, number in desired.items()
            if self._is_due(group, number, running.get(group, 0), now)
        ]
        return sorted(orders, key=lambda order: running.get(order[0], 0) - order[1])

    def mark_sent(self, group: Group) -> None:
        """Record that an order is in progress; no other of its group is due until it finishes."""
        self._in_progress.add(group)

    def mark_finished(self, group: Group) -> None:
        """Record that an order was answered or abandoned."""
        self._in_progress.discard(group)

    def record_outcome(self, group: Group, number: int, outcome: DutyOutcome, now: float) -> None:
        """Record the outcome of an order."""
        if outcome is DutyOutcome.NO_CAPACITY:
            self._retry_at[group] = now + NO_CAPACITY_PAUSE_S
            self._orders.pop(group, None)
            return
        if outcome is DutyOutcome.DONE:
            self._retry_at.pop(group, None)
        self._orders[group] = _Order(number, now, outcome is DutyOutcome.DONE)

    def _is_due(self, group: Group, number: int, current: int, now: float) -> bool:
        if group in self._in_progress:
            return False
        if group in self._retry_at:
            return now >= self._retry_at[group]
        order = self._orders.get(group)
        if order is None:
            return number != current or not group.reclaimable
        if order.number != number or not order.confirmed:
            return True
        if current == number:
            order.fulfilled = True
            return False
        return order.fulfilled or now - order.at >= REPEAT_AFTER_S

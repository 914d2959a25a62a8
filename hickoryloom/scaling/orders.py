"""Which orders are due: what was planned against what stands and what was ordered; pure."""

from __future__ import annotations

import attrs

from hickoryloom.duties import DutyOutcome
from hickoryloom.scaling.messages import Group
from hickoryloom.scaling.sizing import Plan

__all__ = ["OrderBook"]

REPEAT_S = 4.0
"""An order that shows no effect is repeated after this: a late one may have undone it."""

NONE_TO_BE_HAD_S = 3.0
"""Pause after an answer that there are no backend servers of a kind to be had."""


@attrs.define
class _Order:
    number: int
    at: float
    confirmed: bool
    reached: bool = False


@attrs.define
class OrderBook:
    """Orders given under one term.

    Args:
        service: The service.
    """

    service: str
    _orders: dict[Group, _Order] = attrs.field(factory=dict)
    _ask_again: dict[Group, float] = attrs.field(factory=dict)
    _unanswered: set[Group] = attrs.field(factory=set)

    def forget(self) -> None:
        """Forget all orders, since another holder may have given others meanwhile."""
        self._orders.clear()

    def wanted(self, plan: Plan, standing: dict[Group, int], now: float) -> dict[Group, int]:
        """Return the number of each group to be ordered now.

        Firm backend servers are given up only as others stand in their place, and stand in where
        reclaimable ones can't be had.

        Args:
            plan: What the load needs.
            standing: Backend servers that serve, by group.
            now: Monotonic time in seconds.
        """
        wanted = {
            Group(self.service, domain, True): number for domain, number in plan.reclaimable.items()
        }
        counted = sum(self._to_be_had(group, number, standing) for group, number in wanted.items())
        surplus = max(0, sum(standing.values()) - plan.total)
        missing = max(0, plan.least - counted - sum(plan.firm.values()))
        for domain, number in plan.firm.items():
            group = Group(self.service, domain, False)
            have = standing.get(group, 0)
            kept = max(number, have - surplus)
            surplus -= max(0, have - kept)
            stand_in = min(missing, max(0, number + plan.reclaimable[domain] - kept))
            missing -= stand_in
            wanted[group] = kept + stand_in
        return wanted

    def _to_be_had(self, group: Group, number: int, standing: dict[Group, int]) -> int:
        """Return how many reclaimable backend servers of a group can be counted on."""
        if group in self._ask_again:
            return min(number, standing.get(group, 0))
        return number

    def due(
        self, wanted: dict[Group, int], standing: dict[Group, int], now: float
    ) -> list[tuple[Group, int]]:
        """Return the orders to give now, those that add backend servers first."""
        orders = [
            (group, number)
            for group, number in wanted.items()
            if self._is_due(group, number, standing.get(group, 0), now)
        ]
        return sorted(orders, key=lambda order: standing.get(order[0], 0) - order[1])

    def note_sent(self, group: Group) -> None:
        """Take in that an order is being given; no other is due until it has ended."""
        self._unanswered.add(group)

    def note_ended(self, group: Group) -> None:
        """Take in that an order has been answered or given up."""
        self._unanswered.discard(group)

    def note(self, group: Group, number: int, outcome: DutyOutcome, now: float) -> None:
        """Take in how an order ended."""
        if outcome is DutyOutcome.NONE_TO_BE_HAD:
            self._ask_again[group] = now + NONE_TO_BE_HAD_S
            self._orders.pop(group, None)
            return
        if outcome is DutyOutcome.DONE:
            self._ask_again.pop(group, None)
        self._orders[group] = _Order(number, now, outcome is DutyOutcome.DONE)

    def _is_due(self, group: Group, number: int, have: int, now: float) -> bool:
        if group in self._unanswered:
            return False
        if group in self._ask_again:
            return now >= self._ask_again[group]
        order = self._orders.get(group)
        if order is None:
            return number != have or not group.reclaimable
        if order.number != number or not order.confirmed:
            return True
        if have == number:
            order.reached = True
            return False
        return order.reached or now - order.at >= REPEAT_S

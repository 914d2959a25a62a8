"""Maps the priorities of customers and routes to the priorities of model engines.

Engines order requests by priority when their memory or slots run out. The customer's priority is
compared first and the priority of the route breaks ties, so that a short question is not delayed by
a long draft of a customer with the same priority. This module performs no I/O.
"""

from __future__ import annotations

from bisect import bisect_right

from hickoryloom.catalog.messages import Catalog, Customer, Route

__all__ = ["ENGINE_PRIORITIES", "PriorityScale", "build_priority_scale"]

ENGINE_PRIORITIES = 10
"""Number of priorities that engines distinguish; 0 is served first."""

Level = tuple[int, int]


class PriorityScale:
    """Maps the route and customer of a request to an engine priority.

    Args:
        levels: Sorted pairs of customer and route priority in use, at most `ENGINE_PRIORITIES`.
    """

    def __init__(self, levels: tuple[Level, ...]) -> None:
        self._levels = levels

    def priority(self, route: Route, customer: Customer | None) -> int:
        """Return the engine priority of a request.

        A pair that is not listed gets the priority of the closest more urgent pair, or 0.
        """
        return max(0, bisect_right(self._levels, _request_level(route, customer)) - 1)


def build_priority_scale(catalog: Catalog) -> PriorityScale:
    """Build the scale of a catalog, which is the same at every instance with that catalog.

    If there are more pairs than engine priorities, the priorities of routes are ignored. If there
    are still too many, the least urgent ones share the last engine priority.
    """
    customers: set[Customer | None] = {None, *catalog.customers.values()}
    priorities = {customer.priority if customer is not None else None for customer in customers}
    levels = {_level(priority, route) for priority in priorities for route in catalog.routes}
    if len(levels) > ENGINE_PRIORITIES:
        levels = {(priority, -1) for priority, _ in levels}
    return PriorityScale(tuple(sorted(levels)[:ENGINE_PRIORITIES]))


def _request_level(route: Route, customer: Customer | None) -> Level:
    return _level(customer.priority if customer is not None else None, route)


def _level(priority: int | None, route: Route) -> Level:
    return (route.priority if priority is None else priority, route.priority)

"""The order of requests at model engines; pure.

It answers the load of several kinds of requests at engines whose memory or slots run out: a
customer's priority goes before the route's rank, and among requests that are alike in that, the
route's rank decides, so that a short question does not yield to a long draft of an equal customer.
"""

from __future__ import annotations

from bisect import bisect_right

from hickoryloom.catalog.messages import Catalog, Customer, Route

__all__ = ["ENGINE_RANKS", "UrgencyScale", "build_urgency_scale"]

ENGINE_RANKS = 10
"""Ranks that engines tell apart; 0 goes first."""

Grade = tuple[int, int]


class UrgencyScale:
    """Maps what is asked by whom to the ranks of engines.

    Args:
        grades: Priorities and ranks in use, in order; at most as many as engines tell apart.
    """

    def __init__(self, grades: tuple[Grade, ...]) -> None:
        self._grades = grades

    def rank(self, route: Route, customer: Customer | None) -> int:
        """Return the rank of a request; one of a grade that is not in use goes beside the next."""
        return max(0, bisect_right(self._grades, _grade(route, customer)) - 1)


def build_urgency_scale(catalog: Catalog) -> UrgencyScale:
    """Return the scale of a catalog, the same at every instance that has the same catalog.

    With more grades than ranks, the route's rank is left out, then the least urgent ones share the
    last rank.
    """
    customers: set[Customer | None] = {None, *catalog.customers.values()}
    priorities = {customer.priority if customer is not None else None for customer in customers}
    grades = {_graded(priority, route) for priority in priorities for route in catalog.routes}
    if len(grades) > ENGINE_RANKS:
        grades = {(priority, -1) for priority, _ in grades}
    return UrgencyScale(tuple(sorted(grades)[:ENGINE_RANKS]))


def _grade(route: Route, customer: Customer | None) -> Grade:
    return _graded(customer.priority if customer is not None else None, route)


def _graded(priority: int | None, route: Route) -> Grade:
    return (route.priority if priority is None else priority, route.priority)

"""Requests of one instance that wait for a turn at servers with scarce turns.

The most urgent one is served first, and among equals the one that arrived first. This module
performs no I/O.
"""

from __future__ import annotations

import bisect
import itertools

import attrs

__all__ = ["Ticket", "TurnQueue"]


@attrs.frozen(order=True)
class Ticket:
    """A place in the queue of a service.

    Attributes:
        urgency: Priority of the request; 0 is the most urgent.
        arrived: Monotonic time of its arrival, in seconds.
        number: Order of joining.
        service: The service.
    """

    urgency: int
    arrived: float
    number: int
    service: str


class TurnQueue:
    """Tickets of waiting requests by service, in the order in which they get turns."""

    def __init__(self) -> None:
        self._tickets: dict[str, list[Ticket]] = {}
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return sum(len(tickets) for tickets in self._tickets.values())

    def join(self, service: str, urgency: int, arrived: float) -> Ticket:
        """Add a request, and return its ticket."""
        ticket = Ticket(urgency, arrived, next(self._numbers), service)
        bisect.insort(self._tickets.setdefault(service, []), ticket)
        return ticket

    def leave(self, ticket: Ticket) -> None:
        """Remove a request; idempotent."""
        tickets = self._tickets.get(ticket.service, [])
        if ticket in tickets:
            tickets.remove(ticket)
        if not tickets:
            self._tickets.pop(ticket.service, None)

    def ahead_of(self, ticket: Ticket) -> int:
        """Return the number of requests that get turns before that of a ticket."""
        return bisect.bisect_left(self._tickets.get(ticket.service, []), ticket)

    def has_more_urgent(self, service: str, urgency: int) -> bool:
        """Return whether a request waits that is more urgent than `urgency`."""
        tickets = self._tickets.get(service)
        return tickets is not None and tickets[0].urgency < urgency

    def has_as_urgent(self, service: str, urgency: int) -> bool:
        """Return whether a request waits that is at least as urgent as `urgency`."""
        tickets = self._tickets.get(service)
        return tickets is not None and tickets[0].urgency <= urgency

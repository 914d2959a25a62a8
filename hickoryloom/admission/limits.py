"""This entry's part of each customer's limits."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping

import attrs

from hickoryloom.admission.shares import equal_part
from hickoryloom.configuration import Customer

__all__ = ["LimitBook"]

MINUTE_S = 60.0


@attrs.define
class _Part:
    """The part of one customer's limits that this entry holds.

    Attributes:
        tokens_per_s: Rate at which tokens come in; 0 for no limit.
        burst: Most tokens saved up.
        tokens: Tokens at hand; negative after answers that were longer than estimated.
        updated: Monotonic time of the last update, in seconds.
        max_in_flight: Requests that may run at once; None for no limit.
        in_flight: Requests that run.
        division: Count of the division that it was sized for.
    """

    tokens_per_s: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    updated: float = 0.0
    max_in_flight: int | None = None
    in_flight: int = 0
    division: int = -1

    def advance(self, now: float) -> None:
        self.tokens = min(self.burst, self.tokens + (now - self.updated) * self.tokens_per_s)
        self.updated = now


class LimitBook:
    """Spends this entry's parts of the customers' limits.

    The parts of all entries add up to each limit. An entry that loses sight of its peers goes
    on with the parts it has.

    Args:
        name: This entry's incarnation.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._entries: tuple[str, ...] = (name,)
        self._joined = True
        self._customers: Mapping[str, Customer] = {}
        self._parts: dict[str, _Part] = {}
        self._division = 0

    def set_customers(self, customers: Mapping[str, Customer]) -> None:
        """Put new limits in force."""
        self._customers = customers
        self._division += 1

    def set_entries(self, entries: Collection[str], joined: bool) -> None:
        """Divide the limits between entries.

        Args:
            entries: All entries that may spend, this one included.
            joined: Whether the live ones know of this entry; until then it holds no part.
        """
        ordered = tuple(sorted(entries))
        if ordered != self._entries or joined != self._joined:
            self._entries = ordered
            self._joined = joined
            self._division += 1

    def may_start(self, customer: str, now: float) -> bool:
        """Return whether a request of `customer` may start now."""
        return self.ready_at(customer, now) <= now

    def ready_at(self, customer: str, now: float) -> float:
        """Return when a request may start; infinite when that depends on others ending."""
        part = self._part(customer, now)
        if part is None:
            return now
        if part.max_in_flight is not None and part.in_flight >= part.max_in_flight:
            return float("inf")
        if part.tokens_per_s:
            part.advance(now)
            if part.tokens < 0:
                return now - part.tokens / part.tokens_per_s
        return now

    def expected_wait(
        self, customer: str, queued: int, cost: float, service_s: float, now: float
    ) -> float:
        """Estimate how long the limits alone keep a new request from starting, in seconds.

        Args:
            customer: The customer.
            queued: Its requests that wait before this one.
            cost: Tokens charged for each.
            service_s: Mean seconds for which a request holds its slot.
            now: Monotonic time in seconds.
        """
        part = self._part(customer, now)
        if part is None:
            return 0.0
        wait = 0.0
        if part.max_in_flight is not None:
            behind = queued + 1 + part.in_flight - part.max_in_flight
            wait = max(0, behind) * service_s / max(part.max_in_flight, 0.1)
        if part.tokens_per_s:
            part.advance(now)
            wait = max(wait, (queued * cost - part.tokens) / part.tokens_per_s)
        return wait

    def started(self, customer: str, cost: float, now: float) -> None:
        """Charge a request that starts."""
        part = self._part(customer, now)
        if part is None:
            return
        part.in_flight += 1
        part.advance(now)
        part.tokens -= cost

    def finished(self, customer: str, difference: float, now: float) -> None:
        """Settle a request that ended.

        Args:
            customer: The customer.
            difference: Actual less charged tokens.
            now: Monotonic time in seconds.
        """
        part = self._part(customer, now)
        if part is None:
            return
        part.in_flight -= 1
        part.advance(now)
        part.tokens -= difference

    def forget_idle(self, now: float) -> None:
        """Drop the parts of customers that run nothing and have saved all they may."""
        for name, part in list(self._parts.items()):
            part.advance(now)
            if not part.in_flight and part.tokens >= part.burst:
                del self._parts[name]

    def _part(self, customer: str, now: float) -> _Part | None:
        part = self._parts.get(customer)
        if part is not None and part.division == self._division:
            return part
        limits = self._customers.get(customer)
        limited = limits is not None and (limits.tokens_per_minute or limits.max_in_flight)
        if part is None and not limited:
            return None
        if part is None:
            part = self._parts[customer] = _Part(updated=now)
            self._size(part, limits or Customer(customer, ()))
            part.tokens = part.burst
        else:
            part.advance(now)
            self._size(part, limits or Customer(customer, ()))
        return part

    def _size(self, part: _Part, limits: Customer) -> None:
        entries = len(self._entries)
        part.division = self._division
        if not self._joined:
            part.tokens_per_s = part.burst = part.tokens = 0.0
            part.max_in_flight = 0
            return
        part.tokens_per_s = limits.tokens_per_minute / MINUTE_S / entries
        part.burst = limits.tokens_per_minute / entries
        part.tokens = min(part.tokens, part.burst)
        rank = _rank(limits.name, self._name, self._entries)
        held = equal_part(limits.max_in_flight, rank, entries)
        part.max_in_flight = held if limits.max_in_flight else None


def _rank(customer: str, name: str, entries: Collection[str]) -> int:
    """Return this entry's place in the customer's rendezvous order."""
    ordered = sorted(entries, key=lambda entry: _score(customer, entry))
    return ordered.index(name)


def _score(customer: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{customer}\0{entry}".encode(), digest_size=8).digest()

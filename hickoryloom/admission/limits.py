"""This entry's share of each customer's limits."""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping

import attrs

from hickoryloom.admission.shares import equal_share
from hickoryloom.configuration import Customer

__all__ = ["CustomerLimits"]

MINUTE_S = 60.0


@attrs.define
class _LimitShare:
    """This entry's share of one customer's limits: a token bucket and a concurrency limit.

    Attributes:
        tokens_per_s: Refill rate of the bucket; 0 for no limit.
        burst: Size of the bucket.
        tokens: Available tokens; negative after responses that were longer than estimated.
        updated: Monotonic time of the last update, in seconds.
        max_in_flight: Maximum number of running requests; None for no limit.
        division_version: Version of the limits and of the set of entries for which the share was
            computed.
    """

    tokens_per_s: float = 0.0
    burst: float = 0.0
    tokens: float = 0.0
    updated: float = 0.0
    max_in_flight: int | None = None
    division_version: int = -1

    def advance(self, now: float) -> None:
        self.tokens = min(self.burst, self.tokens + (now - self.updated) * self.tokens_per_s)
        self.updated = now


class CustomerLimits:
    """Enforces this entry's shares of the customers' limits.

    The shares of all entries add up to each limit. An entry that loses contact with its peers
    keeps its current shares.

    Args:
        name: This entry's incarnation.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._entries: tuple[str, ...] = (name,)
        self._joined = True
        self._customers: Mapping[str, Customer] = {}
        self._shares: dict[str, _LimitShare] = {}
        self._running: dict[str, int] = {}
        self._division_version = 0

    @property
    def running(self) -> Collection[str]:
        """Customers with running requests."""
        return self._running.keys()

    def set_customers(self, customers: Mapping[str, Customer]) -> None:
        """Apply new limits."""
        self._customers = customers
        self._division_version += 1

    def set_entries(self, entries: Collection[str], joined: bool) -> None:
        """Divide the limits between entries.

        Args:
            entries: All entries that may start requests, including this one.
            joined: Whether all other entries have reduced what they run to their shares beside
                this one; until then its shares are 0.
        """
        ordered = tuple(sorted(entries))
        if ordered != self._entries or joined != self._joined:
            self._entries = ordered
            self._joined = joined
            self._division_version += 1

    def may_start(self, customer: str, now: float) -> bool:
        """Return whether a request of `customer` may start now."""
        return self.ready_at(customer, now) <= now

    def ready_at(self, customer: str, now: float) -> float:
        """Return when a request may start; infinite if another request has to finish first."""
        share = self._share(customer, now)
        if share is None:
            return now
        if self._is_full(customer, share):
            return float("inf")
        if share.tokens_per_s:
            share.advance(now)
            if share.tokens < 0:
                return now - share.tokens / share.tokens_per_s
        return now

    def expected_wait(
        self, customer: str, queued: int, cost: float, service_s: float, now: float
    ) -> float:
        """Estimate how long the customer's limits alone delay a new request, in seconds.

        Args:
            customer: The customer.
            queued: The customer's requests that are queued ahead of this one.
            cost: Tokens charged for each request.
            service_s: Mean time in seconds for which a request holds its slot.
            now: Monotonic time in seconds.
        """
        share = self._share(customer, now)
        if share is None:
            return 0.0
        wait = 0.0
        if share.max_in_flight is not None:
            excess = queued + 1 + self._running.get(customer, 0) - share.max_in_flight
            wait = max(0, excess) * service_s / max(share.max_in_flight, 0.1)
        if share.tokens_per_s:
            share.advance(now)
            wait = max(wait, (queued * cost - share.tokens) / share.tokens_per_s)
        return wait

    def started(self, customer: str, cost: float, now: float) -> None:
        """Charge a request that has started."""
        # Counted without a limit too, as one may be introduced while the request runs.
        self._running[customer] = self._running.get(customer, 0) + 1
        share = self._share(customer, now)
        if share is None:
            return
        share.advance(now)
        share.tokens -= cost

    def finished(self, customer: str, difference: float, now: float) -> None:
        """Release a finished request and correct its charge.

        Args:
            customer: The customer.
            difference: Actual minus charged tokens.
            now: Monotonic time in seconds.
        """
        self._running[customer] = self._running.get(customer, 0) - 1
        if self._running[customer] <= 0:
            del self._running[customer]
        share = self._share(customer, now)
        if share is None:
            return
        share.advance(now)
        share.tokens -= difference

    def over_share(self, now: float) -> bool:
        """Return whether more requests of a customer run than its current share allows."""
        for customer, running in self._running.items():
            share = self._share(customer, now)
            limit = None if share is None else share.max_in_flight
            if limit is not None and running > limit:
                return True
        return False

    def remove_idle(self, now: float) -> None:
        """Remove the shares of customers with no running request and a full bucket."""
        for name, share in list(self._shares.items()):
            share.advance(now)
            refilled = not share.tokens_per_s or share.tokens >= share.burst
            if name not in self._running and refilled:
                del self._shares[name]

    def _is_full(self, customer: str, share: _LimitShare) -> bool:
        if share.max_in_flight is None:
            return False
        return self._running.get(customer, 0) >= share.max_in_flight

    def _share(self, customer: str, now: float) -> _LimitShare | None:
        share = self._shares.get(customer)
        if share is not None and share.division_version == self._division_version:
            return share
        limits = self._customers.get(customer)
        limited = limits is not None and (limits.tokens_per_minute or limits.max_in_flight)
        if share is None and not limited:
            return None
        if share is None:
            share = self._shares[customer] = _LimitShare(updated=now)
            self._size(share, limits or Customer(customer, ()))
            share.tokens = share.burst
        else:
            share.advance(now)
            self._size(share, limits or Customer(customer, ()))
        return share

    def _size(self, share: _LimitShare, limits: Customer) -> None:
        entries = len(self._entries)
        share.division_version = self._division_version
        if not self._joined:
            share.tokens_per_s = share.burst = share.tokens = 0.0
            share.max_in_flight = 0
            return
        share.tokens_per_s = limits.tokens_per_minute / MINUTE_S / entries
        share.burst = limits.tokens_per_minute / entries
        share.tokens = min(share.tokens, share.burst)
        rank = _rank(limits.name, self._name, self._entries)
        in_flight_share = equal_share(limits.max_in_flight, rank, entries)
        share.max_in_flight = in_flight_share if limits.max_in_flight else None


def _rank(customer: str, name: str, entries: Collection[str]) -> int:
    """Return this entry's rank in the customer's rendezvous hashing order."""
    ordered = sorted(entries, key=lambda entry: _score(customer, entry))
    return ordered.index(name)


def _score(customer: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{customer}\0{entry}".encode(), digest_size=8).digest()

"""Acts as the operator of the system under test: replaces keys, adds and removes a route."""

from __future__ import annotations

import itertools

from gevent.lock import RLock

from hickoryloom.clock import Clock
from hickoryloom.soak.messages import Limits
from hickoryloom.soak.ports import SoakSite
from hickoryloom.soak.record import Record

__all__ = ["Operator"]


class Operator:
    """Changes the configuration, one change at a time, and records when each was acknowledged.

    Args:
        site: Platform stand-in that holds the configuration.
        record: Record to which the acknowledgements are added.
        clock: Time source.
        customers: Names of customers.
        keys_per_customer: Number of keys of each customer.
    """

    def __init__(
        self,
        site: SoakSite,
        record: Record,
        clock: Clock,
        customers: list[str],
        keys_per_customer: int,
    ) -> None:
        self._site = site
        self._record = record
        self._clock = clock
        self._lock = RLock()
        self._key_numbers = itertools.count(1)
        self._limits = Limits()
        self._extra_route = True
        self._removals = 0
        self._removed_at: float | None = None
        self._keys = {
            customer: [self._new_key(customer) for _ in range(keys_per_customer)]
            for customer in customers
        }

    @property
    def keys(self) -> list[tuple[str, str]]:
        """Pairs of a customer and one of its valid keys."""
        return [(customer, key) for customer, keys in self._keys.items() for key in keys]

    def publish(self) -> float:
        """Publish the configuration and return the time of its acknowledgement."""
        with self._lock:
            self._site.configure(self._keys, self._extra_route, self._limits)
            return self._clock.monotonic()

    def replace_key(self, target: float) -> None:
        """Withdraw a customer's oldest key and issue a new one."""
        with self._lock:
            customers = sorted(self._keys)
            customer = customers[min(int(target * len(customers)), len(customers) - 1)]
            withdrawn = self._keys[customer].pop(0)
            self._keys[customer].append(self._new_key(customer))
            self._record.withdrawn[withdrawn] = self.publish()

    def change_limits(self, limits: Limits) -> None:
        """Publish other limits."""
        with self._lock:
            self._limits = limits
            self.publish()

    def remove_extra_route(self) -> None:
        """Remove the extra route; removals may overlap."""
        with self._lock:
            self._removals += 1
            if self._removals > 1:
                return
            self._extra_route = False
            self._removed_at = self.publish()

    def add_extra_route(self) -> None:
        """Add the extra route again once all overlapping removals have ended."""
        with self._lock:
            self._removals -= 1
            if self._removals or self._removed_at is None:
                return
            self._record.route_removals.append((self._removed_at, self._clock.monotonic()))
            self._extra_route = True
            self.publish()

    def _new_key(self, customer: str) -> str:
        return f"key-{customer}-{next(self._key_numbers)}"

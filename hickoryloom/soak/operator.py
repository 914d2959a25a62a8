"""The operator of a soaked system: keys come and go, a route is added and removed."""

from __future__ import annotations

import itertools

from gevent.lock import RLock

from hickoryloom.clock import Clock
from hickoryloom.soak.ports import SoakSite
from hickoryloom.soak.record import Record

__all__ = ["Operator"]


class Operator:
    """Changes the configuration, one change at a time, and notes what was acknowledged when.

    Args:
        site: Where the configuration stands.
        record: Takes the acknowledgements.
        clock: Source of time.
        customers: Names of customers.
        keys_each: Keys of each customer.
    """

    def __init__(
        self, site: SoakSite, record: Record, clock: Clock, customers: list[str], keys_each: int
    ) -> None:
        self._site = site
        self._record = record
        self._clock = clock
        self._lock = RLock()
        self._numbers = itertools.count(1)
        self._extra_route = True
        self._removals = 0
        self._gone_since: float | None = None
        self._keys = {
            customer: [self._new_key(customer) for _ in range(keys_each)] for customer in customers
        }

    @property
    def keys(self) -> list[tuple[str, str]]:
        """Customers with each of their keys that hold now."""
        return [(customer, key) for customer, keys in self._keys.items() for key in keys]

    def publish(self) -> float:
        """Put the configuration in force; return the time of its acknowledgement."""
        with self._lock:
            self._site.configure(self._keys, self._extra_route)
            return self._clock.monotonic()

    def replace_key(self, target: float) -> None:
        """Withdraw a customer's oldest key and give it a new one."""
        with self._lock:
            customers = sorted(self._keys)
            customer = customers[min(int(target * len(customers)), len(customers) - 1)]
            withdrawn = self._keys[customer].pop(0)
            self._keys[customer].append(self._new_key(customer))
            self._record.withdrawn[withdrawn] = self.publish()

    def remove_extra_route(self) -> None:
        """Remove the route that comes and goes; removals may overlap."""
        with self._lock:
            self._removals += 1
            if self._removals > 1:
                return
            self._extra_route = False
            self._gone_since = self.publish()

    def add_extra_route(self) -> None:
        """Add the route again once all removals have ended."""
        with self._lock:
            self._removals -= 1
            if self._removals or self._gone_since is None:
                return
            self._record.route_gone.append((self._gone_since, self._clock.monotonic()))
            self._extra_route = True
            self.publish()

    def _new_key(self, customer: str) -> str:
        return f"key-{customer}-{next(self._numbers)}"

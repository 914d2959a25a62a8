"""Orders and releases as recorded in the platform before they are given."""

from __future__ import annotations

import attrs
import cattrs
from result import Err, Ok, Result

from hickoryloom.fleet.messages import Site

__all__ = ["OrderIntent", "PoolIntents", "ReleaseIntent", "intents_key", "read_intents"]


@attrs.frozen
class OrderIntent:
    """An order for one backend server, and the server for as long as it is there.

    Attributes:
        order_id: Makes the order idempotent.
        failure_domain: Where it is ordered.
        cheap: Whether the platform may reclaim it.
        backend_id: Id of the server; empty until the platform took the order.
        listed: Whether the platform's list has shown the server.
    """

    order_id: str
    failure_domain: str
    cheap: bool
    backend_id: str = ""
    listed: bool = False

    @property
    def site(self) -> Site:
        """Where it is ordered."""
        return Site(self.failure_domain, self.cheap)


@attrs.frozen
class ReleaseIntent:
    """A backend server that is drained and then given back."""

    order_id: str
    backend_id: str


@attrs.frozen
class PoolIntents:
    """All intents of one pool; one object, so that one conditional update records them.

    Attributes:
        pool: Name of the pool.
        term: Term of the holder that wrote it last.
        orders: Orders whose backend server is not gone.
        releases: Backend servers that are leaving.
        numbers: Counts all intents, so that ids are unique.
    """

    pool: str
    term: int
    orders: tuple[OrderIntent, ...] = ()
    releases: tuple[ReleaseIntent, ...] = ()
    numbers: int = 0

    def with_new(
        self, term: int, orders: tuple[Site, ...], releases: tuple[str, ...]
    ) -> PoolIntents:
        """Return the intents with new ones added."""
        first = self.numbers + 1
        new_orders = tuple(
            OrderIntent(f"{self.pool}-{term}-{n}", site.failure_domain, site.cheap)
            for n, site in enumerate(orders, first)
        )
        new_releases = tuple(
            ReleaseIntent(f"{self.pool}-{term}-{n}", backend_id)
            for n, backend_id in enumerate(releases, first + len(orders))
        )
        return attrs.evolve(
            self,
            term=term,
            orders=self.orders + new_orders,
            releases=self.releases + new_releases,
            numbers=self.numbers + len(orders) + len(releases),
        )


def intents_key(pool: str) -> str:
    """Return the key of a pool's intents."""
    return f"intents/fleet/{pool}"


def read_intents(value: object) -> Result[PoolIntents, str]:
    """Return intents from JSON, or what is wrong with them."""
    try:
        return Ok(cattrs.structure(value, PoolIntents))
    except Exception as error:
        return Err(f"{type(error).__name__}: {error}"[:200])

"""Orders and releases, recorded in the platform before they are submitted."""

from __future__ import annotations

import attrs
import cattrs
from result import Err, Ok, Result

from hickoryloom.fleet.messages import Site

__all__ = ["OrderIntent", "PoolIntents", "ReleaseIntent", "intents_key", "read_intents"]


@attrs.frozen
class OrderIntent:
    """An order for one backend server, kept until that server is gone.

    Attributes:
        order_id: Idempotency id of the order.
        failure_domain: Failure domain in which it is ordered.
        cheap: Whether the platform may reclaim it.
        backend_id: Id of the server; empty until the platform accepts the order.
        listed: Whether the server has appeared in the platform's list.
    """

    order_id: str
    failure_domain: str
    cheap: bool
    backend_id: str = ""
    listed: bool = False

    @property
    def site(self) -> Site:
        """Site at which the server is ordered."""
        return Site(self.failure_domain, self.cheap)


@attrs.frozen
class ReleaseIntent:
    """A backend server that is drained and then released."""

    order_id: str
    backend_id: str


@attrs.frozen
class PoolIntents:
    """All intents of one pool, in one object so that one conditional update records them.

    Attributes:
        pool: Name of the pool.
        term: Term of the lease holder that wrote the object last.
        orders: Orders whose backend server still exists or is expected.
        releases: Backend servers that are being drained.
        numbers: Number of intents made so far, from which unique ids are derived.
    """

    pool: str
    term: int
    orders: tuple[OrderIntent, ...] = ()
    releases: tuple[ReleaseIntent, ...] = ()
    numbers: int = 0

    def with_new(
        self, term: int, orders: tuple[Site, ...], releases: tuple[str, ...]
    ) -> PoolIntents:
        """Return a copy with new orders and releases added."""
        first_number = self.numbers + 1
        new_orders = tuple(
            OrderIntent(f"{self.pool}-{term}-{number}", site.failure_domain, site.cheap)
            for number, site in enumerate(orders, first_number)
        )
        new_releases = tuple(
            ReleaseIntent(f"{self.pool}-{term}-{number}", backend_id)
            for number, backend_id in enumerate(releases, first_number + len(orders))
        )
        return attrs.evolve(
            self,
            term=term,
            orders=self.orders + new_orders,
            releases=self.releases + new_releases,
            numbers=self.numbers + len(orders) + len(releases),
        )


def intents_key(pool: str) -> str:
    """Return the object key of a pool's intents."""
    return f"intents/fleet/{pool}"


def read_intents(value: object) -> Result[PoolIntents, str]:
    """Parse intents from a JSON value, or return a description of the error."""
    try:
        return Ok(cattrs.structure(value, PoolIntents))
    except Exception as error:
        return Err(f"{type(error).__name__}: {error}"[:200])

"""Draws the servers that a choice considers where a service has many.

This answers the load of a fleet with thousands of servers: evaluating each of them takes 20 to 30
ms of processor time for every request. The best of a dozen servers drawn at random is nearly as
good as the best of all, and the load spreads more evenly, since instances with the same old view
don't all select the same server. The homes of a prompt are considered beside the drawn ones. This
module performs no I/O.
"""

from __future__ import annotations

import bisect
from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from itertools import islice
from random import Random

import attrs

from hickoryloom.placing.short_prompts import compute_rank
from hickoryloom.placing.tracked import TrackedServer

__all__ = ["MAX_EVALUATED", "MIN_DRAWN", "HomeOrders", "ServerGroup"]

MAX_EVALUATED = 256
"""Number of servers of a service up to which a choice considers all of them."""

DRAWN_INSIDE = 7
DRAWN_OUTSIDE = 4
"""Servers drawn on both sides of the border of the failure domain. With the homes and a few for
prompts of the other length, a choice costs less than twice one among 10 servers."""

MIN_DRAWN = 3
"""Least number of drawn servers that may be used; with fewer, more servers are drawn."""

HOMES = 4
"""Homes considered for a prompt, of those that its session has."""

MAX_ORDERS = 128
"""Sessions whose order of servers is kept; one order of 3,000 servers takes 24 KB."""


@attrs.frozen
class ServerGroup:
    """Servers among which some are drawn.

    Attributes:
        servers: All of them.
        inside: Those in the failure domain of the instance.
        outside: The others.
    """

    servers: Sequence[TrackedServer]
    inside: Sequence[TrackedServer]
    outside: Sequence[TrackedServer]

    @classmethod
    def split(cls, servers: Sequence[TrackedServer], failure_domain: str) -> ServerGroup:
        """Return the group of some servers."""
        inside: list[TrackedServer] = []
        outside: list[TrackedServer] = []
        for tracked in servers:
            is_inside = tracked.server.failure_domain == failure_domain
            (inside if is_inside else outside).append(tracked)
        return cls(servers, inside, outside)

    def draw(
        self, rng: Random, factor: int, inside: int = DRAWN_INSIDE, outside: int = DRAWN_OUTSIDE
    ) -> list[TrackedServer]:
        """Return servers of both sides, `factor` times the given numbers."""
        return [
            *_draw(self.inside, rng, inside * factor),
            *_draw(self.outside, rng, outside * factor),
        ]


def _draw(servers: Sequence[TrackedServer], rng: Random, number: int) -> Sequence[TrackedServer]:
    if len(servers) <= number:
        return servers
    # Few of many are hardly ever drawn twice, and `Random.sample` takes several times as long.
    draws = {int(rng.random() * len(servers)): None for _ in range(number)}
    return [servers[index] for index in draws]


class HomeOrders:
    """The servers of a service in the order in which sessions prefer them.

    All instances compute the same order, by rendezvous hashing. Orders are kept over changes of the
    list of servers, which are few at a time.
    """

    def __init__(self) -> None:
        self._servers: Sequence[TrackedServer] = ()
        self._by_id: dict[str, TrackedServer] = {}
        self._version = 0
        self._orders: OrderedDict[str, tuple[int, list[str]]] = OrderedDict()

    @property
    def servers(self) -> int:
        """Number of servers that are ordered."""
        return len(self._by_id)

    def set_servers(self, servers: Sequence[TrackedServer]) -> None:
        """Set the servers of the service."""
        if servers is self._servers:
            return
        self._servers = servers
        self._by_id = {tracked.server.id: tracked for tracked in servers}
        self._version += 1

    def homes(self, session: str, number: int, rng: Random) -> Iterator[TrackedServer]:
        """Return some of the first servers of a session, in the order of preference if few are."""
        order = self._order(session)
        # Some may be full or paused, and the next ones take their place.
        ids: Iterable[str] = islice(order, HOMES)
        if number > HOMES:
            last = min(number, len(order))
            ids = dict.fromkeys(order[int(rng.random() * last)] for _ in range(HOMES))
        return (self._by_id[id] for id in ids)

    def lowest_rank(self, session: str, number: int) -> bytes:
        """Return the rank of the last of the first `number` servers of a session."""
        order = self._order(session)
        return compute_rank(session, order[min(number, len(order)) - 1])

    def _order(self, session: str) -> list[str]:
        version, order = self._orders.get(session, (0, []))
        if version != self._version:
            order = self._updated(session, order)
            self._orders[session] = (self._version, order)
            while len(self._orders) > MAX_ORDERS:
                self._orders.popitem(last=False)
        self._orders.move_to_end(session)
        return order

    def _updated(self, session: str, order: list[str]) -> list[str]:
        def key(id: str) -> bytes:
            # The order is descending, and `bisect` expects an ascending one.
            return bytes(255 - byte for byte in compute_rank(session, id))

        order = [id for id in order if id in self._by_id]
        new = self._by_id.keys() - set(order)
        if len(new) > len(self._by_id) // 8:
            return sorted(self._by_id, key=lambda id: compute_rank(session, id), reverse=True)
        for id in new:
            bisect.insort(order, id, key=key)
        return order

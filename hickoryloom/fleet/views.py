"""What the plan counts as servers of a pool."""

from __future__ import annotations

from collections.abc import Sequence

import attrs

from hickoryloom.configuration import Pool
from hickoryloom.fleet.intents import PoolIntents
from hickoryloom.fleet.messages import ServerState, ServerView, Site
from hickoryloom.platform import BackendState, LiveBackend

__all__ = ["drop_listed", "view_servers"]

STATES = {
    BackendState.STARTING: ServerState.STARTING,
    BackendState.LIVE: ServerState.RUNNING,
    BackendState.LEAVING: ServerState.LEAVING,
}


def drop_listed(intents: PoolIntents, backends: Sequence[LiveBackend]) -> PoolIntents:
    """Return the intents without orders whose backend server is in the live list."""
    listed = {backend.id for backend in backends}
    waiting = tuple(order for order in intents.orders if order.backend_id not in listed)
    return attrs.evolve(intents, orders=waiting)


def view_servers(
    pool: Pool, backends: Sequence[LiveBackend], intents: PoolIntents
) -> tuple[ServerView, ...]:
    """Return listed, ordered and fixed servers of a pool."""
    leaving = {release.backend_id for release in intents.releases}
    listed = [_view(backend, backend.id in leaving) for backend in backends]
    ordered = [
        ServerView(order.backend_id or order.order_id, order.site, ServerState.STARTING)
        for order in drop_listed(intents, backends).orders
    ]
    fixed = [
        ServerView(
            server.id, Site(server.failure_domain, server.cheap), ServerState.RUNNING, fixed=True
        )
        for server in pool.servers
    ]
    return (*listed, *ordered, *fixed)


def _view(backend: LiveBackend, leaving: bool) -> ServerView:
    state = ServerState.LEAVING if leaving else STATES[backend.state]
    return ServerView(backend.id, Site(backend.failure_domain, backend.cheap), state)

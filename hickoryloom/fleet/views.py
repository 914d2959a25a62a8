"""Builds the planner's view of a pool's servers."""

from __future__ import annotations

from collections.abc import Sequence

from hickoryloom.configuration import Pool
from hickoryloom.fleet.intents import OrderIntent, PoolIntents
from hickoryloom.fleet.messages import ServerState, ServerView, Site
from hickoryloom.store import BackendState, LiveBackend

__all__ = ["view_servers"]

SERVER_STATES = {
    BackendState.STARTING: ServerState.STARTING,
    BackendState.LIVE: ServerState.RUNNING,
    BackendState.LEAVING: ServerState.LEAVING,
}


def view_servers(
    pool: Pool, backends: Sequence[LiveBackend], intents: PoolIntents
) -> tuple[ServerView, ...]:
    """Return the listed, ordered and fixed servers of a pool."""
    leaving = {release.backend_id for release in intents.releases}
    listed = [_view_backend(backend, backend.id in leaving) for backend in backends]
    listed_ids = {backend.id for backend in backends}
    ordered = [
        _view_order(order, order.backend_id in leaving)
        for order in intents.orders
        if order.backend_id not in listed_ids
    ]
    fixed = [
        ServerView(
            server.id, Site(server.failure_domain, server.cheap), ServerState.RUNNING, fixed=True
        )
        for server in pool.servers
    ]
    return (*listed, *ordered, *fixed)


def _view_backend(backend: LiveBackend, leaving: bool) -> ServerView:
    state = ServerState.LEAVING if leaving else SERVER_STATES[backend.state]
    return ServerView(backend.id, Site(backend.failure_domain, backend.cheap), state)


def _view_order(order: OrderIntent, leaving: bool) -> ServerView:
    """Return a server missing from the list: not listed yet, or listed before and missing."""
    state = ServerState.RUNNING if order.listed else ServerState.STARTING
    name = order.backend_id or order.order_id
    return ServerView(name, order.site, ServerState.LEAVING if leaving else state)

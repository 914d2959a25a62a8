"""List of live backend servers, built from registrations that change, expire and return.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.discovery.messages import BackendServer

__all__ = ["LiveList"]

REREGISTRATION_GRACE_S = 2.0
"""Time for backend servers to register again after a store outage, in seconds.

Registrations that expired during the outage are back within this time.
"""


@attrs.define
class LiveList:
    """Backend servers that are considered live.

    A registration that disappears while the store is available belongs to a backend server that
    has left. One that disappears during an outage, or is missing right after it, may belong to a
    live backend server, so it is kept until `REREGISTRATION_GRACE_S` after the store's recovery.
    A backend server once seen as leaving stays marked until it restarts.
    """

    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _missing: set[str] = attrs.field(factory=set)
    _store_lost: bool = False
    _grace_until: float = 0.0

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All known backend servers, including leaving ones."""
        return tuple(self._servers.values())

    def get(self, id: str) -> BackendServer | None:
        """Return a backend server, or None if it is unknown."""
        return self._servers.get(id)

    def on_store_lost(self) -> None:
        """Handle a failed call to the store."""
        self._store_lost = True

    def on_store_response(self, now: float) -> None:
        """Handle a response from the store; after an outage, start the grace period."""
        if self._store_lost:
            self._store_lost = False
            self._grace_until = now + REREGISTRATION_GRACE_S

    def replace(self, servers: Iterable[BackendServer], now: float) -> None:
        """Apply a complete list of registrations."""
        listed = {server.id: server for server in servers}
        for server in listed.values():
            self.put(server)
        for id in [id for id in self._servers if id not in listed]:
            self.remove(id, now)

    def put(self, server: BackendServer) -> None:
        """Add or update one registration."""
        self._missing.discard(server.id)
        known = self._servers.get(server.id)
        if known is not None and known.started_ms == server.started_ms and known.leaving:
            server = attrs.evolve(server, leaving=True)
        self._servers[server.id] = server

    def remove(self, id: str, now: float) -> None:
        """Handle the removal of a registration."""
        if id not in self._servers:
            return
        if self._store_lost or now < self._grace_until:
            self._missing.add(id)
        else:
            self._drop(id)

    def expire(self, now: float) -> None:
        """Drop backend servers still missing after the grace period."""
        if self._store_lost or now < self._grace_until:
            return
        for id in list(self._missing):
            self._drop(id)

    def _drop(self, id: str) -> None:
        self._servers.pop(id, None)
        self._missing.discard(id)

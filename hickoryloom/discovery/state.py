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

MISSING_GRACE_S = 1.8
"""Longest use of a backend server after its removal was seen, in seconds: a request must arrive
within two seconds of the removal."""


@attrs.define
class LiveList:
    """Backend servers that are considered live.

    A registration that disappears while the store is available belongs to a backend server that
    has left. One that disappears right after an outage may belong to a live backend server, so it
    is kept until `REREGISTRATION_GRACE_S` after the store's recovery. A further outage does not
    extend this time. A backend server once seen as leaving stays marked until it restarts.
    """

    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _missing: dict[str, float] = attrs.field(factory=dict)
    _available_since: float | None = None

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All known backend servers, including leaving ones."""
        return tuple(self._servers.values())

    @property
    def next_expiry(self) -> float | None:
        """Monotonic time at which the next missing backend server is dropped."""
        return min(self._missing.values(), default=None)

    @property
    def expiries(self) -> dict[str, float]:
        """Monotonic time at which each missing backend server is dropped, by id."""
        return dict(self._missing)

    def get(self, id: str) -> BackendServer | None:
        """Return a backend server, or None if it is unknown."""
        return self._servers.get(id)

    def on_available(self, since: float | None) -> None:
        """Set the monotonic time of the first response after the store's last outage."""
        self._available_since = since

    def replace(self, servers: Iterable[BackendServer], now: float) -> None:
        """Apply a complete list of registrations."""
        listed = {server.id: server for server in servers}
        for server in listed.values():
            self.put(server)
        for id in [id for id in self._servers if id not in listed]:
            self.remove(id, now)

    def put(self, server: BackendServer) -> None:
        """Add or update one registration."""
        self._missing.pop(server.id, None)
        known = self._servers.get(server.id)
        if known is not None and known.started_ms == server.started_ms and known.leaving:
            server = attrs.evolve(server, leaving=True)
        self._servers[server.id] = server

    def remove(self, id: str, now: float) -> None:
        """Handle the removal of a registration."""
        if id not in self._servers or id in self._missing:
            return
        recovered_at = now if self._available_since is None else self._available_since
        expiry = min(recovered_at + REREGISTRATION_GRACE_S, now + MISSING_GRACE_S)
        if now < expiry:
            self._missing[id] = expiry
        else:
            self._drop(id)

    def expire(self, now: float) -> None:
        """Drop backend servers still missing after the grace period."""
        for id in [id for id, expiry in self._missing.items() if now >= expiry]:
            self._drop(id)

    def mark_missing(self, id: str, expiry: float) -> None:
        """Drop a backend server at `expiry` unless it registers again."""
        if id in self._servers:
            self._missing[id] = expiry

    def drop(self, ids: Iterable[str]) -> None:
        """Drop backend servers at once."""
        for id in ids:
            self._drop(id)

    def _drop(self, id: str) -> None:
        self._servers.pop(id, None)
        self._missing.pop(id, None)

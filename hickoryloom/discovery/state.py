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


COPY_GRACE_S = 6.0
"""Time after the store's return from an older copy within which it removes the registrations of
backend servers that no longer write to it, in seconds."""

MAX_DEPARTED = 4096
"""Number of backend servers that are remembered after they have left."""


@attrs.frozen
class _Departure:
    """A backend server that has left.

    Attributes:
        started_ms: Unix time of its start, in milliseconds.
        announced: Whether it had announced that it leaves.
        era: Era of the store at that time.
    """

    started_ms: int
    announced: bool
    era: int


@attrs.define
class LiveList:
    """Backend servers that are considered live.

    A registration that disappears while the store is available belongs to a backend server that
    has left. One that disappears right after an outage may belong to a live backend server, so it
    is kept until `REREGISTRATION_GRACE_S` after the store's recovery. A further outage does not
    extend this time. A backend server once seen as leaving stays marked until it restarts.

    A store that returned from an older copy may list backend servers that have left since. Those
    are withheld until `COPY_GRACE_S` after the return, when only living ones are still registered.
    """

    _servers: dict[str, BackendServer] = attrs.field(factory=dict)
    _missing: dict[str, float] = attrs.field(factory=dict)
    _available_since: float | None = None
    _departed: dict[str, _Departure] = attrs.field(factory=dict)
    _withheld: dict[str, BackendServer] = attrs.field(factory=dict)
    _era: int | None = None
    _returned_at: float | None = None

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All known backend servers, including leaving ones."""
        return tuple(self._servers.values())

    @property
    def next_expiry(self) -> float | None:
        """Monotonic time at which the next missing backend server is dropped, or a withheld one
        is used.
        """
        expiries = list(self._missing.values())
        if self._withheld:
            expiries.append(self._withheld_until)
        return min(expiries, default=None)

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

    def on_era(self, era: int, now: float) -> None:
        """Set the era of the store; a later one than before means that it lost writes."""
        if self._era is not None and era > self._era:
            self._returned_at = now
        self._era = era if self._era is None else max(era, self._era)

    def replace(self, servers: Iterable[BackendServer], now: float) -> None:
        """Apply a complete list of registrations."""
        listed = {server.id: server for server in servers if not self._is_replaced(server)}
        for server in listed.values():
            self.put(server)
        for id in [id for id in (*self._servers, *self._withheld) if id not in listed]:
            self.remove(id, now)

    def put(self, server: BackendServer) -> None:
        """Add or update one registration."""
        if self._is_replaced(server):
            return
        server = self._with_start(server)
        departure = self._departed.get(server.id)
        if departure is not None:
            same_start = server.started_ms == departure.started_ms
            if same_start and departure.announced:
                server = attrs.evolve(server, leaving=True)
            elif self._returned_at is not None and (
                0 < server.started_ms < departure.started_ms
                or (same_start and departure.era < (self._era or 0))
            ):
                self._withheld[server.id] = server
                return
            else:
                del self._departed[server.id]
                self._withheld.pop(server.id, None)
        self._missing.pop(server.id, None)
        known = self._servers.get(server.id)
        if known is not None and known.leaving and known.started_ms in (0, server.started_ms):
            server = attrs.evolve(server, leaving=True)
        self._servers[server.id] = server

    def remove(self, id: str, now: float) -> None:
        """Handle the removal of a registration."""
        self._withheld.pop(id, None)
        if id not in self._servers or id in self._missing:
            return
        recovered_at = now if self._available_since is None else self._available_since
        expiry = min(recovered_at + REREGISTRATION_GRACE_S, now + MISSING_GRACE_S)
        if now < expiry:
            self._missing[id] = expiry
        else:
            self._drop(id)

    def expire(self, now: float) -> None:
        """Drop backend servers still missing, and use withheld ones, after the grace periods."""
        if self._withheld and now >= self._withheld_until:
            withheld, self._withheld = self._withheld, {}
            for id, server in withheld.items():
                self._departed.pop(id, None)
                self.put(server)
        for id in [id for id, expiry in self._missing.items() if now >= expiry]:
            self._drop(id)

    def mark_leaving(self, id: str, started_ms: int) -> bool:
        """Mark a backend server that announced its leaving; return whether that was not known."""
        known = self._servers.get(id)
        if known is None or known.started_ms != started_ms:
            self._withheld.pop(id, None)
            self._remember(id, _Departure(started_ms, True, self._era or 0))
            return False
        self._servers[id] = attrs.evolve(known, leaving=True)
        return not known.leaving

    def mark_missing(self, id: str, expiry: float) -> None:
        """Drop a backend server at `expiry` unless it registers again."""
        if id in self._servers:
            self._missing[id] = expiry

    def drop(self, ids: Iterable[str]) -> None:
        """Drop backend servers at once."""
        for id in ids:
            self._drop(id)

    @property
    def _withheld_until(self) -> float:
        """Monotonic time from which withheld backend servers are used."""
        return (self._returned_at or 0.0) + COPY_GRACE_S

    def _drop(self, id: str) -> None:
        server = self._servers.pop(id, None)
        self._missing.pop(id, None)
        if server is not None:
            self._remember(id, _Departure(server.started_ms, server.leaving, self._era or 0))

    def _remember(self, id: str, departure: _Departure) -> None:
        if not departure.started_ms:
            # Nothing tells this start of the server from a later one.
            return
        self._departed.pop(id, None)
        self._departed[id] = departure
        if len(self._departed) > MAX_DEPARTED:
            oldest = next(iter(self._departed))
            del self._departed[oldest]
            self._withheld.pop(oldest, None)

    def _with_start(self, server: BackendServer) -> BackendServer:
        """Return a registration that names no start with that of the server as it is known."""
        known = self._servers.get(server.id)
        if server.started_ms or known is None:
            return server
        return attrs.evolve(server, started_ms=known.started_ms)

    def _is_replaced(self, server: BackendServer) -> bool:
        """Return whether a registration from a copy is that of an earlier start of its server."""
        known = self._servers.get(server.id)
        if self._returned_at is None or known is None:
            return False
        return 0 < server.started_ms < known.started_ms

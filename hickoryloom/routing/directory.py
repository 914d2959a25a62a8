"""Joins what several sources say of backend servers; a word on leaving is never forgotten."""

from __future__ import annotations

from collections.abc import Iterable

import attrs

from hickoryloom.configuration import EMPTY_SNAPSHOT, Pool, Snapshot, StaticBackend
from hickoryloom.platform import BackendState, LiveBackend
from hickoryloom.routing.messages import BackendView

__all__ = ["DirectoryState"]

DEFAULT_SLOTS = 8
FRESH_REPORT_S = 5.0
SUSPICIOUS_LOSS_PART = 0.5


@attrs.define
class DirectoryState:
    """The directory's knowledge, without sockets.

    A listed backend server that any source once called leaving stays so, since the platform's
    list may lag behind. A static one may take its own word back, because it restarts
    under the same id.
    """

    _snapshot: Snapshot = EMPTY_SNAPSHOT
    _listed: dict[str, LiveBackend] = attrs.field(factory=dict)
    _missing: dict[str, LiveBackend] = attrs.field(factory=dict)
    _listed_leaving: set[str] = attrs.field(factory=set)
    _own_leaving: set[str] = attrs.field(factory=set)
    _peer_leaving: set[str] = attrs.field(factory=set)
    _answered: dict[str, float] = attrs.field(factory=dict)

    @property
    def leaving(self) -> tuple[str, ...]:
        """Ids known to be leaving from the list or from their own word, to be told to peers."""
        return tuple(sorted(self._listed_leaving | self._own_leaving))

    def set_snapshot(self, snapshot: Snapshot) -> None:
        """Take a generation of the configuration."""
        self._snapshot = snapshot

    def apply_list(self, backends: Iterable[LiveBackend]) -> None:
        """Take the platform's list.

        A row that vanishes counts as gone, unless more than half of the list vanished at
        once: then those rows are kept while they answer for themselves.
        """
        rows = {backend.id: backend for backend in backends}
        lost = {id: row for id, row in self._listed.items() if id not in rows}
        suspicious = len(lost) > SUSPICIOUS_LOSS_PART * len(self._listed)
        if suspicious:
            self._missing.update(lost)
        self._missing = {id: row for id, row in self._missing.items() if id not in rows}
        self._listed = rows
        for row in rows.values():
            if row.state is BackendState.LEAVING:
                self._listed_leaving.add(row.id)

    def apply_own_word(self, backend_id: str, leaving: bool, now: float) -> None:
        """Take a backend server's own word, received at `now`."""
        self._answered[backend_id] = now
        if leaving:
            self._own_leaving.add(backend_id)
        elif backend_id not in self._listed:
            self._own_leaving.discard(backend_id)

    def apply_peers(self, leaving: Iterable[str]) -> None:
        """Take the ids that live peers now call leaving."""
        told = set(leaving)
        self._peer_leaving = told | {id for id in self._peer_leaving if id in self._listed}

    def views(self, now: float) -> tuple[BackendView, ...]:
        """Return all backend servers known, leaving ones included."""
        found: dict[str, BackendView] = {}
        for pool in self._snapshot.pools.values():
            for server in pool.servers:
                found[server.id] = self._view(server, pool, pool.name)
        rows = [*self._listed.values(), *self._kept(now)]
        for row in rows:
            if row.state is BackendState.STARTING:
                continue
            found.setdefault(row.id, self._view(row, self._snapshot.pools.get(row.pool), row.pool))
        return tuple(found.values())

    def _kept(self, now: float) -> list[LiveBackend]:
        return [
            row
            for row in self._missing.values()
            if now - self._answered.get(row.id, -FRESH_REPORT_S) < FRESH_REPORT_S
        ]

    def _view(
        self, row: LiveBackend | StaticBackend, pool: Pool | None, pool_name: str
    ) -> BackendView:
        return BackendView(
            id=row.id,
            address=row.address,
            failure_domain=row.failure_domain,
            pool=pool_name,
            cheap=row.cheap,
            slots=pool.slots if pool else DEFAULT_SLOTS,
            leaving=self._is_leaving(row.id),
            fences=pool.fences if pool else True,
        )

    def _is_leaving(self, id: str) -> bool:
        words = (self._listed_leaving, self._own_leaving, self._peer_leaving)
        return any(id in word for word in words)

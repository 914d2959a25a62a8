"""Joins what several sources say of backend servers; a word on leaving is never forgotten."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from hickoryloom.configuration import EMPTY_SNAPSHOT, Pool, Snapshot, StaticBackend
from hickoryloom.routing.messages import BackendView
from hickoryloom.store import BackendState, LiveBackend

__all__ = ["DirectoryState"]

DEFAULT_SLOTS = 8
MAX_LEFT = 20_000
FRESH_REPORT_S = 5.0
SUSPICIOUS_LOSS_PART = 0.5


@attrs.define
class DirectoryState:
    """The directory's knowledge, without sockets.

    An ordered backend server that any source once called leaving stays so, since the platform's
    list may lag or come from a stale read. A static one may take its own word back, because
    it restarts under the same id.
    """

    _snapshot: Snapshot = EMPTY_SNAPSHOT
    _static: frozenset[str] = frozenset()
    _listed: dict[str, LiveBackend] = attrs.field(factory=dict)
    _missing: dict[str, LiveBackend] = attrs.field(factory=dict)
    _left: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _static_own: set[str] = attrs.field(factory=set)
    _static_peers: set[str] = attrs.field(factory=set)
    _answered: dict[str, float] = attrs.field(factory=dict)

    @property
    def leaving(self) -> tuple[str, ...]:
        """Ids to be told to peers as leaving: not those static ones that only peers told."""
        ordered = {id for id in self._left if id in self._listed or id in self._missing}
        return tuple(sorted(ordered | self._static_own))

    def set_snapshot(self, snapshot: Snapshot) -> None:
        """Take a generation of the configuration."""
        self._snapshot = snapshot
        pools = snapshot.pools.values()
        self._static = frozenset(server.id for pool in pools for server in pool.servers)

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
        known = rows.keys() | self._missing.keys() | self._static
        self._answered = {id: at for id, at in self._answered.items() if id in known}
        for row in rows.values():
            if row.state is BackendState.LEAVING:
                self._mark_left(row.id)

    def apply_own_word(self, backend_id: str, leaving: bool, now: float) -> bool:
        """Take a backend server's own word, received at `now`; return whether it is news."""
        known = self._is_leaving(backend_id)
        self._answered[backend_id] = now
        if backend_id not in self._static:
            if leaving:
                self._mark_left(backend_id)
        elif leaving:
            self._static_own.add(backend_id)
        else:
            self._static_own.discard(backend_id)
        return known != self._is_leaving(backend_id)

    def apply_peers(self, leaving: Iterable[str]) -> None:
        """Take the ids that live peers now call leaving."""
        told = set(leaving)
        self._static_peers = told & self._static
        for id in told - self._static:
            self._mark_left(id)

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
        if id in self._static:
            return id in self._static_own or id in self._static_peers
        return id in self._left

    def _mark_left(self, id: str) -> None:
        if id in self._left or id in self._static:
            return
        self._left[id] = None
        if len(self._left) > MAX_LEFT:
            self._left.popitem(last=False)

"""Merges several sources of information about backend servers; a leaving mark is permanent."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

import attrs

from hickoryloom.configuration import EMPTY_SNAPSHOT, Pool, Snapshot, StaticBackend
from hickoryloom.routing.messages import BackendView
from hickoryloom.store import BackendState, LiveBackend

__all__ = ["DirectoryState"]

DEFAULT_SLOTS = 8
MAX_LEAVING_IDS = 20_000
REPORT_TTL_S = 5.0
MASS_REMOVAL_RATIO = 0.5


@attrs.define
class DirectoryState:
    """State of the directory, free of I/O.

    A dynamically provisioned backend server that any source has reported as leaving stays
    marked, since the platform's list may lag or come from a stale read. A static one may report
    that it is no longer leaving, because it restarts under the same ID.
    """

    _snapshot: Snapshot = EMPTY_SNAPSHOT
    _static_ids: frozenset[str] = frozenset()
    _listed: dict[str, LiveBackend] = attrs.field(factory=dict)
    _missing: dict[str, LiveBackend] = attrs.field(factory=dict)
    _leaving_ids: OrderedDict[str, None] = attrs.field(factory=OrderedDict)
    _static_self_leaving: set[str] = attrs.field(factory=set)
    _static_peer_leaving: set[str] = attrs.field(factory=set)
    _last_report_at: dict[str, float] = attrs.field(factory=dict)

    @property
    def leaving(self) -> tuple[str, ...]:
        """IDs to report to peers as leaving, without static ones known only from peers."""
        ordered = {id for id in self._leaving_ids if id in self._listed or id in self._missing}
        return tuple(sorted(ordered | self._static_self_leaving))

    def set_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a new generation of the configuration."""
        self._snapshot = snapshot
        pools = snapshot.pools.values()
        self._static_ids = frozenset(server.id for pool in pools for server in pool.servers)

    def apply_list(self, backends: Iterable[LiveBackend]) -> None:
        """Apply the platform's list.

        A backend server that is no longer listed is removed, unless more than half of the list
        disappeared at once: those are kept as long as they respond to load polls.
        """
        rows = {backend.id: backend for backend in backends}
        removed = {id: row for id, row in self._listed.items() if id not in rows}
        mass_removal = len(removed) > MASS_REMOVAL_RATIO * len(self._listed)
        if mass_removal:
            self._missing.update(removed)
        self._missing = {id: row for id, row in self._missing.items() if id not in rows}
        self._listed = rows
        known = rows.keys() | self._missing.keys() | self._static_ids
        self._last_report_at = {id: at for id, at in self._last_report_at.items() if id in known}
        for row in rows.values():
            if row.state is BackendState.LEAVING:
                self._mark_leaving(row.id)

    def apply_self_report(self, backend_id: str, leaving: bool, now: float) -> bool:
        """Apply a backend server's own report, received at `now`.

        Returns whether this changed the leaving state of the backend server.
        """
        was_leaving = self._is_leaving(backend_id)
        self._last_report_at[backend_id] = now
        if backend_id not in self._static_ids:
            if leaving:
                self._mark_leaving(backend_id)
        elif leaving:
            self._static_self_leaving.add(backend_id)
        else:
            self._static_self_leaving.discard(backend_id)
        return was_leaving != self._is_leaving(backend_id)

    def apply_peer_leaving(self, leaving: Iterable[str]) -> None:
        """Apply the IDs that live peers currently report as leaving."""
        reported = set(leaving)
        self._static_peer_leaving = reported & self._static_ids
        for id in reported - self._static_ids:
            self._mark_leaving(id)

    def views(self, now: float) -> tuple[BackendView, ...]:
        """Return all known backend servers, including leaving ones."""
        found: dict[str, BackendView] = {}
        for pool in self._snapshot.pools.values():
            for server in pool.servers:
                found[server.id] = self._view(server, pool, pool.name)
        rows = [*self._listed.values(), *self._retained_rows(now)]
        for row in rows:
            if row.state is BackendState.STARTING:
                continue
            found.setdefault(row.id, self._view(row, self._snapshot.pools.get(row.pool), row.pool))
        return tuple(found.values())

    def _retained_rows(self, now: float) -> list[LiveBackend]:
        return [
            row
            for row in self._missing.values()
            if now - self._last_report_at.get(row.id, -REPORT_TTL_S) < REPORT_TTL_S
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
            software=row.software if isinstance(row, LiveBackend) else "",
        )

    def _is_leaving(self, id: str) -> bool:
        if id in self._static_ids:
            return id in self._static_self_leaving or id in self._static_peer_leaving
        return id in self._leaving_ids

    def _mark_leaving(self, id: str) -> None:
        if id in self._leaving_ids or id in self._static_ids:
            return
        self._leaving_ids[id] = None
        if len(self._leaving_ids) > MAX_LEAVING_IDS:
            self._leaving_ids.popitem(last=False)

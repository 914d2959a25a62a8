"""Numbered changes of the registrations, from which followers are sent what they lack.

This module performs no I/O.
"""

from __future__ import annotations

from collections.abc import Mapping

import attrs

from hickoryloom.discovery import BackendServer
from hickoryloom.sharing.messages import SharedServer

__all__ = ["ServerHistory"]

MAX_REMOVED = 1_000
"""Removals remembered; a follower that missed more of them is sent the complete list."""


@attrs.define
class _Entry:
    server: BackendServer
    expires_at: float | None
    sequence: int


@attrs.define
class ServerHistory:
    """Current backend servers with the sequence number of the last change of each one.

    Attributes:
        sequence: Number of the last change.
    """

    sequence: int = 0
    _entries: dict[str, _Entry] = attrs.field(factory=dict)
    _removed: dict[str, int] = attrs.field(factory=dict)
    _forgotten: int = 0

    def update(self, servers: Mapping[str, BackendServer], expiries: Mapping[str, float]) -> None:
        """Record the current backend servers.

        Args:
            servers: Backend servers by id.
            expiries: Monotonic time at which each missing one is dropped, by id.
        """
        for id, server in servers.items():
            known = self._entries.get(id)
            expires_at = expiries.get(id)
            if known is None or known.server != server or known.expires_at != expires_at:
                self.sequence += 1
                self._entries[id] = _Entry(server, expires_at, self.sequence)
                self._removed.pop(id, None)
        for id in [id for id in self._entries if id not in servers]:
            self.sequence += 1
            del self._entries[id]
            self._removed[id] = self.sequence
        while len(self._removed) > MAX_REMOVED:
            self._forgotten = self._removed.pop(next(iter(self._removed)))

    def can_continue(self, sequence: int) -> bool:
        """Return whether the changes after `sequence` are known."""
        return self._forgotten <= sequence <= self.sequence

    def changes_since(
        self, sequence: int, now: float
    ) -> tuple[tuple[SharedServer, ...], tuple[str, ...]]:
        """Return the backend servers changed and the ids removed after `sequence`."""
        changed = tuple(
            SharedServer(
                entry.server,
                None if entry.expires_at is None else max(0.0, entry.expires_at - now),
            )
            for entry in self._entries.values()
            if entry.sequence > sequence
        )
        removed = tuple(id for id, number in self._removed.items() if number > sequence)
        return changed, removed

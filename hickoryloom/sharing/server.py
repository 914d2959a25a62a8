"""Reader side: answers the polls of followers."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any
from urllib.parse import parse_qs

import cattrs

from hickoryloom.catalog import CatalogFollower
from hickoryloom.clock import Clock
from hickoryloom.discovery import Discovery
from hickoryloom.sharing.history import ServerHistory
from hickoryloom.sharing.messages import ViewUpdate

__all__ = ["VIEW_PATH", "ViewServer"]

VIEW_PATH = "/view"

FOLLOWED_S = 8.0
"""Time after the last poll of a follower during which this instance keeps reading the store. A
follower that found no current view asks again within this time."""


class ViewServer:
    """Serves this instance's view of the store to followers.

    An instance that is polled reads the store itself, also if it would follow another one, so that
    what it passes on is never second-hand.

    Args:
        epoch: Key of this process.
        clock: Source of time.
        catalog: Provides the confirmed version of the configuration.
        discovery: Provides the backend servers.
    """

    def __init__(
        self, epoch: str, clock: Clock, catalog: CatalogFollower, discovery: Discovery
    ) -> None:
        self._epoch = epoch
        self._clock = clock
        self._catalog = catalog
        self._discovery = discovery
        self._history = ServerHistory()
        self._polled_at: float | None = None

    @property
    def is_followed(self) -> bool:
        """Whether another instance has polled this one recently."""
        if self._polled_at is None:
            return False
        return self._clock.monotonic() - self._polled_at < FOLLOWED_S

    def update(self, epoch: str, sequence: int) -> ViewUpdate | None:
        """Return what a follower lacks; None if this instance has no view of its own.

        Args:
            epoch: Epoch of the follower's last update.
            sequence: Sequence number of the follower's last update.
        """
        self._polled_at = now = self._clock.monotonic()
        self._catalog.read_often(now + FOLLOWED_S)
        confirmed = self._catalog.confirmed_by_store
        if confirmed is None or not self._discovery.follows_store:
            return None
        self._history.update(self._discovery.servers_by_id(), self._discovery.expiries())
        complete = epoch != self._epoch or not self._history.can_continue(sequence)
        servers, removed = self._history.changes_since(0 if complete else sequence, now)
        return ViewUpdate(
            epoch=self._epoch,
            sequence=self._history.sequence,
            complete=complete,
            config_version=confirmed.version,
            config_age_s=now - confirmed.confirmed_at,
            servers=servers,
            removed=() if complete else removed,
        )

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve a poll as a WSGI application."""
        query = parse_qs(environ.get("QUERY_STRING", ""))
        epoch = query.get("epoch", [""])[0]
        after = query.get("after", ["0"])[0]
        update = self.update(epoch, int(after) if after.isascii() and after.isdigit() else 0)
        body = b"" if update is None else json.dumps(cattrs.unstructure(update)).encode()
        status = "503 Service Unavailable" if update is None else "200 OK"
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response(status, headers)
        return [body]

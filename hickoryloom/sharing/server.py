"""Reader side: answers the polls of followers."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import Any

import logbook
from result import Err

from hickoryloom.catalog import CatalogFollower
from hickoryloom.clock import Clock
from hickoryloom.contention import Contention, build_inactive_contention
from hickoryloom.discovery import Discovery
from hickoryloom.evacuations import EvacuationFollower
from hickoryloom.logs import log_event
from hickoryloom.placing import Placer
from hickoryloom.sharing.history import ServerHistory
from hickoryloom.sharing.messages import (
    Poll,
    SharedEvacuations,
    ViewUpdate,
    encode_update,
    read_poll,
)
from hickoryloom.sharing.sample import build_samples

__all__ = ["VIEW_PATH", "ViewServer"]

VIEW_PATH = "/view"

MAX_POLL_BYTES = 16 * 1024

log = logbook.Logger("hickoryloom.sharing")

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
        placer: Provides this instance's samples, and receives those of its followers.
        contention: The same of the work of customers; None for no exchange of it.
        evacuations: Provides the evacuated failure domains; None if they are not read.
    """

    def __init__(
        self,
        epoch: str,
        clock: Clock,
        catalog: CatalogFollower,
        discovery: Discovery,
        placer: Placer,
        evacuations: EvacuationFollower | None = None,
        contention: Contention | None = None,
    ) -> None:
        self._evacuations = evacuations
        self._samples = build_samples(placer, contention or build_inactive_contention())
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

    def update(self, poll: Poll) -> ViewUpdate | None:
        """Return what a follower lacks; None if this instance has no view of its own."""
        self._polled_at = now = self._clock.monotonic()
        self._catalog.read_often(now + FOLLOWED_S)
        self._discovery.watch_often(now + FOLLOWED_S)
        if self._evacuations is not None:
            self._evacuations.read_often(now + FOLLOWED_S)
        samples = self._samples.combine(poll.key, poll.samples, now)
        confirmed = self._catalog.confirmed_by_store
        servers_at = self._discovery.confirmed_at
        if confirmed is None or servers_at is None or not self._discovery.follows_store:
            return None
        self._history.update(self._discovery.servers_by_id(), self._discovery.expiries())
        complete = poll.epoch != self._epoch or not self._history.can_continue(poll.sequence)
        servers, removed = self._history.changes_since(0 if complete else poll.sequence, now)
        return ViewUpdate(
            epoch=self._epoch,
            sequence=self._history.sequence,
            complete=complete,
            config_version=confirmed.version,
            config_age_s=now - confirmed.confirmed_at,
            servers_age_s=now - servers_at,
            servers=servers,
            removed=() if complete else removed,
            store_era=self._discovery.store_era,
            evacuations=self._shared_evacuations(now),
            samples=samples,
        )

    def _shared_evacuations(self, now: float) -> SharedEvacuations | None:
        view = None if self._evacuations is None else self._evacuations.confirmed_by_store
        if view is None:
            return None
        return SharedEvacuations(
            tuple(sorted(view.domains)), view.revision, now - view.confirmed_at
        )

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve a poll as a WSGI application."""
        poll = read_poll(_read_json(environ))
        if isinstance(poll, Err):
            log_event(log, "poll-invalid", detail=poll.err_value)
            return _respond(start_response, "400 Bad Request", b"")
        update = self.update(poll.ok_value)
        if update is None:
            return _respond(start_response, "503 Service Unavailable", b"")
        return _respond(start_response, "200 OK", json.dumps(encode_update(update)).encode())


def _read_json(environ: dict[str, Any]) -> Any:
    """Return the JSON value of a request's body; None if there is none."""
    try:
        return json.loads(environ["wsgi.input"].read(MAX_POLL_BYTES))
    except (ValueError, RecursionError):
        return None


def _respond(start_response: Any, status: str, body: bytes) -> Iterable[bytes]:
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]

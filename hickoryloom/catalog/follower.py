"""Keeps the newest catalog by reading it again and again."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from gevent.event import Event
from result import Err, Result

from hickoryloom.catalog.freshness import ViewAge
from hickoryloom.catalog.lookup import RouteTable, build_route_table
from hickoryloom.catalog.messages import Catalog
from hickoryloom.catalog.urgency import UrgencyScale, build_urgency_scale
from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import ErrorKind, PlatformClient

__all__ = ["CatalogFollower"]

log = logbook.Logger("hickoryloom.catalog")

READ_MARGIN_S = 1.0
"""Time kept for a slow answer and for decoding, of that in which a change must be in force."""

READ_MIN_PART = 0.25
"""Shortest pause between reads, as a part of that time."""

RETRY_S = 0.2
"""Pause after a read without an answer; the view ages meanwhile."""

Decode = Callable[[Any], Result[Catalog, str]]


def read_pause_s(apply_s: float) -> float:
    """Return the seconds between reads by which a change is in force within `apply_s`."""
    return max(READ_MIN_PART * apply_s, apply_s - READ_MARGIN_S)


class CatalogFollower:
    """Reads the catalog's object, decodes it when it has changed, and never goes back.

    Plain reads serve better than a watch here: each answer also proves how fresh the view is, and
    a watch that hears nothing proves nothing.

    Args:
        client: Client of the store.
        key: Key of the catalog's object.
        decode: Turns the stored value into a catalog.
        clock: Source of time.
        revoke_s: Seconds after its withdrawal within which a key must stop working.
        apply_s: Seconds within which a change must be in force.
    """

    def __init__(
        self,
        client: PlatformClient,
        key: str,
        decode: Decode,
        clock: Clock,
        revoke_s: float,
        apply_s: float,
    ) -> None:
        self._read_every_s = read_pause_s(apply_s)
        self._client = client
        self._key = key
        self._decode = decode
        self._clock = clock
        self._view = ViewAge(revoke_s)
        self._catalog = Catalog()
        self._table = build_route_table(self._catalog)
        self._urgency = build_urgency_scale(self._catalog)
        self._stored_version = 0
        self._reachable = True
        self._loaded = Event()
        self._loop = TaskLoop(self._step, "catalog", log)
        self._listeners: list[Callable[[Catalog], None]] = []

    @property
    def catalog(self) -> Catalog:
        """The newest catalog seen."""
        return self._catalog

    @property
    def routes(self) -> RouteTable:
        """Routes of the newest catalog."""
        return self._table

    @property
    def urgency(self) -> UrgencyScale:
        """Order of requests at engines, by the newest catalog."""
        return self._urgency

    @property
    def view(self) -> ViewAge:
        """How old the view is."""
        return self._view

    def set_bounds(self, revoke_s: float, apply_s: float) -> None:
        """Take in other bounds of a key's withdrawal and of a change's delay."""
        self._view.revoke_s = revoke_s
        self._read_every_s = read_pause_s(apply_s)

    def subscribe(self, listener: Callable[[Catalog], None]) -> None:
        """Call `listener` with each new catalog."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Begin to read."""
        self._loop.start()

    def stop(self) -> None:
        """End."""
        self._loop.stop()

    def _step(self) -> float:
        sent = self._clock.monotonic()
        answer = self._client.get(self._key)
        if isinstance(answer, Err):
            return self._note_failure(answer.err_value.kind, answer.err_value.detail)
        if not self._reachable:
            self._reachable = True
            log_event(log, "store-regained", key=self._key)
        found = answer.ok_value
        if found.version < self._stored_version:
            return RETRY_S
        if found.version > self._stored_version and not self._apply(found.value):
            return self._read_every_s
        self._stored_version = found.version
        self._view.confirm(sent)
        return self._read_every_s

    def _note_failure(self, kind: ErrorKind, detail: str) -> float:
        if kind is ErrorKind.ABSENT:
            return RETRY_S
        if self._reachable:
            self._reachable = False
            age_s = self._view.age(self._clock.monotonic())
            log_event(log, "store-lost", key=self._key, detail=detail, view_age_s=age_s)
        return RETRY_S

    def _apply(self, value: Any) -> bool:
        decoded = self._decode(value)
        if isinstance(decoded, Err):
            log_event(log, "catalog-unreadable", key=self._key, detail=decoded.err_value)
            return False
        catalog = decoded.ok_value
        if catalog.version < self._catalog.version:
            log_event(log, "catalog-older", version=catalog.version, kept=self._catalog.version)
            return False
        self._catalog = catalog
        self._table = build_route_table(catalog)
        self._urgency = build_urgency_scale(catalog)
        log_event(
            log,
            "catalog-in-force",
            version=catalog.version,
            routes=len(catalog.routes),
            keys=len(catalog.customers),
        )
        for listener in self._listeners:
            listener(catalog)
        return True

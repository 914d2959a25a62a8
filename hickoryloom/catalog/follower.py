"""Keeps the catalog up to date by polling the store."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import logbook
from gevent.event import Event
from result import Err, Result

from hickoryloom.catalog.freshness import READY_AGE_FRACTION, Confirmation, ViewAge
from hickoryloom.catalog.lookup import RouteTable, build_route_table
from hickoryloom.catalog.messages import Catalog
from hickoryloom.catalog.priority_scale import PriorityScale, build_priority_scale
from hickoryloom.clock import Clock
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import ErrorKind, PlatformClient, PlatformError, retry_pause_s

__all__ = ["CatalogFollower"]

log = logbook.Logger("hickoryloom.catalog")

READ_MARGIN_S = 1.0
"""Part of `apply_s` that is reserved for a slow response and for decoding."""

MIN_READ_PAUSE_FRACTION = 0.25
"""Shortest pause between reads, as a fraction of `apply_s` and of `revoke_s`."""

READY_MARGIN_S = 0.75
"""Part of the age at which an instance reports that it is not ready that is reserved for a slow
response."""

SHARED_INTERVAL_FRACTION = 0.45
"""Pause of a reader between reads, and of its followers between polls, as a fraction of the
greatest age of a shared view: both add up, besides the time that the calls take."""

SHARED_CHECK_S = 0.25
"""Interval for checking whether the version confirmed by a reader differs from the own one."""

RETRY_S = 0.2
"""Pause after a failed read, during which the view keeps aging."""

OLDER_PAUSE_S = 0.5
"""Longest pause after a read of an older catalog, during which the view keeps aging as well."""

Decode = Callable[[Any], Result[Catalog, str]]


def read_pause_s(revoke_s: float, apply_s: float) -> float:
    """Return the pause between reads with which changes and withdrawn keys are noticed in time.

    It is also the greatest age of another instance's confirmation that may replace a read.
    """
    return min(
        max(MIN_READ_PAUSE_FRACTION * apply_s, apply_s - READ_MARGIN_S),
        max(MIN_READ_PAUSE_FRACTION * revoke_s, READY_AGE_FRACTION * revoke_s - READY_MARGIN_S),
    )


class CatalogFollower:
    """Polls the catalog's object, decodes it when it changes and never applies an older version.

    It polls instead of using a watch because every response also proves how fresh the view is,
    whereas a silent watch proves nothing. A confirmation by another instance replaces a read if it
    is recent and names the version that was read last.

    Args:
        client: Client of the store.
        key: Key of the catalog in the store.
        decode: Converts the stored value to a catalog.
        clock: Clock that times the reads.
        revoke_s: Seconds within which a withdrawn key must stop working.
        apply_s: Seconds within which a change must take effect.
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
        self._read_pause_s = read_pause_s(revoke_s, apply_s)
        self._read_often_until = 0.0
        self._confirmed_by_store: Confirmation | None = None
        self._shared: Confirmation | None = None
        self._client = client
        self._key = key
        self._decode = decode
        self._clock = clock
        self._view = ViewAge(revoke_s)
        self._catalog = Catalog()
        self._route_table = build_route_table(self._catalog)
        self._priority_scale = build_priority_scale(self._catalog)
        self._stored_version = 0
        self._rejected_version = 0
        self._rejected_pause_s = RETRY_S
        self._reachable = True
        self._loaded = Event()
        self._loop = TaskLoop(self._step, "catalog", log)
        self._listeners: list[Callable[[Catalog], None]] = []

    @property
    def catalog(self) -> Catalog:
        """The newest catalog that was read."""
        return self._catalog

    @property
    def routes(self) -> RouteTable:
        """The route table of the newest catalog."""
        return self._route_table

    @property
    def priority_scale(self) -> PriorityScale:
        """The scale of engine priorities of the newest catalog."""
        return self._priority_scale

    @property
    def view(self) -> ViewAge:
        """The age of the view."""
        return self._view

    @property
    def confirmed_by_store(self) -> Confirmation | None:
        """The last confirmation by a read of this instance; None before the first."""
        return self._confirmed_by_store

    @property
    def in_force(self) -> Confirmation | None:
        """The version in force and when it was last known to be the newest; None before that."""
        confirmed_at = self._view.confirmed_at
        if confirmed_at is None:
            return None
        return Confirmation(self._stored_version, confirmed_at)

    @property
    def read_pause_s(self) -> float:
        """Longest pause between reads, in seconds."""
        return self._read_pause_s

    @property
    def shared_interval_s(self) -> float:
        """Seconds between polls of a reader that keep the view recent enough."""
        return SHARED_INTERVAL_FRACTION * self._read_pause_s

    def read_often(self, until: float) -> None:
        """Read at `shared_interval_s` until a monotonic time, for instances that follow this."""
        self._read_often_until = until

    def apply_confirmation(self, confirmation: Confirmation) -> bool:
        """Apply another instance's confirmation; return False if it is too old to be of use."""
        now = self._clock.monotonic()
        if now - confirmation.confirmed_at > self._read_pause_s:
            return False
        self._shared = confirmation
        if confirmation.version == self._stored_version:
            self._view.confirm(confirmation.confirmed_at)
        return True

    def adopt(self, confirmation: Confirmation, catalog: Catalog | None) -> bool:
        """Put in force what another instance has, while the store doesn't respond to this one.

        Nothing older than what this instance has seen is put in force, and the view keeps the age
        that it has at the other instance.

        Args:
            confirmation: The version that it has in force, and when that was the newest.
            catalog: That version; None if this instance has it or a newer one.

        Returns:
            Whether the view is newer than before.
        """
        before = self._view.confirmed_at
        if confirmation.version < self._stored_version:
            return False
        if before is not None and confirmation.confirmed_at <= before:
            return False
        if confirmation.version > self._stored_version:
            if catalog is None or catalog.version < self._catalog.version:
                return False
            self._put_in_force(catalog)
            self._stored_version = confirmation.version
        self._view.confirm(confirmation.confirmed_at)
        return True

    def read_store(self) -> None:
        """Stop relying on confirmations by another instance."""
        self._shared = None

    def set_bounds(self, revoke_s: float, apply_s: float) -> None:
        """Replace the time limits for withdrawing a key and for applying a change."""
        self._view.revoke_s = revoke_s
        self._read_pause_s = read_pause_s(revoke_s, apply_s)
        # The current pause may be longer than the view may be old from now on.
        self._loop.wake()

    def subscribe(self, listener: Callable[[Catalog], None]) -> None:
        """Call `listener` with each new catalog."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start polling."""
        self._loop.start()

    def read_now(self) -> None:
        """Read at once rather than after the current pause, since the store is back."""
        self._loop.wake()

    def stop(self) -> None:
        """Stop polling and wait for the read in progress."""
        self._loop.stop()

    def _step(self) -> float:
        sent_at = self._clock.monotonic()
        if self._is_confirmed_elsewhere(sent_at):
            return SHARED_CHECK_S
        response = self._client.get(self._key)
        if isinstance(response, Err):
            return self._handle_failed_read(response.err_value)
        if not self._reachable:
            self._reachable = True
            log_event(log, "store-regained", key=self._key)
        stored = response.ok_value
        if stored.version < self._stored_version:
            return RETRY_S
        if stored.version == self._rejected_version:
            return self._rejected_pause_s
        if stored.version > self._stored_version and not self._apply(stored.value):
            self._rejected_version = stored.version
            return self._rejected_pause_s
        self._stored_version = stored.version
        self._view.confirm(sent_at)
        self._confirmed_by_store = Confirmation(stored.version, sent_at)
        if self._shared is not None:
            return SHARED_CHECK_S
        often = sent_at < self._read_often_until
        return self.shared_interval_s if often else self._read_pause_s

    def _is_confirmed_elsewhere(self, now: float) -> bool:
        """Return whether another instance confirmed the version that was read last recently."""
        shared = self._shared
        return (
            shared is not None
            and shared.version <= self._stored_version
            and self._view.age(now) <= self._read_pause_s
        )

    def _handle_failed_read(self, error: PlatformError) -> float:
        if error.kind is ErrorKind.ABSENT:
            return RETRY_S
        if self._reachable:
            self._reachable = False
            age_s = self._view.age(self._clock.monotonic())
            log_event(log, "store-lost", key=self._key, detail=error.detail, view_age_s=age_s)
        return retry_pause_s(error, RETRY_S)

    def _apply(self, value: Any) -> bool:
        decoded = self._decode(value)
        if isinstance(decoded, Err):
            log_event(log, "catalog-unreadable", key=self._key, detail=decoded.err_value)
            self._rejected_pause_s = self._read_pause_s
            return False
        catalog = decoded.ok_value
        if catalog.version < self._catalog.version:
            # A store that returned from an older copy holds it until it is written again.
            log_event(log, "catalog-older", version=catalog.version, kept=self._catalog.version)
            self._rejected_pause_s = min(OLDER_PAUSE_S, self._read_pause_s)
            return False
        self._put_in_force(catalog)
        return True

    def _put_in_force(self, catalog: Catalog) -> None:
        self._catalog = catalog
        self._route_table = build_route_table(catalog)
        self._priority_scale = build_priority_scale(catalog)
        log_event(
            log,
            "catalog-in-force",
            version=catalog.version,
            routes=len(catalog.routes),
            keys=len(catalog.customers),
        )
        for listener in self._listeners:
            listener(catalog)

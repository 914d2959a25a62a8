"""Background task that lists and watches registrations."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Any

import logbook
from result import Err

from hickoryloom.clock import Clock
from hickoryloom.discovery.messages import BackendServer
from hickoryloom.discovery.state import LiveList
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.store import PlatformClient

__all__ = ["Discovery"]

log = logbook.Logger("hickoryloom.discovery")

WATCH_TIMEOUT_MARGIN_S = 1.4
"""Time reserved for timing out an unanswered watch and listing the registrations again."""

MIN_WATCH_S = 1.0
"""Minimum duration of a watch, since each one costs the store a call."""

RELIST_INTERVAL_S = 15.0
"""Interval between complete listings, in case a watch missed a change."""

BATCH_DELAY_S = 0.25
"""Delay after a change, so that changes close together arrive in one watch response."""

SHARED_CHECK_S = 0.2
"""Interval for dropping missing backend servers while registrations come from another instance."""

SHARED_INTERVAL_FRACTION = 0.2
"""Duration of a watch at an instance that others follow, and pause between their polls, as a
fraction of `leave_s`: two watches and a poll must fit into it."""

SHARED_MARGIN_S = 0.4
"""Part of `leave_s` that is reserved for slow calls between instances and for the send."""

MAX_UNUSABLE = 1_000
"""Unusable registrations that are remembered, so that each is logged only once."""

MAX_LOGGED_CHARS = 200

RETRY_S = 0.2
"""Delay after a failed call to the store."""

Decode = Callable[[str, Any], BackendServer | None]


class Discovery:
    """Tracks registrations in the store and notifies listeners of changes.

    Registrations may also come from another instance that tracks them; the store is not read then.

    Args:
        client: Client of the store.
        prefix: Key prefix of registrations.
        decode: Decodes an ID and a stored value to a backend server; returns None for an unusable
            registration.
        clock: Source of time.
        catch_up_s: Time after the end of a network partition within which the list must be up to
            date again, in seconds. A watch without events cannot be told from one on a dead
            connection, so each watch ends early enough to meet this limit.
        leave_s: Time after its announcement within which a leaving backend server must get no more
            requests, in seconds.
    """

    def __init__(
        self,
        client: PlatformClient,
        prefix: str,
        decode: Decode,
        clock: Clock,
        catch_up_s: float,
        leave_s: float,
    ) -> None:
        self._leave_s = leave_s
        self._watch_often_until = 0.0
        self._confirmed_at: float | None = None
        self._watch_s = max(MIN_WATCH_S, catch_up_s - WATCH_TIMEOUT_MARGIN_S)
        self._client = client
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._state = LiveList()
        self._notified: tuple[BackendServer, ...] = ()
        self._shared = False
        self._revision = 0
        self._unusable: dict[str, None] = {}
        self._listed_at: float | None = None
        self._listing_held_until = 0.0
        self._loop = TaskLoop(self._step, "discovery", log)
        self._listeners: list[Callable[[tuple[BackendServer, ...]], None]] = []

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All known backend servers, including leaving ones."""
        return self._state.servers

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether a backend server still accepts requests; call right before sending one."""
        self._state.expire(self._clock.monotonic())
        known = self._state.get(server.id)
        if known is None or known.leaving:
            return False
        return (known.address, known.software) == (server.address, server.software)

    def find(self, id: str) -> BackendServer | None:
        """Return the current registration of a backend server; None if there is none."""
        return self._state.get(id)

    @property
    def is_known(self) -> bool:
        """Whether the registrations were read once, from the store or from another instance."""
        return self._shared or self._confirmed_at is not None

    @property
    def follows_store(self) -> bool:
        """Whether the registrations come from the store and the last call has succeeded."""
        return not self._shared and self._listed_at is not None

    @property
    def shared_interval_s(self) -> float:
        """Seconds between polls that keep registrations of another instance recent enough."""
        return SHARED_INTERVAL_FRACTION * self._leave_s

    @property
    def store_era(self) -> int:
        """Latest era of the store that this process knows of; 0 if it is not known."""
        return self._client.era

    @property
    def confirmed_at(self) -> float | None:
        """Monotonic time as of which the registrations are known to be complete, in seconds."""
        return self._confirmed_at

    @property
    def is_behind(self) -> bool:
        """Whether neither the store nor another instance has confirmed the registrations lately."""
        if self.follows_store or self._confirmed_at is None:
            return False
        return not self.is_recent(self._confirmed_at)

    def watch_often(self, until: float) -> None:
        """End watches after `shared_interval_s` until a monotonic time, for other instances."""
        self._watch_often_until = until

    def is_recent(self, confirmed_at: float) -> bool:
        """Return whether registrations as of `confirmed_at` may be used until the next poll."""
        limit_s = self._leave_s - self.shared_interval_s - SHARED_MARGIN_S
        return self._clock.monotonic() - confirmed_at <= limit_s

    def servers_by_id(self) -> dict[str, BackendServer]:
        """Return all known backend servers by id."""
        return {server.id: server for server in self._state.servers}

    def expiries(self) -> dict[str, float]:
        """Return the monotonic time at which each missing backend server is dropped, by id."""
        return self._state.expiries

    def learn_era(self, era: int) -> bool:
        """Record the era of the store that another instance knows of.

        Returns:
            False if it is older than the known one, so that the other instance's registrations
            may be those of a copy's past.
        """
        self._client.learn_era(era)
        return era >= self._client.era

    def apply_shared(
        self,
        servers: Mapping[str, BackendServer],
        expiries: Mapping[str, float],
        removed: Iterable[str] | None,
    ) -> None:
        """Apply registrations tracked by another instance, and stop reading the store.

        Args:
            servers: Changed backend servers by id.
            expiries: Monotonic time at which each missing one is dropped, by id.
            removed: Ids of removed backend servers; None if `servers` lists all.
        """
        self._shared = True
        self._apply_others(servers, expiries, removed)

    def confirm_shared(self, confirmed_at: float) -> None:
        """Record as of when the registrations of another instance, all applied, are complete.

        Args:
            confirmed_at: Monotonic time in seconds.
        """
        self._confirmed_at = confirmed_at

    def _apply_others(
        self,
        servers: Mapping[str, BackendServer],
        expiries: Mapping[str, float],
        removed: Iterable[str] | None,
    ) -> None:
        self._state.on_era(self._client.era, self._clock.monotonic())
        before = self._notified
        if removed is None:
            removed = [server.id for server in self._state.servers if server.id not in servers]
        self._state.drop(removed)
        for id, server in servers.items():
            self._state.put(server)
            if id in expiries:
                self._state.mark_missing(id, expiries[id])
        self._state.expire(self._clock.monotonic())
        self._notify(before)

    def adopt(
        self,
        servers: Mapping[str, BackendServer],
        expiries: Mapping[str, float],
        confirmed_at: float,
    ) -> bool:
        """Apply all registrations that another instance knows, while the store doesn't respond.

        Args:
            servers: Its backend servers by id.
            expiries: Monotonic time at which each missing one is dropped, by id.
            confirmed_at: Monotonic time as of which they are known to be complete, in seconds.

        Returns:
            Whether they are newer than those of this instance.
        """
        if self._shared or self._listed_at is not None:
            return False
        if self._confirmed_at is not None and confirmed_at <= self._confirmed_at:
            return False
        self._apply_others(servers, expiries, None)
        self._confirmed_at = confirmed_at
        return True

    def mark_leaving(self, server: BackendServer) -> None:
        """Use a backend server no more that has announced its leaving in a response."""
        if self._state.mark_leaving(server.id, server.started_ms):
            log_event(log, "backend-server-leaving", id=server.id, service=server.service)
            self._notify(self._notified)

    def read_store(self) -> None:
        """Track the registrations in the store from now on."""
        if self._shared:
            self._shared = False
            self._listed_at = None

    def subscribe(self, listener: Callable[[tuple[BackendServer, ...]], None]) -> None:
        """Register `listener` to be called with all backend servers after each change."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Start tracking registrations."""
        self._loop.start()

    def hold_listing(self, until: float) -> None:
        """List the registrations no earlier than at a monotonic time, if any are known.

        After an outage it spreads the listings of many instances, and lets another instance's view
        replace them.
        """
        self._listing_held_until = until

    def read_now(self) -> None:
        """Read at once rather than after the current pause, since the store is back."""
        self._loop.wake()

    def stop(self) -> None:
        """Stop tracking registrations."""
        self._loop.stop()

    def _step(self) -> float:
        before = self._notified
        if self._shared:
            self._state.expire(self._clock.monotonic())
            self._notify(before)
            return self._until_expiry_s(SHARED_CHECK_S)
        held_s = self._listing_held_until - self._clock.monotonic()
        if held_s > 0 and self._listed_at is None and self._state.servers:
            self._state.expire(self._clock.monotonic())
            self._notify(before)
            return self._until_expiry_s(min(held_s, SHARED_CHECK_S))
        revision = self._revision
        ok = self._list() if self._relist_due() else self._watch()
        if not ok:
            self._listed_at = None
        self._state.expire(self._clock.monotonic())
        self._notify(before)
        if not ok:
            return self._until_expiry_s(RETRY_S)
        return self._until_expiry_s(BATCH_DELAY_S) if self._revision != revision else 0.0

    def _until_expiry_s(self, limit_s: float) -> float:
        """Return the seconds until a missing backend server is dropped, at most `limit_s`."""
        expiry = self._state.next_expiry
        if expiry is None:
            return limit_s
        return min(limit_s, max(0.0, expiry - self._clock.monotonic()))

    def _relist_due(self) -> bool:
        return (
            self._listed_at is None
            or self._clock.monotonic() - self._listed_at >= RELIST_INTERVAL_S
        )

    def _list(self) -> bool:
        sent_at = self._clock.monotonic()
        response = self._client.list(self._prefix)
        if isinstance(response, Err):
            log_event(log, "listing-failed", prefix=self._prefix, detail=response.err_value.detail)
            return False
        if self._shared:
            return True
        now = self._clock.monotonic()
        self._observe_store(now)
        decoded = [self._decode_item(item.key, item.value) for item in response.ok_value.items]
        self._state.replace([server for server in decoded if server is not None], now)
        self._revision = response.ok_value.revision
        self._confirmed_at = sent_at
        self._listed_at = now
        return True

    def _watch(self) -> bool:
        sent_at = self._clock.monotonic()
        often = sent_at < self._watch_often_until
        timeout_s = self._until_expiry_s(self.shared_interval_s if often else self._watch_s)
        response = self._client.watch(self._prefix, self._revision, timeout_s)
        if isinstance(response, Err):
            log_event(log, "watch-failed", prefix=self._prefix, detail=response.err_value.detail)
            return False
        if self._shared:
            # Another instance has sent newer registrations meanwhile.
            return True
        now = self._clock.monotonic()
        self._observe_store(now)
        batch = response.ok_value
        if batch.reset:
            self._listed_at = None
            return True
        for change in batch.changes:
            server = None if change.value is None else self._decode_item(change.key, change.value)
            if server is None:
                self._state.remove(change.key.removeprefix(self._prefix), now)
            else:
                self._state.put(server)
        self._revision = batch.revision
        self._confirmed_at = sent_at
        return True

    def _observe_store(self, now: float) -> None:
        self._state.on_available(self._client.objects_available_since)
        self._state.on_era(self._client.era, now)

    def _decode_item(self, key: str, value: Any) -> BackendServer | None:
        id = key.removeprefix(self._prefix)
        server = self._decode(id, value)
        if server is not None:
            self._unusable.pop(id, None)
        elif id not in self._unusable:
            log_event(log, "registration-unusable", id=id[:MAX_LOGGED_CHARS])
            self._unusable[id] = None
            if len(self._unusable) > MAX_UNUSABLE:
                del self._unusable[next(iter(self._unusable))]
        return server

    def _notify(self, before: tuple[BackendServer, ...]) -> None:
        after = self._state.servers
        self._notified = after
        if after == before:
            return
        for server in set(after) - set(before):
            log_event(
                log,
                "backend-server-registered",
                id=server.id,
                service=server.service,
                address=server.address,
                failure_domain=server.failure_domain,
                leaving=server.leaving,
            )
        known = {server.id for server in after}
        for server in before:
            if server.id not in known:
                log_event(log, "backend-server-gone", id=server.id, service=server.service)
        for listener in self._listeners:
            listener(after)

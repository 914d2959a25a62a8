"""The task that keeps the live list by listing and watching registrations."""

from __future__ import annotations

from collections.abc import Callable
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

WATCH_MARGIN_S = 1.4
"""Time in which a watch without an answer is given up, and the registrations are listed anew."""

WATCH_MIN_S = 1.0
"""Shortest watch: each costs the store a call."""

LIST_EVERY_S = 15.0
"""All registrations are listed anew this often, in case a watch missed one."""

GATHER_S = 0.25
"""Pause after a change, so that changes that come together are told by one answer."""

RETRY_S = 0.2
"""Pause after a call without an answer."""

Decode = Callable[[str, Any], BackendServer | None]


class Discovery:
    """Follows registrations.

    Args:
        client: Client of the store.
        prefix: Keys of registrations begin so.
        decode: Turns an id and a stored value into a backend server; None for what can't be used.
        clock: Source of time.
        catch_up_s: Seconds after a cut's end within which the list must be right again. A watch
            that hears nothing is renewed early enough for that, as a silent link looks the same.
    """

    def __init__(
        self,
        client: PlatformClient,
        prefix: str,
        decode: Decode,
        clock: Clock,
        catch_up_s: float,
    ) -> None:
        self._watch_s = max(WATCH_MIN_S, catch_up_s - WATCH_MARGIN_S)
        self._client = client
        self._prefix = prefix
        self._decode = decode
        self._clock = clock
        self._state = LiveList()
        self._revision = 0
        self._listed: float | None = None
        self._loop = TaskLoop(self._step, "discovery", log)
        self._listeners: list[Callable[[tuple[BackendServer, ...]], None]] = []

    @property
    def servers(self) -> tuple[BackendServer, ...]:
        """All known backend servers, leaving ones included."""
        return self._state.servers

    def is_usable(self, server: BackendServer) -> bool:
        """Return whether a backend server may still get work, asked right before it does."""
        known = self._state.get(server.id)
        return known is not None and known.address == server.address and not known.leaving

    def subscribe(self, listener: Callable[[tuple[BackendServer, ...]], None]) -> None:
        """Call `listener` with all backend servers after each change."""
        self._listeners.append(listener)

    def start(self) -> None:
        """Begin to follow."""
        self._loop.start()

    def stop(self) -> None:
        """End."""
        self._loop.stop()

    def _step(self) -> float:
        before = self._state.servers
        revision = self._revision
        ok = self._list() if self._list_due() else self._watch()
        if not ok:
            self._state.on_store_lost()
            self._listed = None
        self._state.expire(self._clock.monotonic())
        self._tell(before)
        if not ok:
            return RETRY_S
        return GATHER_S if self._revision != revision and before != self._state.servers else 0.0

    def _list_due(self) -> bool:
        return self._listed is None or self._clock.monotonic() - self._listed >= LIST_EVERY_S

    def _list(self) -> bool:
        answer = self._client.list(self._prefix)
        if isinstance(answer, Err):
            log_event(log, "listing-failed", prefix=self._prefix, detail=answer.err_value.detail)
            return False
        now = self._clock.monotonic()
        self._state.on_store_answer(now)
        decoded = [self._read(item.key, item.value) for item in answer.ok_value.items]
        self._state.replace([server for server in decoded if server is not None], now)
        self._revision = answer.ok_value.revision
        self._listed = now
        return True

    def _watch(self) -> bool:
        answer = self._client.watch(self._prefix, self._revision, self._watch_s)
        if isinstance(answer, Err):
            log_event(log, "watch-failed", prefix=self._prefix, detail=answer.err_value.detail)
            return False
        now = self._clock.monotonic()
        batch = answer.ok_value
        if batch.reset:
            self._listed = None
            return True
        for change in batch.changes:
            server = None if change.value is None else self._read(change.key, change.value)
            if server is None:
                self._state.remove(change.key.removeprefix(self._prefix), now)
            else:
                self._state.put(server)
        self._revision = batch.revision
        return True

    def _read(self, key: str, value: Any) -> BackendServer | None:
        id = key.removeprefix(self._prefix)
        server = self._decode(id, value)
        if server is None:
            log_event(log, "registration-unusable", id=id)
        return server

    def _tell(self, before: tuple[BackendServer, ...]) -> None:
        after = self._state.servers
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

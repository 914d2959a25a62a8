"""The task that keeps the directory of backend servers fresh."""

from __future__ import annotations

import random as random_module
from collections.abc import Callable, Iterable
from typing import Any, Protocol

import gevent
import logbook
from gevent.pool import Pool
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.configuration import Snapshot
from hickoryloom.http import JsonClient
from hickoryloom.logs import log_event
from hickoryloom.membership import Peer
from hickoryloom.routing.directory import DirectoryState
from hickoryloom.routing.messages import BackendView, CacheEvent, LoadReport
from hickoryloom.store import LiveBackend, PlatformError

__all__ = ["BackendDirectory"]

log = logbook.Logger("hickoryloom.routing")

LIST_INTERVAL_S = 1.5
LOAD_CALLS_PER_S = 10.0
LOAD_CALLS_PER_S_OF_MANY = 5.0
CACHE_CALLS_PER_S = 1.0
FEW_BACKENDS = 32
MAX_CACHE_EVENTS = 500
LOAD_TIMEOUT_S = 1.0
MAX_OPEN_LOAD_CALLS = 16

ViewsCallback = Callable[[tuple[BackendView, ...]], None]
ReportCallback = Callable[[str, LoadReport], None]
CacheEventCallback = Callable[[str, CacheEvent], None]


class LiveSource(Protocol):
    """The part of the platform's client that the directory needs."""

    def live(self) -> Result[tuple[LiveBackend, ...], PlatformError]:
        """Return the platform's lagging list."""


class BackendDirectory:
    """Joins the platform's list, the configuration, load reports and peers' words.

    Args:
        client: The platform's client.
        clock: Source of time.
        random: Source of random numbers.
        on_report: Called with each load report.
        on_cache_event: Called with each cache event.
    """

    def __init__(
        self,
        client: LiveSource | None,
        clock: Clock,
        random: random_module.Random | None = None,
        on_report: ReportCallback | None = None,
        on_cache_event: CacheEventCallback | None = None,
    ) -> None:
        self._client = client
        self._clock = clock
        self._random = random or random_module.Random()
        self._on_report = on_report
        self._on_cache_event = on_cache_event
        self._next_events: dict[str, int] = {}
        self._clients: dict[str, JsonClient] = {}
        self._state = DirectoryState()
        self._views: tuple[BackendView, ...] = ()
        self._subscribers: list[ViewsCallback] = []
        self._tasks: list[gevent.Greenlet] = []
        self._calls = Pool(MAX_OPEN_LOAD_CALLS)
        self._order: list[BackendView] = []

    @property
    def views(self) -> tuple[BackendView, ...]:
        """All backend servers known now."""
        return self._views

    @property
    def leaving(self) -> tuple[str, ...]:
        """Ids of leaving backend servers, for the heartbeat."""
        return self._state.leaving

    def subscribe(self, callback: ViewsCallback) -> None:
        """Call `callback` with all views after each change."""
        self._subscribers.append(callback)

    def set_snapshot(self, snapshot: Snapshot) -> None:
        """Take a generation of the configuration."""
        self._state.set_snapshot(snapshot)
        self._publish()

    def apply_peers(self, peers: Iterable[Peer]) -> None:
        """Take the peers' words on leaving backend servers."""
        self.apply_leaving({id for peer in peers for id in peer.heartbeat.leaving})

    def apply_leaving(self, backend_ids: Iterable[str]) -> None:
        """Take anybody's word that these backend servers are leaving."""
        self._state.apply_peers(backend_ids)
        self._publish()

    def start(self) -> None:
        """Begin to read the platform's list and load reports."""
        self._tasks = [gevent.spawn(self._poll_loads)]
        if self._on_cache_event is not None:
            self._tasks.append(gevent.spawn(self._poll_cache_events))
        if self._client is not None:
            self._tasks.append(gevent.spawn(self._poll_list))

    def stop(self) -> None:
        """Stop reading."""
        gevent.killall(self._tasks)
        self._calls.kill()
        self._tasks = []
        self._drop_clients(set())

    def _poll_list(self) -> None:
        assert self._client is not None
        while True:
            match self._client.live():
                case Ok(backends):
                    self._state.apply_list(backends)
                case Err(error):
                    log_event(log, "live-list-unavailable", kind=error.kind.value)
            self._publish()
            gevent.sleep(LIST_INTERVAL_S * self._random.uniform(0.8, 1.2))

    def _poll_loads(self) -> None:
        while True:
            few = len(self._views) <= FEW_BACKENDS
            gevent.sleep(1.0 / (LOAD_CALLS_PER_S if few else LOAD_CALLS_PER_S_OF_MANY))
            view = self._next_to_poll()
            if view is not None and not self._calls.full():
                self._calls.spawn(self._read_load, view)

    def _next_to_poll(self) -> BackendView | None:
        if not self._order:
            self._order = list(self._views)
            self._random.shuffle(self._order)
        return self._order.pop() if self._order else None

    def _poll_cache_events(self) -> None:
        while True:
            gevent.sleep(1.0 / CACHE_CALLS_PER_S)
            engines = [view for view in self._views if not view.leaving]
            if engines and not self._calls.full():
                self._calls.spawn(self._read_cache_events, self._random.choice(engines))

    def _read_load(self, view: BackendView) -> None:
        body = self._get(view.address, "/load")
        if body is not None:
            self._apply_load(view, body)

    def _read_cache_events(self, view: BackendView) -> None:
        since = self._next_events.get(view.id, 0)
        body = self._get(view.address, f"/cache-events?since={since}")
        if body is None:
            return
        try:
            events = [
                CacheEvent(str(event["prefix_hash"]), bool(event["cached"]))
                for event in body["events"][-MAX_CACHE_EVENTS:]
            ]
            self._next_events[view.id] = int(body["next"])
        except (KeyError, TypeError, ValueError):
            log_event(log, "bad-cache-events", backend=view.id)
            return
        assert self._on_cache_event is not None
        for event in events:
            self._on_cache_event(view.id, event)

    def _get(self, address: str, path: str) -> Any:
        """Return the body of an answer, over a kept connection while there are few."""
        client = self._clients.pop(address, None) or JsonClient(address, LOAD_TIMEOUT_S, 1)
        answer = client.call("GET", path, timeout_s=LOAD_TIMEOUT_S)
        keep = answer.is_ok() and len(self._clients) < FEW_BACKENDS
        if keep and address not in self._clients:
            self._clients[address] = client
        else:
            client.close()
        if isinstance(answer, Err) or answer.ok_value.status != 200:
            return None
        return answer.ok_value.body

    def _apply_load(self, view: BackendView, body: Any) -> None:
        now = self._clock.monotonic()
        try:
            leaving = bool(body.get("leaving", False))
            report = LoadReport(
                running=max(0, int(body["running"])),
                waiting=max(0, int(body["waiting"])),
                kv_free=float(body.get("kv_free", 1.0)),
                measured=now - max(0.0, float(body.get("age_ms", 0.0))) / 1000.0,
            )
        except (AttributeError, KeyError, TypeError, ValueError):
            log_event(log, "bad-load-report", backend=view.id)
            return
        if self._on_report is not None:
            self._on_report(view.id, report)
        if self._state.apply_own_word(view.id, leaving, now):
            self._publish()

    def _publish(self) -> None:
        views = self._state.views(self._clock.monotonic())
        if views == self._views:
            return
        self._log_changes(views)
        self._views = views
        self._drop_clients({view.address for view in views})
        for callback in self._subscribers:
            callback(views)

    def _drop_clients(self, addresses: set[str]) -> None:
        """Close the kept connections to other addresses than these."""
        for address in self._clients.keys() - addresses:
            self._clients.pop(address).close()

    def _log_changes(self, views: tuple[BackendView, ...]) -> None:
        known = {view.id: view for view in self._views}
        for view in views:
            old = known.get(view.id)
            if old is None or old.leaving != view.leaving:
                log_event(
                    log,
                    "backend-server",
                    backend=view.id,
                    pool=view.pool,
                    address=view.address,
                    leaving=view.leaving,
                )

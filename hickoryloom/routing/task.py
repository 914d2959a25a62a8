"""Background task that keeps the directory of backend servers up to date."""

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
LOAD_POLLS_PER_S = 10.0
LOAD_POLLS_PER_S_LARGE = 5.0
CACHE_EVENT_POLLS_PER_S = 1.0
SMALL_DEPLOYMENT_BACKENDS = 32
MAX_CACHE_EVENTS_PER_POLL = 500
POLL_TIMEOUT_S = 1.0
MAX_CONCURRENT_POLLS = 16

ViewsCallback = Callable[[tuple[BackendView, ...]], None]
ReportCallback = Callable[[str, LoadReport], None]
CacheEventCallback = Callable[[str, CacheEvent], None]


class LiveListClient(Protocol):
    """The subset of the platform client that the directory uses."""

    def list_backends(self) -> Result[tuple[LiveBackend, ...], PlatformError]:
        """Return the platform's list of backend servers, which may be out of date."""


class BackendDirectory:
    """Merges the platform's list, the configuration, load reports and reports from peers.

    Args:
        client: Platform client; None to run without the platform's list.
        clock: Source of monotonic time.
        random: Source of random numbers.
        on_report: Called with each load report.
        on_cache_event: Called with each cache event; None disables polling for them.
    """

    def __init__(
        self,
        client: LiveListClient | None,
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
        self._next_event_numbers: dict[str, int] = {}
        self._clients: dict[str, JsonClient] = {}
        self._state = DirectoryState()
        self._views: tuple[BackendView, ...] = ()
        self._subscribers: list[ViewsCallback] = []
        self._tasks: list[gevent.Greenlet] = []
        self._poll_greenlets = Pool(MAX_CONCURRENT_POLLS)
        self._poll_queue: list[BackendView] = []

    @property
    def views(self) -> tuple[BackendView, ...]:
        """All known backend servers."""
        return self._views

    @property
    def leaving(self) -> tuple[str, ...]:
        """IDs of backend servers to report as leaving in the heartbeat."""
        return self._state.leaving

    def subscribe(self, callback: ViewsCallback) -> None:
        """Register `callback` to be called with all views after each change."""
        self._subscribers.append(callback)

    def set_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a new generation of the configuration."""
        self._state.set_snapshot(snapshot)
        self._publish()

    def apply_peers(self, peers: Iterable[Peer]) -> None:
        """Mark the backend servers that peers report as leaving."""
        self.mark_leaving({id for peer in peers for id in peer.heartbeat.leaving})

    def mark_leaving(self, backend_ids: Iterable[str]) -> None:
        """Mark backend servers as leaving, whatever the source of the report."""
        self._state.apply_peer_leaving(backend_ids)
        self._publish()

    def start(self) -> None:
        """Start polling the platform's list, load reports and cache events."""
        self._tasks = [gevent.spawn(self._poll_loads)]
        if self._on_cache_event is not None:
            self._tasks.append(gevent.spawn(self._poll_cache_events))
        if self._client is not None:
            self._tasks.append(gevent.spawn(self._poll_list))

    def stop(self) -> None:
        """Stop polling and close all connections."""
        gevent.killall(self._tasks)
        self._poll_greenlets.kill()
        self._tasks = []
        self._close_other_clients(set())

    def _poll_list(self) -> None:
        assert self._client is not None
        while True:
            match self._client.list_backends():
                case Ok(backends):
                    self._state.apply_list(backends)
                case Err(error):
                    log_event(log, "live-list-unavailable", kind=error.kind.value)
            self._publish()
            gevent.sleep(LIST_INTERVAL_S * self._random.uniform(0.8, 1.2))

    def _poll_loads(self) -> None:
        while True:
            is_small = len(self._views) <= SMALL_DEPLOYMENT_BACKENDS
            gevent.sleep(1.0 / (LOAD_POLLS_PER_S if is_small else LOAD_POLLS_PER_S_LARGE))
            view = self._next_poll_target()
            if view is not None and not self._poll_greenlets.full():
                self._poll_greenlets.spawn(self._read_load, view)

    def _next_poll_target(self) -> BackendView | None:
        if not self._poll_queue:
            self._poll_queue = list(self._views)
            self._random.shuffle(self._poll_queue)
        return self._poll_queue.pop() if self._poll_queue else None

    def _poll_cache_events(self) -> None:
        while True:
            gevent.sleep(1.0 / CACHE_EVENT_POLLS_PER_S)
            candidates = [view for view in self._views if not view.leaving]
            if candidates and not self._poll_greenlets.full():
                self._poll_greenlets.spawn(self._read_cache_events, self._random.choice(candidates))

    def _read_load(self, view: BackendView) -> None:
        body = self._get(view.address, "/load")
        if body is not None:
            self._apply_load(view, body)

    def _read_cache_events(self, view: BackendView) -> None:
        since = self._next_event_numbers.get(view.id, 0)
        body = self._get(view.address, f"/cache-events?since={since}")
        if body is None:
            return
        try:
            events = [
                CacheEvent(str(event["prefix_hash"]), bool(event["cached"]))
                for event in body["events"][-MAX_CACHE_EVENTS_PER_POLL:]
            ]
            self._next_event_numbers[view.id] = int(body["next"])
        except (KeyError, TypeError, ValueError):
            log_event(log, "bad-cache-events", backend=view.id)
            return
        assert self._on_cache_event is not None
        for event in events:
            self._on_cache_event(view.id, event)

    def _get(self, address: str, path: str) -> Any:
        """Return the body of the response, or None if the request failed.

        Connections are kept open only while there are few of them.
        """
        client = self._clients.pop(address, None) or JsonClient(address, POLL_TIMEOUT_S, 1)
        response = client.call("GET", path, timeout_s=POLL_TIMEOUT_S)
        reusable = response.is_ok() and len(self._clients) < SMALL_DEPLOYMENT_BACKENDS
        if reusable and address not in self._clients:
            self._clients[address] = client
        else:
            client.close()
        if isinstance(response, Err) or response.ok_value.status != 200:
            return None
        return response.ok_value.body

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
        if self._state.apply_self_report(view.id, leaving, now):
            self._publish()

    def _publish(self) -> None:
        views = self._state.views(self._clock.monotonic())
        if views == self._views:
            return
        self._log_changes(views)
        self._views = views
        self._close_other_clients({view.address for view in views})
        for callback in self._subscribers:
            callback(views)

    def _close_other_clients(self, addresses: set[str]) -> None:
        """Close the open connections to all addresses except these."""
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

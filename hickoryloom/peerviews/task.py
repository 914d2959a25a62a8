"""Asks other instances for what they have in force while the store provides nothing newer."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from random import Random

import cattrs
import logbook
from result import Err, Ok, Result

from hickoryloom.catalog import CatalogFollower, Confirmation
from hickoryloom.clock import Clock
from hickoryloom.discovery import Discovery
from hickoryloom.http import JsonClient, JsonResponse
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.peerviews.choice import OverdueViews, PeerChoice, is_view_needed
from hickoryloom.peerviews.messages import (
    MIN_GAIN_S,
    PeerView,
    PeerViewRequest,
    read_peer_view,
)
from hickoryloom.peerviews.server import PEER_VIEW_PATH
from hickoryloom.store import split_version

__all__ = ["PeerViewTask"]

CALL_TIMEOUT_S = 0.4
"""Hundreds of round trips between failure domains."""

ASK_INTERVAL_S = 0.2
"""Interval of requests while no view is in force, and of checks whether one is needed."""

REPEAT_INTERVAL_S = 0.4
"""Interval of requests while a view is in force: three of them fit between the age at which a view
is overdue and that at which a load balancer has removed the instance."""

MAX_INSTANCES = 10_000
"""A larger count is unsound and would leave this instance no share of the call budget."""

NOT_FOUND = 404
JITTER = 0.2
"""Fraction by which intervals vary, so that instances don't ask in step."""

log = logbook.Logger("hickoryloom.peerviews")

Connect = Callable[[str], JsonClient]


class PeerViewTask:
    """Puts in force what another instance has, if it is newer than what this one has.

    Args:
        address: `host:port` at which this process serves other instances; empty to ask nobody.
        clock: Source of time.
        rng: Selects instances, and source of jitter.
        catalog: Receives the configuration and its confirmation.
        discovery: Receives the backend servers.
        peers: Returns the addresses of other instances.
        on_peers: Called with the addresses that another instance knows.
        on_instances: Called with the number of live instances that another instance counted.
        connect: Builds the client of an instance's address.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        rng: Random,
        catalog: CatalogFollower,
        discovery: Discovery,
        peers: Callable[[], Sequence[str]],
        on_peers: Callable[[Iterable[str]], None],
        on_instances: Callable[[int], None],
        connect: Connect | None = None,
    ) -> None:
        self._address = address
        self._clock = clock
        self._rng = rng
        self._catalog = catalog
        self._discovery = discovery
        self._peers = peers
        self._on_peers = on_peers
        self._on_instances = on_instances
        self._connect: Connect = connect or _connect
        self._choice = PeerChoice(rng)
        self._overdue = OverdueViews()
        self._started_at = clock.monotonic()
        self._loop = TaskLoop(self._step, "peer-views", log)

    @property
    def is_needed(self) -> bool:
        """Whether the store provides no current view, directly or through a reader."""
        now = self._clock.monotonic()
        return is_view_needed(
            self._catalog.view.age(now), self._catalog.read_pause_s, now - self._started_at
        )

    @property
    def others_are_overdue(self) -> bool:
        """Whether the other instances have lost the store as well, as far as they answer."""
        now = self._clock.monotonic()
        return self.is_needed and self._overdue.are_all_overdue(len(self._peers()), now)

    def start(self) -> None:
        """Start to ask while it is needed."""
        if self._address:
            self._loop.start()

    def stop(self) -> None:
        """Stop asking."""
        if self._address:
            self._loop.stop()

    def _step(self) -> float:
        if not self.is_needed and not self._discovery.is_behind:
            return ASK_INTERVAL_S
        address = self._choice.choose(self._peers(), self._clock.monotonic())
        if address:
            self._ask(address)
        has_view = self._catalog.in_force is not None
        interval_s = REPEAT_INTERVAL_S if has_view else ASK_INTERVAL_S
        return interval_s * (1 - JITTER * self._rng.random())

    def _ask(self, address: str) -> None:
        sent_at = self._clock.monotonic()
        in_force, servers_at = self._catalog.in_force, self._discovery.confirmed_at
        request = PeerViewRequest(
            self._address,
            0 if in_force is None else in_force.version,
            None if servers_at is None else sent_at - servers_at,
        )
        client = self._connect(address)
        try:
            body = cattrs.unstructure(request)
            response = client.call("POST", PEER_VIEW_PATH, body, timeout_s=CALL_TIMEOUT_S)
        finally:
            client.close()
        view = response.map_err(lambda error: error.detail).and_then(_read_response)
        if isinstance(view, Err):
            is_older = isinstance(response, Ok) and response.ok_value.status == NOT_FOUND
            log_event(log, "peer-view-failed", peer=address, detail=view.err_value)
            self._choice.record_failed(address, self._clock.monotonic(), is_older)
            return
        if self._apply(address, view.ok_value, sent_at):
            self._choice.record_useful(address)
        else:
            self._choice.record_useless(address)

    def _apply(self, address: str, view: PeerView, sent_at: float) -> bool:
        """Put a view in force as far as it is newer; return whether any of it was.

        The other instance computed the ages after `sent_at`, so its view is at least this recent.
        """
        self._on_peers(view.peers)
        is_overdue = not view.config_version or is_view_needed(
            view.config_age_s, self._catalog.read_pause_s, math.inf
        )
        self._overdue.record(address, is_overdue, self._clock.monotonic())
        if 0 < view.instances <= MAX_INSTANCES:
            self._on_instances(view.instances)
        ages_s = (view.config_age_s, view.servers_age_s or 0.0)
        is_sound = all(math.isfinite(age_s) and age_s >= 0 for age_s in ages_s)
        if not is_sound or split_version(view.config_version)[0] > view.store_era:
            log_event(log, "peer-view-unsound", peer=address, store_era=view.store_era)
            return False
        if not view.config_version and view.servers_age_s is None:
            return False
        if not self._discovery.learn_era(view.store_era):
            log_event(log, "peer-view-older-era", peer=address, store_era=view.store_era)
            return False
        confirmation = Confirmation(view.config_version, sent_at - view.config_age_s)
        is_newer = self._has_newer_catalog(confirmation) and self._catalog.adopt(
            confirmation, view.catalog
        )
        known_at = self._discovery.confirmed_at
        servers_at = None if view.servers_age_s is None else sent_at - view.servers_age_s
        if servers_at is not None and (known_at is None or servers_at > known_at + MIN_GAIN_S):
            is_newer |= self._discovery.adopt(
                {shared.server.id: shared.server for shared in view.servers},
                {
                    shared.server.id: sent_at + shared.expires_in_s
                    for shared in view.servers
                    if shared.expires_in_s is not None
                },
                servers_at,
            )
        if is_newer:
            log_event(
                log,
                "peer-view-in-force",
                peer=address,
                version=self._catalog.catalog.version,
                config_age_s=view.config_age_s,
                servers_age_s=view.servers_age_s,
                store_era=view.store_era,
            )
        return is_newer

    def _has_newer_catalog(self, confirmation: Confirmation) -> bool:
        in_force = self._catalog.in_force
        if not confirmation.version or in_force is None:
            return bool(confirmation.version)
        gain_s = confirmation.confirmed_at - in_force.confirmed_at
        return confirmation.version > in_force.version or gain_s > MIN_GAIN_S


def _connect(address: str) -> JsonClient:
    return JsonClient(address, timeout_s=CALL_TIMEOUT_S, connections=1)


def _read_response(response: JsonResponse) -> Result[PeerView, str]:
    if response.status != 200:
        return Err(f"status {response.status}")
    return read_peer_view(response.body)

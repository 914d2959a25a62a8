"""Answers instances that ask for what this one has in force."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Sequence
from typing import Any

import cattrs
import logbook
from result import Err

from hickoryloom.catalog import CatalogFollower
from hickoryloom.clock import Clock
from hickoryloom.discovery import Discovery
from hickoryloom.logs import log_event
from hickoryloom.peerviews.messages import (
    MIN_GAIN_S,
    PeerView,
    PeerViewRequest,
    read_peer_view_request,
)
from hickoryloom.sharing import SharedServer

__all__ = ["PEER_VIEW_PATH", "PeerViewServer"]

PEER_VIEW_PATH = "/peer-view"
MAX_REQUEST_BYTES = 4 * 1024
MAX_PEERS = 200
"""Addresses sent: 5 KiB, and more instances than one failure domain has."""

log = logbook.Logger("hickoryloom.peerviews")


class PeerViewServer:
    """Serves the view of this instance, also if it was taken from another one: it keeps its age.

    Args:
        clock: Source of time.
        catalog: Provides the configuration.
        discovery: Provides the backend servers.
        peers: Returns the addresses of other instances.
        on_asked: Called with the address of an instance that asks.
        instances: Returns the number of live instances; 0 if they were not counted.
    """

    def __init__(
        self,
        clock: Clock,
        catalog: CatalogFollower,
        discovery: Discovery,
        peers: Callable[[], Sequence[str]],
        on_asked: Callable[[str], None],
        instances: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._catalog = catalog
        self._discovery = discovery
        self._peers = peers
        self._on_asked = on_asked
        self._instances = instances

    def view(self, request: PeerViewRequest) -> PeerView:
        """Return what the asking instance lacks."""
        now = self._clock.monotonic()
        common = {
            "store_era": self._discovery.store_era,
            "peers": tuple(self._peers())[:MAX_PEERS],
            "instances": self._instances(),
            **self._servers(request, now),
        }
        in_force = self._catalog.in_force
        if in_force is None:
            return PeerView(**common)
        return PeerView(
            config_version=in_force.version,
            config_age_s=now - in_force.confirmed_at,
            catalog=(self._catalog.catalog if in_force.version > request.config_version else None),
            **common,
        )

    def _servers(self, request: PeerViewRequest, now: float) -> dict[str, Any]:
        confirmed_at = self._discovery.confirmed_at
        if confirmed_at is None:
            return {}
        age_s = now - confirmed_at
        if request.servers_age_s is not None and age_s >= request.servers_age_s - MIN_GAIN_S:
            return {}
        expiries = self._discovery.expiries()
        return {
            "servers_age_s": age_s,
            "servers": tuple(
                SharedServer(
                    server, max(0.0, expiries[server.id] - now) if server.id in expiries else None
                )
                for server in self._discovery.servers
            ),
        }

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve a request as a WSGI application."""
        try:
            value = json.loads(environ["wsgi.input"].read(MAX_REQUEST_BYTES))
        except ValueError:
            value = None
        request = read_peer_view_request(value)
        if isinstance(request, Err):
            log_event(log, "peer-view-request-invalid", detail=request.err_value)
            return _respond(start_response, "400 Bad Request", b"")
        self._on_asked(request.ok_value.address)
        view = self.view(request.ok_value)
        return _respond(start_response, "200 OK", json.dumps(cattrs.unstructure(view)).encode())


def _respond(start_response: Any, status: str, body: bytes) -> Iterable[bytes]:
    headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    start_response(status, headers)
    return [body]

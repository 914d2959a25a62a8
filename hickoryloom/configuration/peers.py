"""Exchanges the configuration between entries and confirms that it is current."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable
from typing import Any

import attrs
import falcon
import gevent
import logbook
from gevent.event import Event
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.configuration.follower import ConfigurationFollower
from hickoryloom.configuration.freshness import PeerView
from hickoryloom.configuration.known_peers import KnownPeers
from hickoryloom.http import CallError, JsonClient, JsonResponse, bearer_headers, has_bearer_token
from hickoryloom.logs import log_event
from hickoryloom.membership import Heartbeat, Peer

__all__ = ["ConfigurationPeers"]

ROOT_PATH = "/peer/configuration"
SHARD_PATH = "/peer/configuration/shards"
QUERY_AFTER_S = 2.5
MAX_INHERITED_AGE_S = 2.0
FIRST_WAIT_S = 0.2
QUERY_INTERVAL_S = 0.5
QUERY_TIMEOUT_S = 0.8
SHARD_TIMEOUT_S = 2.0
TICK_S = 0.25
CLEANUP_INTERVAL_S = 1.0

# Incarnation, failure domain and seconds since a peer was last heard from, as reported by another.
ReportedPeer = tuple[str, str, float]

log = logbook.Logger("hickoryloom.configuration")


class ConfigurationPeers:
    """Queries peers when the platform does not respond or a peer has a newer generation.

    Args:
        follower: Follower that holds the current generation of this entry.
        clock: Source of time.
        seeds: Addresses to query before any peer is known.
        secret: Bearer token that entries send to each other; empty for none.
        rng: Selects the peers to query.
        own_address: Address at which peers reach this entry.
    """

    def __init__(
        self,
        follower: ConfigurationFollower,
        clock: Clock,
        seeds: Iterable[str] = (),
        secret: str = "",
        rng: random.Random | None = None,
        own_address: str = "",
    ) -> None:
        self._follower = follower
        self._clock = clock
        self._secret = secret
        self._rng = rng or random.Random()
        self._known = KnownPeers(self._rng, seeds, own_address)
        self._clients: dict[str, JsonClient] = {}
        self._wake = Event()
        self._newer_peers: set[str] = set()
        self._latest_heartbeats: dict[str, Heartbeat] = {}
        self._last_cleanup = 0.0
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start querying peers whenever needed."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop querying and close connections to peers."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        for client in self._clients.values():
            client.close()

    def set_peers(self, peers: Collection[Peer], missing: Iterable[str] = ()) -> None:
        """Apply the current membership; does not block.

        Args:
            peers: Live peers with their latest heartbeats.
            missing: Incarnations without heartbeats that are not known to have ended.
        """
        for peer in peers:
            heartbeat = peer.heartbeat
            if self._latest_heartbeats.get(heartbeat.incarnation) is not heartbeat:
                self._record_heartbeat(heartbeat, peer.received_at)
        self._remove_ended(peers, missing)
        if self._newer_peers:
            self._wake.set()

    def add_routes(self, app: falcon.App) -> None:
        """Add the routes that serve peers."""
        app.add_route(ROOT_PATH, _RootResource(self))
        app.add_route(f"{SHARD_PATH}/{{name}}", _ShardResource(self))

    def query_peer(self, address: str) -> bool:
        """Query one peer, apply its generation if newer and record the peers it knows.

        Returns:
            Whether it responded.
        """
        sent_at = self._clock.monotonic()
        known_generation = self._follower.snapshot.generation
        path = f"{ROOT_PATH}?have={known_generation}&known={len(self._known)}"
        result = self._get(address, path, QUERY_TIMEOUT_S)
        if result.is_err():
            if result.unwrap_err().refused_by_host:
                self._known.record_refusal(address, self._clock.monotonic())
            return False
        try:
            view, root, known = _parse_response(result.unwrap())
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log_event(log, "peer-unsound", peer=address, detail=str(error))
            return False
        if root is not None:
            self._follower.apply_root(root, _PeerShardSource(self, address))
        self._follower.freshness_tracker.record_peer_response(sent_at, view)
        self._record_reported_peers(address, known, sent_at)
        return True

    def build_response(self, known_generation: int, known_count: int) -> dict[str, Any]:
        """Return the response to a query of a peer.

        Args:
            known_generation: Generation that the peer has.
            known_count: Number of peers that it knows.
        """
        view = self._follower.peer_view()
        return {
            "view": attrs.asdict(view),
            "root": self._follower.root_json() if view.generation > known_generation else None,
            "known": self._known.peers_to_report(self._clock.monotonic(), known_count),
        }

    def shard_content(self, name: str) -> dict[str, Any] | None:
        """Return the content of a current shard, for a peer, or None."""
        return self._follower.shard_content(name)

    def is_peer(self, authorization: str | None) -> bool:
        """Return whether an `Authorization` header holds the peers' secret."""
        return has_bearer_token(authorization, self._secret)

    def renew_freshness(self) -> None:
        """Query a few peers of a large fleet, then run a round if the view is still too old."""
        for address in self._known.sample_peers():
            self.query_peer(address)
        if self._follower.freshness.confirmed_age(self._clock.monotonic()) > MAX_INHERITED_AGE_S:
            self.query_round()

    def query_round(self) -> bool:
        """Query enough peers to confirm the view.

        Returns:
            Whether they confirm it.
        """
        now = self._clock.monotonic()
        queried = self._known.select(now)
        tasks = {address: gevent.spawn(self.query_peer, address) for address in queried}
        self._wait_for_responses(tasks)
        responded = {address for address, task in tasks.items() if task.value}
        still_known = self._known.filter_known(queried)
        if not self._known.covers_required(queried):
            return False
        return self._follower.freshness_tracker.record_round(now, still_known, responded)

    def fetch_shard(self, address: str, name: str) -> Result[Any, str]:
        """Return the content of a shard from a peer, or the reason why it is unavailable."""
        result = self._get(address, f"{SHARD_PATH}/{name}", SHARD_TIMEOUT_S)
        if result.is_err():
            return Err(result.unwrap_err().detail)
        if result.unwrap().status != 200:
            return Err(f"peer {address} responded with status {result.unwrap().status}")
        return Ok(result.unwrap().body)

    def _record_reported_peers(
        self, address: str, known: dict[str, ReportedPeer], sent_at: float
    ) -> None:
        self._known.record_response(address, sent_at)
        for other, (incarnation, domain, age_s) in known.items():
            self._known.record_reported(other, incarnation, domain, sent_at - age_s)

    def _record_heartbeat(self, heartbeat: Heartbeat, received_at: float) -> None:
        self._latest_heartbeats[heartbeat.incarnation] = heartbeat
        self._known.record_heartbeat(heartbeat, received_at)
        self._follower.freshness_tracker.record_known(heartbeat.generation, 0)
        if heartbeat.generation > self._follower.snapshot.generation:
            self._newer_peers.add(heartbeat.address)

    def _remove_ended(self, peers: Collection[Peer], missing: Iterable[str]) -> None:
        now = self._clock.monotonic()
        if now - self._last_cleanup < CLEANUP_INTERVAL_S or not self._is_platform_fresh():
            return
        self._last_cleanup = now
        remaining = {peer.heartbeat.incarnation for peer in peers}.union(missing)
        self._known.retain(remaining)
        self._latest_heartbeats = {
            name: heartbeat
            for name, heartbeat in self._latest_heartbeats.items()
            if name in remaining
        }
        for address in set(self._clients) - self._known.addresses:
            self._clients.pop(address).close()

    def _wait_for_responses(self, tasks: dict[str, gevent.Greenlet]) -> None:
        responded = gevent.joinall(list(tasks.values()), timeout=FIRST_WAIT_S)
        if 2 * (len(responded) + 1) <= len(tasks) + 1:
            gevent.joinall(list(tasks.values()), timeout=QUERY_TIMEOUT_S - FIRST_WAIT_S)

    def _is_platform_fresh(self) -> bool:
        age_s = self._follower.freshness.age(self._clock.monotonic())
        return age_s <= QUERY_AFTER_S

    def _run(self) -> None:
        while True:
            self._wake.wait(TICK_S)
            self._wake.clear()
            try:
                self._query_if_needed()
            except Exception:
                log.exception("event=peers-failed")

    def _query_if_needed(self) -> None:
        newer_peers, self._newer_peers = self._newer_peers, set()
        if newer_peers:
            self.query_peer(self._rng.choice(sorted(newer_peers)))
        now = self._clock.monotonic()
        if self._follower.freshness.confirmed_age(now) > QUERY_AFTER_S:
            self.renew_freshness()
            gevent.sleep(QUERY_INTERVAL_S)

    def _get(self, address: str, path: str, timeout_s: float) -> Result[JsonResponse, CallError]:
        if address not in self._clients:
            self._clients[address] = JsonClient(address, connections=2)
        headers = bearer_headers(self._secret)
        return self._clients[address].call("GET", path, timeout_s=timeout_s, headers=headers)


class _PeerShardSource:
    """Reads shards from one peer."""

    def __init__(self, peers: ConfigurationPeers, address: str) -> None:
        self._peers = peers
        self._address = address

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return the content of a shard; the caller verifies it against the reference."""
        return self._peers.fetch_shard(self._address, name)


class _PeerResource:
    """Base of resources that require the peers' secret."""

    def __init__(self, peers: ConfigurationPeers) -> None:
        self._peers = peers

    def require_secret(self, req: falcon.Request) -> None:
        """Reject a request without the secret."""
        if not self._peers.is_peer(req.get_header("Authorization")):
            raise falcon.HTTPUnauthorized()


class _RootResource(_PeerResource):
    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Return the view, and the root if it is newer than the peer's."""
        self.require_secret(req)
        known_generation = req.get_param_as_int("have", default=0, min_value=0)
        known = req.get_param_as_int("known", default=0, min_value=0)
        resp.media = self._peers.build_response(known_generation, known)


class _ShardResource(_PeerResource):
    def on_get(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Return one current shard."""
        self.require_secret(req)
        content = self._peers.shard_content(name)
        if content is None:
            raise falcon.HTTPNotFound()
        resp.media = content


def _parse_response(
    result: JsonResponse,
) -> tuple[PeerView, Any, dict[str, ReportedPeer]]:
    if result.status != 200:
        raise ValueError(f"status {result.status}")
    view = result.body["view"]
    peer_view = PeerView(
        int(view["generation"]),
        int(view["revision"]),
        float(view["age_s"]),
        float(view["vouched_age_s"]),
    )
    known = {
        str(address): (str(incarnation), str(domain), float(age_s))
        for address, (incarnation, domain, age_s) in result.body["known"].items()
    }
    return peer_view, result.body["root"], known

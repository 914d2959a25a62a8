"""Passes the configuration on among entries, and asks them whether it is current."""

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
from hickoryloom.http import CallFailed, JsonAnswer, JsonClient, bearer_headers, shows_token
from hickoryloom.logs import log_event
from hickoryloom.membership import Heartbeat, Peer

__all__ = ["ConfigurationPeers"]

ROOT_PATH = "/peer/configuration"
SHARD_PATH = "/peer/configuration/shards"
ASK_AFTER_S = 2.5
INHERIT_UP_TO_S = 2.0
QUICK_ANSWER_S = 0.2
ASK_SPACING_S = 0.5
ASK_TIMEOUT_S = 0.8
SHARD_TIMEOUT_S = 2.0
TICK_S = 0.25
FORGET_INTERVAL_S = 1.0

# Incarnation, failure domain and seconds since its word, as a peer tells it of another.
KnownElsewhere = tuple[str, str, float]

log = logbook.Logger("hickoryloom.configuration")


class ConfigurationPeers:
    """Asks peers when the platform does not answer, or when one knows a newer generation.

    Args:
        follower: What is in force here.
        clock: Source of time.
        seeds: Addresses to ask before any peer is known.
        secret: The token that entries show to each other; empty for none.
        own_address: Address of this entry for others.
        rng: Chooses which peers to ask.
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
        self._ahead: set[str] = set()
        self._heard: dict[str, Heartbeat] = {}
        self._forgot = 0.0
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to ask peers when that is needed."""
        self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop asking and close connections to peers."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        for client in self._clients.values():
            client.close()

    def set_peers(self, peers: Collection[Peer], missing: Iterable[str] = ()) -> None:
        """Take what membership knows; returns at once.

        Args:
            peers: Live peers with their latest heartbeats.
            missing: Incarnations that are silent and not known to have ended.
        """
        for peer in peers:
            beat = peer.heartbeat
            if self._heard.get(beat.incarnation) is not beat:
                self._hear(beat, peer.heard)
        self._forget_ended(peers, missing)
        if self._ahead:
            self._wake.set()

    def add_routes(self, app: falcon.App) -> None:
        """Add the routes that peers ask."""
        app.add_route(ROOT_PATH, _RootResource(self))
        app.add_route(f"{SHARD_PATH}/{{name}}", _ShardResource(self))

    def ask(self, address: str) -> bool:
        """Ask one peer, apply what it has newer and record what it knows.

        Returns:
            Whether it answered.
        """
        sent = self._clock.monotonic()
        have = self._follower.snapshot.generation
        path = f"{ROOT_PATH}?have={have}&known={len(self._known)}"
        answer = self._get(address, path, ASK_TIMEOUT_S)
        if answer.is_err():
            if answer.unwrap_err().refused_by_host:
                self._known.refused(address, self._clock.monotonic())
            return False
        try:
            view, root, known = _read_answer(answer.unwrap())
        except (KeyError, TypeError, ValueError, AttributeError) as error:
            log_event(log, "peer-unsound", peer=address, detail=str(error))
            return False
        if root is not None:
            self._follower.offer_root(root, _PeerShards(self, address))
        self._follower.evidence.peer_answered(sent, view)
        self._learn(address, known, sent)
        return True

    def tell(self, have: int, asker_knows: int) -> dict[str, Any]:
        """Return the answer to a peer that asks.

        Args:
            have: Generation that the peer has.
            asker_knows: Peers that it knows.
        """
        view = self._follower.peer_view()
        return {
            "view": attrs.asdict(view),
            "root": self._follower.root_json() if view.generation > have else None,
            "known": self._known.told(self._clock.monotonic(), asker_knows),
        }

    def shard_content(self, name: str) -> dict[str, Any] | None:
        """Return the content of a shard in force, for a peer, or None."""
        return self._follower.shard_content(name)

    def is_peer(self, authorization: str | None) -> bool:
        """Return whether a header `Authorization` shows the peers' secret."""
        return shows_token(authorization, self._secret)

    def renew_evidence(self) -> None:
        """Ask a few peers of a large fleet for their evidence, and in a round if it is too old."""
        for address in self._known.choose_few():
            self.ask(address)
        if self._follower.freshness.vouched_age(self._clock.monotonic()) > INHERIT_UP_TO_S:
            self.ask_round()

    def ask_round(self) -> bool:
        """Ask enough peers to vouch for the view.

        Returns:
            Whether they do.
        """
        now = self._clock.monotonic()
        asked = self._known.choose(now)
        tasks = {address: gevent.spawn(self.ask, address) for address in asked}
        self._await_answers(tasks)
        answered = {address for address, task in tasks.items() if task.value}
        still_known = self._known.choose_among(asked)
        if not self._known.has_reached(asked):
            return False
        return self._follower.evidence.round_ended(now, still_known, answered)

    def read_shard(self, address: str, name: str) -> Result[Any, str]:
        """Return a shard's content from a peer, or why it can't be had."""
        answer = self._get(address, f"{SHARD_PATH}/{name}", SHARD_TIMEOUT_S)
        if answer.is_err():
            return Err(answer.unwrap_err().detail)
        if answer.unwrap().status != 200:
            return Err(f"peer {address} answered {answer.unwrap().status}")
        return Ok(answer.unwrap().body)

    def _learn(self, address: str, known: dict[str, KnownElsewhere], sent: float) -> None:
        self._known.answered(address, sent)
        for other, (incarnation, domain, age_s) in known.items():
            self._known.learn(other, incarnation, domain, sent - age_s)

    def _hear(self, beat: Heartbeat, heard: float) -> None:
        self._heard[beat.incarnation] = beat
        self._known.listed(beat, heard)
        self._follower.evidence.heard_of(beat.generation, 0)
        if beat.generation > self._follower.snapshot.generation:
            self._ahead.add(beat.address)

    def _forget_ended(self, peers: Collection[Peer], missing: Iterable[str]) -> None:
        now = self._clock.monotonic()
        if now - self._forgot < FORGET_INTERVAL_S or not self._sees_platform():
            return
        self._forgot = now
        left = {peer.heartbeat.incarnation for peer in peers}.union(missing)
        self._known.keep(left)
        self._heard = {name: beat for name, beat in self._heard.items() if name in left}
        for address in set(self._clients) - self._known.addresses:
            self._clients.pop(address).close()

    def _await_answers(self, tasks: dict[str, gevent.Greenlet]) -> None:
        quick = gevent.joinall(list(tasks.values()), timeout=QUICK_ANSWER_S)
        if 2 * (len(quick) + 1) <= len(tasks) + 1:
            gevent.joinall(list(tasks.values()), timeout=ASK_TIMEOUT_S - QUICK_ANSWER_S)

    def _sees_platform(self) -> bool:
        age_s = self._follower.freshness.age(self._clock.monotonic())
        return age_s <= ASK_AFTER_S

    def _run(self) -> None:
        while True:
            self._wake.wait(TICK_S)
            self._wake.clear()
            try:
                self._ask_as_needed()
            except Exception:
                log.exception("event=peers-failed")

    def _ask_as_needed(self) -> None:
        ahead, self._ahead = self._ahead, set()
        if ahead:
            self.ask(self._rng.choice(sorted(ahead)))
        now = self._clock.monotonic()
        if self._follower.freshness.vouched_age(now) > ASK_AFTER_S:
            self.renew_evidence()
            gevent.sleep(ASK_SPACING_S)

    def _get(self, address: str, path: str, timeout_s: float) -> Result[JsonAnswer, CallFailed]:
        if address not in self._clients:
            self._clients[address] = JsonClient(address, connections=2)
        headers = bearer_headers(self._secret)
        return self._clients[address].call("GET", path, timeout_s=timeout_s, headers=headers)


class _PeerShards:
    """Reads shards from one peer."""

    def __init__(self, peers: ConfigurationPeers, address: str) -> None:
        self._peers = peers
        self._address = address

    def read(self, name: str, reference: str) -> Result[Any, str]:
        """Return a shard's content; the caller checks it against the reference."""
        return self._peers.read_shard(self._address, name)


class _PeerResource:
    """Answers peers that show the secret."""

    def __init__(self, peers: ConfigurationPeers) -> None:
        self._peers = peers

    def check(self, req: falcon.Request) -> None:
        """Refuse a caller without the secret."""
        if not self._peers.is_peer(req.get_header("Authorization")):
            raise falcon.HTTPUnauthorized()


class _RootResource(_PeerResource):
    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Tell the view, and the root when it is newer than the asker's."""
        self.check(req)
        have = req.get_param_as_int("have", default=0, min_value=0)
        known = req.get_param_as_int("known", default=0, min_value=0)
        resp.media = self._peers.tell(have, known)


class _ShardResource(_PeerResource):
    def on_get(self, req: falcon.Request, resp: falcon.Response, name: str) -> None:
        """Tell one shard in force."""
        self.check(req)
        content = self._peers.shard_content(name)
        if content is None:
            raise falcon.HTTPNotFound()
        resp.media = content


def _read_answer(
    answer: JsonAnswer,
) -> tuple[PeerView, Any, dict[str, KnownElsewhere]]:
    if answer.status != 200:
        raise ValueError(f"status {answer.status}")
    view = answer.body["view"]
    built = PeerView(
        int(view["generation"]),
        int(view["revision"]),
        float(view["age_s"]),
        float(view["vouched_age_s"]),
    )
    known = {
        str(address): (str(incarnation), str(domain), float(age_s))
        for address, (incarnation, domain, age_s) in answer.body["known"].items()
    }
    return built, answer.body["root"], known

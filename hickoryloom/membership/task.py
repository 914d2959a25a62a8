"""Presence, heartbeats and failure detection of one entry."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import falcon
import gevent
import logbook
from gevent.event import Event

from hickoryloom.clock import Clock
from hickoryloom.config import Settings
from hickoryloom.http import shows_token
from hickoryloom.logs import log_event
from hickoryloom.membership.codec import Word, decode_word, encode_word
from hickoryloom.membership.link import HEARTBEAT_PATH, PeerLink
from hickoryloom.membership.messages import Heartbeat, Peer, Presence
from hickoryloom.membership.presence import ObjectStore, PresenceKeeper
from hickoryloom.membership.state import MembershipState
from hickoryloom.store.messages import Listing

__all__ = ["Membership"]

HEARTBEAT_S = 1.0
URGENT_GAP_S = 0.02
PRESENCE_S = 10.0
FIRST_ROUND_WAIT_S = 1.0
KNOWN_EVERY = 5
FIRST_ROUND_POLL_S = 0.02

log = logbook.Logger("hickoryloom.membership")

PeersCallback = Callable[[tuple[Peer, ...]], None]


class Membership:
    """Finds the other entries and exchanges heartbeats with them.

    Of each pair, the entry with the lower incarnation calls; the other calls too when it has not
    been called for a while. Call `start` once the peer server listens.

    Args:
        settings: Own address, seeds and the peer secret.
        incarnation: This process.
        clock: Source of monotonic time.
        client: The platform's object API.
        build_heartbeat: Returns what this entry has to tell; sequence and seen are filled in.
    """

    def __init__(
        self,
        settings: Settings,
        incarnation: str,
        clock: Clock,
        client: ObjectStore,
        build_heartbeat: Callable[[], Heartbeat],
    ) -> None:
        self._settings = settings
        self._incarnation = incarnation
        self._clock = clock
        self._build = build_heartbeat
        self._state = MembershipState(incarnation)
        address = settings.advertise or settings.peer_listen
        self._presence = PresenceKeeper(
            client,
            Presence(incarnation, address, settings.failure_domain, admin=settings.admin_listen),
        )
        self._links: dict[str, PeerLink] = {}
        self._seed_links: dict[str, PeerLink] = {}
        self._callbacks: list[PeersCallback] = []
        self._kick = Event()
        self._tasks: list[gevent.Greenlet] = []
        self._live_names: frozenset[str] = frozenset()
        self._rounds = 0
        self._stopping = False

    @property
    def missing(self) -> tuple[str, ...]:
        """Incarnations that are silent and not known to have ended."""
        return self._state.missing(self._clock.monotonic())

    def peers(self) -> tuple[Peer, ...]:
        """Return the live peers."""
        return self._state.live(self._clock.monotonic())

    def subscribe(self, callback: PeersCallback) -> None:
        """Call `callback` with the live peers after each heartbeat and each change."""
        self._callbacks.append(callback)

    def add_routes(self, app: falcon.App) -> None:
        """Add the route that peers call."""
        app.add_route(HEARTBEAT_PATH, _HeartbeatResource(self._settings.peer_secret, self._answer))

    def start(self) -> None:
        """Write presence, look for peers and wait briefly for their first answers."""
        self._presence.renew()
        self._presence.list(self._take_listing)
        self._tasks = [gevent.spawn(self._run_rounds), gevent.spawn(self._run_presence)]
        with gevent.Timeout(FIRST_ROUND_WAIT_S, False):
            while self.missing:
                gevent.sleep(FIRST_ROUND_POLL_S)
        self._notify()

    def stop(self) -> None:
        """Tell the peers that this entry ends and remove its presence."""
        self._stopping = True
        for link in self._links.values():
            link.send()
        gevent.killall(self._tasks)
        self._presence.remove()
        for link in [*self._links.values(), *self._seed_links.values()]:
            link.close()

    def send_now(self) -> None:
        """Exchange heartbeats with all peers at once."""
        self._kick.set()

    def _run_rounds(self) -> None:
        due = self._clock.monotonic()
        while True:
            now = self._clock.monotonic()
            if now >= due:
                due = now + HEARTBEAT_S
                self._run_round()
            if self._kick.wait(max(0.0, due - now)):
                self._kick.clear()
                self._send_all()
                gevent.sleep(URGENT_GAP_S)

    def _run_round(self) -> None:
        try:
            self._update_links()
            self._send_round()
        except Exception:
            log.exception("event=round-fault")

    def _run_presence(self) -> None:
        while True:
            gevent.sleep(PRESENCE_S)
            try:
                self._presence.renew()
                self._presence.list(self._take_listing)
            except Exception:
                log.exception("event=presence-fault")

    def _take_listing(self, listing: Listing) -> None:
        now = self._clock.monotonic()
        self._state.list_presence(listing, now)
        self._state.expire(now)
        stale = self._state.stale_presence()
        if stale and self._is_first():
            self._presence.remove_stale(stale)

    def _is_first(self) -> bool:
        return all(self._incarnation < p.heartbeat.incarnation for p in self.peers())

    def _send_round(self) -> None:
        self._rounds += 1
        now = self._clock.monotonic()
        heard = {p.heartbeat.incarnation: p.heard for p in self._state.live(now)}
        for name, link in self._links.items():
            overdue = now - heard.get(name, float("-inf")) > 2 * HEARTBEAT_S
            if self._incarnation < name or overdue:
                link.send()
        if not heard:
            for link in self._seed_links.values():
                link.send()
        self._notify_changes()

    def _send_all(self) -> None:
        for link in self._links.values():
            link.send()

    def _update_links(self) -> None:
        self._state.expire(self._clock.monotonic())
        addresses = self._state.addresses
        for name in [n for n, link in self._links.items() if addresses.get(n) != link.address]:
            self._links.pop(name).close()
        for name, address in addresses.items():
            if name not in self._links:
                self._links[name] = self._link(address, name)
        for seed in self._settings.seeds:
            if seed not in self._seed_links and seed != self._settings.advertise:
                self._seed_links[seed] = self._link(seed, "")

    def _link(self, address: str, name: str) -> PeerLink:
        def build() -> Word:
            return self._word(name)

        return PeerLink(address, self._settings.peer_secret, build, self._receive)

    def _word(self, name: str) -> Word:
        now = self._clock.monotonic()
        built = self._build()
        if self._stopping:
            built = attrs.evolve(built, stopping=True)
        heartbeat = self._state.address_to(self._state.stamp(built, now), name)
        known: dict[str, str] = {}
        if self._rounds % KNOWN_EVERY == 1 or not name:
            known = {p.heartbeat.incarnation: p.heartbeat.address for p in self.peers()}
        return Word(heartbeat, known)

    def _answer(self, word: Word) -> Word:
        self._receive(word)
        return self._word(word.heartbeat.incarnation)

    def _receive(self, word: Word) -> None:
        now = self._clock.monotonic()
        for name, address in word.known.items():
            self._state.learn(name, address, now)
        if self._state.hear(word.heartbeat, now):
            self._notify()

    def _notify_changes(self) -> None:
        names = frozenset(peer.heartbeat.incarnation for peer in self.peers())
        if names != self._live_names:
            self._notify()

    def _notify(self) -> None:
        peers = self.peers()
        names = frozenset(peer.heartbeat.incarnation for peer in peers)
        if names != self._live_names:
            joined = ",".join(sorted(names - self._live_names)) or None
            lost = ",".join(sorted(self._live_names - names)) or None
            log_event(log, "peers", count=len(names), joined=joined, lost=lost)
            self._live_names = names
        for callback in self._callbacks:
            try:
                callback(peers)
            except Exception:
                log.exception("event=peers-callback-fault")


class _HeartbeatResource:
    """Answers a peer's heartbeat with this entry's own."""

    def __init__(self, secret: str, answer: Callable[[Word], Word]) -> None:
        self._secret = secret
        self._answer = answer

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Take in a heartbeat and return one."""
        if not shows_token(req.get_header("Authorization"), self._secret):
            raise falcon.HTTPForbidden(description="wrong peer secret")
        decoded = decode_word(req.get_media())
        if decoded.is_err():
            raise falcon.HTTPBadRequest(description=decoded.unwrap_err())
        resp.media = encode_word(self._answer(decoded.unwrap()))

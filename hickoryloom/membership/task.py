"""Presence, heartbeats and failure detection of one entry process."""

from __future__ import annotations

from collections.abc import Callable

import attrs
import falcon
import gevent
import logbook
from gevent.event import Event

from hickoryloom.clock import Clock
from hickoryloom.config import Settings
from hickoryloom.http import has_bearer_token
from hickoryloom.logs import log_event
from hickoryloom.membership.codec import HeartbeatMessage, decode_message, encode_message
from hickoryloom.membership.link import HEARTBEAT_PATH, PeerLink
from hickoryloom.membership.messages import Heartbeat, Peer, Presence
from hickoryloom.membership.presence import ObjectStore, PresenceManager
from hickoryloom.membership.state import MembershipState
from hickoryloom.store.messages import Listing

__all__ = ["Membership"]

HEARTBEAT_INTERVAL_S = 1.0
MIN_URGENT_INTERVAL_S = 0.02
PRESENCE_INTERVAL_S = 10.0
STARTUP_WAIT_S = 1.0
ADDRESS_LIST_INTERVAL_ROUNDS = 5
STARTUP_POLL_INTERVAL_S = 0.02

log = logbook.Logger("hickoryloom.membership")

PeersCallback = Callable[[tuple[Peer, ...]], None]


class Membership:
    """Discovers the other entry processes and exchanges heartbeats with them.

    In each pair, the process with the lower incarnation initiates the exchanges; the other does
    so too if it has received no heartbeat for a while. Call `start` once the peer server listens.

    Args:
        settings: Own address, seeds and the peer secret.
        incarnation: Incarnation of this process.
        clock: Source of monotonic time.
        client: Client of the platform's object API.
        build_heartbeat: Returns the heartbeat to send; `sequence` and `seen` are filled in here.
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
        self._build_heartbeat = build_heartbeat
        self._state = MembershipState(incarnation)
        address = settings.advertise or settings.peer_listen
        self._presence = PresenceManager(
            client,
            Presence(incarnation, address, settings.failure_domain, admin=settings.admin_listen),
        )
        self._links: dict[str, PeerLink] = {}
        self._seed_links: dict[str, PeerLink] = {}
        self._callbacks: list[PeersCallback] = []
        self._send_requested = Event()
        self._tasks: list[gevent.Greenlet] = []
        self._live_incarnations: frozenset[str] = frozenset()
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
        """Call `callback` with the live peers after each heartbeat and each change of them."""
        self._callbacks.append(callback)

    def add_routes(self, app: falcon.App) -> None:
        """Add the route that peers call."""
        app.add_route(HEARTBEAT_PATH, _HeartbeatResource(self._settings.peer_secret, self._respond))

    def start(self) -> None:
        """Write the presence object, discover peers and wait briefly for their first heartbeats."""
        self._presence.renew()
        self._presence.list(self._apply_listing)
        self._tasks = [gevent.spawn(self._run_rounds), gevent.spawn(self._run_presence)]
        with gevent.Timeout(STARTUP_WAIT_S, False):
            while self.missing:
                gevent.sleep(STARTUP_POLL_INTERVAL_S)
        self._notify()

    def stop(self) -> None:
        """Announce the stop to all peers and remove the presence object."""
        self._stopping = True
        for link in self._links.values():
            link.send()
        gevent.killall(self._tasks)
        self._presence.remove()
        for link in [*self._links.values(), *self._seed_links.values()]:
            link.close()

    def request_exchange(self) -> None:
        """Request an immediate exchange of heartbeats with all peers."""
        self._send_requested.set()

    def _run_rounds(self) -> None:
        next_round_at = self._clock.monotonic()
        while True:
            now = self._clock.monotonic()
            if now >= next_round_at:
                next_round_at = now + HEARTBEAT_INTERVAL_S
                self._run_round()
            if self._send_requested.wait(max(0.0, next_round_at - now)):
                self._send_requested.clear()
                self._send_all()
                gevent.sleep(MIN_URGENT_INTERVAL_S)

    def _run_round(self) -> None:
        try:
            self._update_links()
            self._send_round()
        except Exception:
            log.exception("event=round-fault")

    def _run_presence(self) -> None:
        while True:
            gevent.sleep(PRESENCE_INTERVAL_S)
            try:
                self._presence.renew()
                self._presence.list(self._apply_listing)
            except Exception:
                log.exception("event=presence-fault")

    def _apply_listing(self, listing: Listing) -> None:
        now = self._clock.monotonic()
        self._state.apply_listing(listing, now)
        self._state.remove_ended(now)
        stale = self._state.stale_presence()
        if stale and self._has_lowest_incarnation():
            self._presence.remove_stale(stale)

    def _has_lowest_incarnation(self) -> bool:
        return all(self._incarnation < p.heartbeat.incarnation for p in self.peers())

    def _send_round(self) -> None:
        self._rounds += 1
        now = self._clock.monotonic()
        received_at = {p.heartbeat.incarnation: p.received_at for p in self._state.live(now)}
        for name, link in self._links.items():
            overdue = now - received_at.get(name, float("-inf")) > 2 * HEARTBEAT_INTERVAL_S
            if self._incarnation < name or overdue:
                link.send()
        if not received_at:
            for link in self._seed_links.values():
                link.send()
        self._notify_changes()

    def _send_all(self) -> None:
        for link in self._links.values():
            link.send()

    def _update_links(self) -> None:
        self._state.remove_ended(self._clock.monotonic())
        addresses = self._state.addresses
        for name in [n for n, link in self._links.items() if addresses.get(n) != link.address]:
            self._links.pop(name).close()
        for name, address in addresses.items():
            if name not in self._links:
                self._links[name] = self._create_link(address, name)
        for seed in self._settings.seeds:
            if seed not in self._seed_links and seed != self._settings.advertise:
                self._seed_links[seed] = self._create_link(seed, "")

    def _create_link(self, address: str, name: str) -> PeerLink:
        def build() -> HeartbeatMessage:
            return self._build_message(name)

        return PeerLink(address, self._settings.peer_secret, build, self._receive)

    def _build_message(self, name: str) -> HeartbeatMessage:
        now = self._clock.monotonic()
        content = self._build_heartbeat()
        if self._stopping:
            content = attrs.evolve(content, stopping=True)
        heartbeat = self._state.add_acknowledgement(self._state.assign_sequence(content, now), name)
        known: dict[str, str] = {}
        if self._rounds % ADDRESS_LIST_INTERVAL_ROUNDS == 1 or not name:
            known = {p.heartbeat.incarnation: p.heartbeat.address for p in self.peers()}
        return HeartbeatMessage(heartbeat, known)

    def _respond(self, message: HeartbeatMessage) -> HeartbeatMessage:
        self._receive(message)
        return self._build_message(message.heartbeat.incarnation)

    def _receive(self, message: HeartbeatMessage) -> None:
        now = self._clock.monotonic()
        for name, address in message.known.items():
            self._state.add_address(name, address, now)
        if self._state.apply_heartbeat(message.heartbeat, now):
            self._notify()

    def _notify_changes(self) -> None:
        names = frozenset(peer.heartbeat.incarnation for peer in self.peers())
        if names != self._live_incarnations:
            self._notify()

    def _notify(self) -> None:
        peers = self.peers()
        names = frozenset(peer.heartbeat.incarnation for peer in peers)
        if names != self._live_incarnations:
            joined = ",".join(sorted(names - self._live_incarnations)) or None
            lost = ",".join(sorted(self._live_incarnations - names)) or None
            log_event(log, "peers", count=len(names), joined=joined, lost=lost)
            self._live_incarnations = names
        for callback in self._callbacks:
            try:
                callback(peers)
            except Exception:
                log.exception("event=peers-callback-fault")


class _HeartbeatResource:
    """Responds to a peer's heartbeat with this process's own."""

    def __init__(
        self, secret: str, respond: Callable[[HeartbeatMessage], HeartbeatMessage]
    ) -> None:
        self._secret = secret
        self._respond = respond

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Receive a heartbeat message and return one."""
        if not has_bearer_token(req.get_header("Authorization"), self._secret):
            raise falcon.HTTPForbidden(description="wrong peer secret")
        decoded = decode_message(req.get_media())
        if decoded.is_err():
            raise falcon.HTTPBadRequest(description=decoded.unwrap_err())
        resp.media = encode_message(self._respond(decoded.unwrap()))

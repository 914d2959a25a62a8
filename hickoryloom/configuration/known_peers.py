"""Selects the peers that a round of queries has to reach; no I/O."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from hickoryloom.membership import Heartbeat

__all__ = ["KnownPeers"]

PEER_EXPIRY_S = 3600.0
REFUSAL_EXPIRY_S = 60.0
NEVER = float("-inf")
SMALL_FLEET_MAX = 16
PEERS_PER_DOMAIN = 2
SAMPLE_SIZE = 2
KNOWS_MOST_RATIO = 0.8


@attrs.frozen
class _KnownPeer:
    incarnation: str
    failure_domain: str
    heard_at: float


class KnownPeers:
    """Keeps track of peers beyond their last heartbeat.

    A silent peer may be in another network partition together with the platform, so it counts until
    it is known to be gone: it announced its shutdown, its host refuses connections, the platform no
    longer lists it, or an hour has passed.

    Args:
        rng: Selects among the peers of a large fleet.
        seeds: Addresses to query while no peer is known.
        own_address: Address of this entry, which never counts as a peer.
    """

    def __init__(
        self, rng: random.Random, seeds: Iterable[str] = (), own_address: str = ""
    ) -> None:
        self._rng = rng
        self._own_address = own_address
        self._seeds = set(seeds) - {own_address}
        self._known: dict[str, _KnownPeer] = {}
        self._refused: dict[str, float] = {}

    @property
    def addresses(self) -> set[str]:
        """Addresses that may be queried: of known peers and of seeds."""
        return self._seeds.union(self._known)

    def __len__(self) -> int:
        return len(self._known)

    def record_heartbeat(self, heartbeat: Heartbeat, heard_at: float) -> None:
        """Record a peer's latest heartbeat, received at monotonic time `heard_at`."""
        address = heartbeat.address
        if heartbeat.stopping:
            self._known.pop(address, None)
            return
        domain = heartbeat.failure_domain
        self._known[address] = _KnownPeer(heartbeat.incarnation, domain, heard_at)

    def record_reported(
        self, address: str, incarnation: str, failure_domain: str, heard_at: float
    ) -> None:
        """Record a peer that another peer reported.

        A new entry must count all peers that its peers count. Otherwise a partitioned minority
        could be confirmed by a new entry that has never known any other peer.
        """
        known = self._known.get(address)
        if address == self._own_address or self._refused.get(address, NEVER) >= heard_at:
            return
        if known is None or known.heard_at < heard_at:
            self._known[address] = _KnownPeer(incarnation, failure_domain, heard_at)

    def record_response(self, address: str, now: float) -> None:
        """Record that a peer responded, even if it was only known as a seed."""
        self._refused.pop(address, None)
        if address not in self._known and address != self._own_address:
            self._known[address] = _KnownPeer("", "", now)

    def peers_to_report(self, now: float, known_count: int) -> dict[str, tuple[str, str, float]]:
        """Return each known peer's incarnation, failure domain and seconds since it was heard.

        Args:
            now: Monotonic time, in seconds.
            known_count: Number of peers that the requesting peer knows. In a large fleet, the
                result is empty for a peer that already knows most of them.
        """
        count = len(self._known)
        if count > SMALL_FLEET_MAX and known_count >= KNOWS_MOST_RATIO * count:
            return {}
        return {
            address: (peer.incarnation, peer.failure_domain, now - peer.heard_at)
            for address, peer in self._known.items()
        }

    def retain(self, incarnations: Collection[str]) -> None:
        """Remove all peers but these; call only with a current list from the platform."""
        removed = [
            address for address, peer in self._known.items() if peer.incarnation not in incarnations
        ]
        for address in removed:
            del self._known[address]

    def record_refusal(self, address: str, now: float) -> None:
        """Record that the peer's host refuses connections: no process listens there."""
        self._known.pop(address, None)
        self._refused[address] = now

    def select(self, now: float) -> dict[str, str]:
        """Return the failure domain of each peer to query, by address.

        Selects all peers of a small fleet, and a few per failure domain of a large one.
        """
        self._remove_expired(now)
        if not self._known:
            return dict.fromkeys(self._seeds, "")
        if len(self._known) <= SMALL_FLEET_MAX:
            return {address: peer.failure_domain for address, peer in self._known.items()}
        selected: dict[str, str] = {}
        for failure_domain, addresses in self._by_domain().items():
            count = min(PEERS_PER_DOMAIN, len(addresses))
            selected.update(dict.fromkeys(self._rng.sample(addresses, count), failure_domain))
        return selected

    def sample_peers(self) -> list[str]:
        """Return a few peers of a large fleet to query before a full round.

        Empty for a small fleet, where a full round costs little more.
        """
        if len(self._known) <= SMALL_FLEET_MAX:
            return []
        return self._rng.sample(sorted(self._known), SAMPLE_SIZE)

    def covers_required(self, queried: Mapping[str, str]) -> bool:
        """Return whether a round queried all required peers, as known after the round."""
        if not self._known:
            return self._seeds <= set(self._refused)
        if len(self._known) <= SMALL_FLEET_MAX:
            return set(self._known) <= set(queried)
        return {peer.failure_domain for peer in self._known.values()} <= set(queried.values())

    def filter_known(self, queried: Mapping[str, str]) -> dict[str, str]:
        """Return the queried peers that are still known after the round."""
        return {address: domain for address, domain in queried.items() if address in self._known}

    def _remove_expired(self, now: float) -> None:
        expired = [
            address for address, peer in self._known.items() if now - peer.heard_at > PEER_EXPIRY_S
        ]
        for address in expired:
            del self._known[address]
        self._refused = {
            address: time
            for address, time in self._refused.items()
            if now - time <= REFUSAL_EXPIRY_S
        }

    def _by_domain(self) -> dict[str, list[str]]:
        by_domain: dict[str, list[str]] = {}
        for address, peer in self._known.items():
            by_domain.setdefault(peer.failure_domain, []).append(address)
        return by_domain

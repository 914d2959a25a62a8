"""Which peers a round of questions has to reach; pure logic."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from hickoryloom.membership import Heartbeat

__all__ = ["KnownPeers"]

KNOWN_FOR_S = 3600.0
REFUSED_FOR_S = 60.0
NEVER = float("-inf")
ASK_ALL_UP_TO = 16
ASKED_PER_DOMAIN = 2
FEW_PEERS = 2
TOLD_BELOW = 0.8


@attrs.frozen
class _Known:
    incarnation: str
    failure_domain: str
    listed: float


class KnownPeers:
    """Remembers peers beyond their last heartbeat.

    A peer that fell silent may be cut off together with the platform, so it still counts until it
    is known to be gone: it stopped as planned, its host refuses connections, the platform lists it
    no longer, or an hour passed.

    Args:
        rng: Chooses among the peers of a large fleet.
        seeds: Addresses to ask while no peer is known.
        own_address: This entry's own, which is never counted.
    """

    def __init__(
        self, rng: random.Random, seeds: Iterable[str] = (), own_address: str = ""
    ) -> None:
        self._rng = rng
        self._own_address = own_address
        self._seeds = set(seeds) - {own_address}
        self._known: dict[str, _Known] = {}
        self._refused: dict[str, float] = {}

    @property
    def addresses(self) -> set[str]:
        """Addresses that may be asked: of known peers and of seeds."""
        return self._seeds.union(self._known)

    def __len__(self) -> int:
        return len(self._known)

    def listed(self, heartbeat: Heartbeat, heard: float) -> None:
        """Record a peer's latest heartbeat, heard at a monotonic time."""
        address = heartbeat.address
        if heartbeat.stopping:
            self._known.pop(address, None)
            return
        domain = heartbeat.failure_domain
        self._known[address] = _Known(heartbeat.incarnation, domain, heard)

    def learn(self, address: str, incarnation: str, failure_domain: str, heard: float) -> None:
        """Record what a peer knows of another.

        A new entry must count all that its peers count: else a few that were cut off together
        would be vouched for by an entry that has never known any other.
        """
        known = self._known.get(address)
        if address == self._own_address or self._refused.get(address, NEVER) >= heard:
            return
        if known is None or known.listed < heard:
            self._known[address] = _Known(incarnation, failure_domain, heard)

    def answered(self, address: str, now: float) -> None:
        """Record that a peer answered, be it only as a seed so far."""
        self._refused.pop(address, None)
        if address not in self._known and address != self._own_address:
            self._known[address] = _Known("", "", now)

    def told(self, now: float, asker_knows: int) -> dict[str, tuple[str, str, float]]:
        """Return incarnation, failure domain and seconds since its word of each known peer.

        Args:
            now: Monotonic time, in seconds.
            asker_knows: Peers that the asker knows; in a large fleet, one that knows most is told
                none.
        """
        count = len(self._known)
        if count > ASK_ALL_UP_TO and asker_knows >= TOLD_BELOW * count:
            return {}
        return {
            address: (peer.incarnation, peer.failure_domain, now - peer.listed)
            for address, peer in self._known.items()
        }

    def keep(self, incarnations: Collection[str]) -> None:
        """Forget all peers but these; only for when the platform has just told who is left."""
        gone = [
            address for address, peer in self._known.items() if peer.incarnation not in incarnations
        ]
        for address in gone:
            del self._known[address]

    def refused(self, address: str, now: float) -> None:
        """Record that the peer's host refuses connections, so that no process listens there."""
        self._known.pop(address, None)
        self._refused[address] = now

    def choose(self, now: float) -> dict[str, str]:
        """Return the failure domain of each peer to ask, by address.

        All of a small fleet are asked; of a large one, a few in each failure domain.
        """
        self._forget(now)
        if not self._known:
            return dict.fromkeys(self._seeds, "")
        if len(self._known) <= ASK_ALL_UP_TO:
            return {address: peer.failure_domain for address, peer in self._known.items()}
        chosen: dict[str, str] = {}
        for failure_domain, addresses in self._by_domain().items():
            count = min(ASKED_PER_DOMAIN, len(addresses))
            chosen.update(dict.fromkeys(self._rng.sample(addresses, count), failure_domain))
        return chosen

    def choose_few(self) -> list[str]:
        """Return the peers of a large fleet whose own evidence is worth asking for first.

        None in a small fleet, where a round costs little more.
        """
        if len(self._known) <= ASK_ALL_UP_TO:
            return []
        return self._rng.sample(sorted(self._known), FEW_PEERS)

    def has_reached(self, asked: Mapping[str, str]) -> bool:
        """Return whether those asked were all that a round has to ask, as is known after it."""
        if not self._known:
            return self._seeds <= set(self._refused)
        if len(self._known) <= ASK_ALL_UP_TO:
            return set(self._known) <= set(asked)
        return {peer.failure_domain for peer in self._known.values()} <= set(asked.values())

    def choose_among(self, asked: Mapping[str, str]) -> dict[str, str]:
        """Return those asked that still count once the round is over."""
        return {address: domain for address, domain in asked.items() if address in self._known}

    def _forget(self, now: float) -> None:
        old = [address for address, peer in self._known.items() if now - peer.listed > KNOWN_FOR_S]
        for address in old:
            del self._known[address]
        self._refused = {
            address: time for address, time in self._refused.items() if now - time <= REFUSED_FOR_S
        }

    def _by_domain(self) -> dict[str, list[str]]:
        domains: dict[str, list[str]] = {}
        for address, peer in self._known.items():
            domains.setdefault(peer.failure_domain, []).append(address)
        return domains

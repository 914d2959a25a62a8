"""Which peers a round of questions has to reach; pure logic."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

import attrs

from hickoryloom.membership import Heartbeat

__all__ = ["KnownPeers"]

KNOWN_FOR_S = 3600.0
ASK_ALL_UP_TO = 16
ASKED_PER_DOMAIN = 2
FEW_PEERS = 2


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
        seeds: Addresses that count while no peer is known.
    """

    def __init__(self, rng: random.Random, seeds: Iterable[str] = ()) -> None:
        self._rng = rng
        self._seeds = tuple(seeds)
        self._known: dict[str, _Known] = {}

    def listed(self, heartbeat: Heartbeat, heard: float) -> None:
        """Record a peer's latest heartbeat, heard at a monotonic time."""
        address = heartbeat.address
        if heartbeat.stopping:
            self._known.pop(address, None)
            return
        domain = heartbeat.failure_domain
        self._known[address] = _Known(heartbeat.incarnation, domain, heard)

    def keep(self, incarnations: Collection[str]) -> None:
        """Forget all peers but these; only for when the platform has just told who is left."""
        gone = [
            address for address, peer in self._known.items() if peer.incarnation not in incarnations
        ]
        for address in gone:
            del self._known[address]

    def refused(self, address: str) -> None:
        """Record that the peer's host refuses connections, so that no process listens there."""
        self._known.pop(address, None)

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

    def choose_among(self, asked: Mapping[str, str]) -> dict[str, str]:
        """Return those asked that still count once the round is over."""
        if not self._known:
            return dict(asked) if set(asked) <= set(self._seeds) else {}
        return {address: domain for address, domain in asked.items() if address in self._known}

    def _forget(self, now: float) -> None:
        old = [address for address, peer in self._known.items() if now - peer.listed > KNOWN_FOR_S]
        for address in old:
            del self._known[address]

    def _by_domain(self) -> dict[str, list[str]]:
        domains: dict[str, list[str]] = {}
        for address, peer in self._known.items():
            domains.setdefault(peer.failure_domain, []).append(address)
        return domains

"""Selects the instance that serves a request for one that can't reach a service.

This answers the load of one instance, of a failure domain or of most instances being cut off from
the servers while their callers keep coming: the requests are spread evenly over the instances that
are left. This module performs no I/O.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random

from hickoryloom.handover.messages import HandOverPeer

__all__ = ["HandOverPeers"]

SKIP_S = 1.0
"""Time for which a peer is not chosen after it could not be reached or could not serve."""

CHOICES = 2
"""Peers drawn at random, of which the one with fewer requests of this instance is chosen."""

IsCutOffAt = Callable[[str, str, float], bool]


class HandOverPeers:
    """The other live instances, and what this one has handed over to them.

    Args:
        address: Address of this instance.
        is_cut_off_at: Returns whether the instance at an address has told that it can't reach a
            service, given the monotonic time.
        rng: Draws peers.
    """

    def __init__(self, address: str, is_cut_off_at: IsCutOffAt, rng: Random) -> None:
        self._address = address
        self._is_cut_off_at = is_cut_off_at
        self._rng = rng
        self._peers: dict[str, HandOverPeer] = {}
        self._in_flight: Counter[str] = Counter()
        self._skipped: dict[tuple[str, str], float] = {}

    def set_peers(self, peers: Iterable[HandOverPeer]) -> None:
        """Replace the other live instances; those without a token take no requests."""
        self._peers = {
            peer.address: peer for peer in peers if peer.token and peer.address != self._address
        }

    def choose(self, service: str, exclude: frozenset[str], now: float) -> HandOverPeer | None:
        """Return the peer for a request to a service; None if no peer is known to reach it.

        Args:
            service: The service.
            exclude: Addresses of peers that must not be selected.
            now: Monotonic time in seconds.
        """
        usable = [
            peer
            for address, peer in self._peers.items()
            if address not in exclude
            and not self._is_skipped(address, service, now)
            and not self._is_cut_off_at(address, service, now)
        ]
        drawn = self._rng.sample(usable, min(CHOICES, len(usable)))
        return min(drawn, key=lambda peer: self._in_flight[peer.address], default=None)

    def record_sent(self, peer: HandOverPeer) -> None:
        """Record that a request was handed over."""
        self._in_flight[peer.address] += 1

    def record_end(self, peer: HandOverPeer) -> None:
        """Record that a request which was handed over has ended."""
        self._in_flight[peer.address] -= 1
        if self._in_flight[peer.address] <= 0:
            del self._in_flight[peer.address]

    def skip(self, peer: HandOverPeer, service: str, now: float) -> None:
        """Don't choose a peer for a service for a while, since it can't serve."""
        self._skipped = {key: until for key, until in self._skipped.items() if until > now}
        self._skipped[peer.address, service] = now + SKIP_S

    def _is_skipped(self, address: str, service: str, now: float) -> bool:
        return self._skipped.get((address, service), now) > now

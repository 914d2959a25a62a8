"""Selection of the peer that holds copies of an entry process's figures."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from hickoryloom.membership import Heartbeat, Peer

__all__ = ["choose_copy_peer"]


def choose_copy_peer(
    incarnation: str, failure_domain: str, peers: Sequence[Peer]
) -> Heartbeat | None:
    """Return a live peer by rendezvous hashing, in another failure domain if there is one."""
    candidates = [
        peer.heartbeat
        for peer in peers
        if not peer.heartbeat.stopping and peer.heartbeat.incarnation != incarnation
    ]
    other_domain_peers = [peer for peer in candidates if peer.failure_domain != failure_domain]
    chosen = other_domain_peers or candidates
    if not chosen:
        return None
    return max(chosen, key=lambda peer: _weight(incarnation, peer.incarnation))


def _weight(own: str, other: str) -> bytes:
    return hashlib.blake2b(f"{own}/{other}".encode(), digest_size=8).digest()

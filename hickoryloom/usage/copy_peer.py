"""Choice of the peer that holds copies of an entry's figures."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence

from hickoryloom.membership import Heartbeat, Peer

__all__ = ["choose_partner"]


def choose_partner(
    incarnation: str, failure_domain: str, peers: Sequence[Peer]
) -> Heartbeat | None:
    """Return a live peer, in another failure domain if there is one, the same while it lives."""
    candidates = [
        peer.heartbeat
        for peer in peers
        if not peer.heartbeat.stopping and peer.heartbeat.incarnation != incarnation
    ]
    elsewhere = [peer for peer in candidates if peer.failure_domain != failure_domain]
    chosen = elsewhere or candidates
    if not chosen:
        return None
    return max(chosen, key=lambda peer: _weight(incarnation, peer.incarnation))


def _weight(left: str, right: str) -> bytes:
    return hashlib.blake2b(f"{left}/{right}".encode(), digest_size=8).digest()

"""Selects the instances of a failure domain that read the store for the others.

This module performs no I/O.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from hashlib import blake2b

from hickoryloom.sharing.messages import Peer

__all__ = ["select_readers"]

MIN_FOLLOWED_INSTANCES = 8
"""Size of a failure domain from which its instances follow readers: in a smaller one, the calls
that are saved don't outweigh that a reader's fault delays others."""

MIN_READERS = 2
"""Readers of a failure domain, so that one of them can fail."""

MAX_FOLLOWERS = 20
"""Followers of one reader; each costs it about one small response per second."""


def select_readers(key: str, failure_domain: str, peers: Iterable[Peer]) -> tuple[Peer, ...]:
    """Return the readers that an instance follows, in the order in which it tries them.

    All instances select the same readers by rendezvous hashing without communication, and each
    prefers one of them by its own key, which divides the followers evenly.

    Args:
        key: Key of the instance.
        failure_domain: Failure domain of the instance.
        peers: Live instances; the instance itself may be missing.

    Returns:
        The readers; empty if the instance itself is one, or if the failure domain is small.
    """
    local = [peer for peer in peers if peer.failure_domain == failure_domain and peer.key != key]
    if len(local) + 1 < MIN_FOLLOWED_INSTANCES:
        return ()
    number = max(MIN_READERS, math.ceil((len(local) + 1) / (MAX_FOLLOWERS + 1)))
    ranked = sorted([key, *(peer.key for peer in local)], key=lambda name: _rank("", name))
    selected = ranked[:number]
    if key in selected:
        return ()
    readers = [peer for peer in local if peer.key in selected]
    return tuple(sorted(readers, key=lambda peer: _rank(key, peer.key)))


def _rank(key: str, name: str) -> bytes:
    return blake2b(f"{key}\n{name}".encode(), digest_size=8).digest()

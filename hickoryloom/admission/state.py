"""Admission's pure decisions over all pools of one entry."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

from hickoryloom.admission.decisions import Decision
from hickoryloom.admission.limits import LimitBook
from hickoryloom.admission.messages import Admitted, Request
from hickoryloom.admission.peers import PeerBook, PoolPeers
from hickoryloom.admission.pool import PoolState
from hickoryloom.admission.waiting import Waiting
from hickoryloom.configuration import EMPTY_SNAPSHOT, Pool, Snapshot
from hickoryloom.membership.messages import Peer, PoolSummary
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing.messages import BackendView

__all__ = ["AdmissionState"]

DEFAULT_TOKENS_PER_S = 40.0
PAUSE_S = 10.0


class AdmissionState:
    """Decides for one entry who starts, waits, is refused or gives way.

    No clock runs in here: each call is told the time, and returned decisions take effect at once.

    Args:
        incarnation: This entry.
        rng: Source of jitter.
    """

    def __init__(self, incarnation: str, rng: random.Random) -> None:
        self._incarnation = incarnation
        self._rng = rng
        self._snapshot = EMPTY_SNAPSHOT
        self._limits = LimitBook(incarnation)
        self._book = PeerBook()
        self._pools: dict[str, PoolState] = {}
        self._capacities: dict[str, int] = {}
        self._active = float("-inf")
        self._paused = float("-inf")
        self._known_to: set[str] = set()

    @property
    def pools(self) -> Mapping[str, PoolState]:
        """Pools that have been asked for, by name."""
        return self._pools

    def set_snapshot(self, snapshot: Snapshot, now: float) -> list[Decision]:
        """Put a configuration in force."""
        self._snapshot = snapshot
        self._limits.set_customers(snapshot.customers)
        for pool in self._pools.values():
            pool.set_classes(snapshot.classes)
        return self._refresh(now)

    def set_backends(self, views: Iterable[BackendView], now: float) -> list[Decision]:
        """Take in the backend servers that may get new work."""
        capacities: dict[str, int] = {}
        for view in views:
            if not view.leaving:
                capacities[view.pool] = capacities.get(view.pool, 0) + view.slots
        self._capacities = capacities
        return self._refresh(now)

    def set_peers(
        self, peers: Collection[Peer], now: float, missing: Collection[str] | None = None
    ) -> list[Decision]:
        """Take in the other entries.

        Args:
            peers: Live peers.
            now: Monotonic time in seconds.
            missing: Silent peers that are not known to have ended; None to let admission hold
                each silent peer for a while.
        """
        self._note_pause(now)
        self._book.update(peers, missing, now)
        return self._refresh(now)

    def submit(self, request: Request, now: float) -> Waiting:
        """Queue a request; the next `dispatch` of its pool decides on it."""
        self._note_pause(now)
        customer = self._snapshot.customers.get(request.customer)
        weight = customer.weight if customer is not None else 1.0
        waiting = Waiting(request=request, cost=0.0, since=now, weight=weight)
        self._pool(request.pool).submit(waiting, now)
        return waiting

    def withdraw(self, waiting: Waiting, now: float) -> None:
        """Drop a waiting request whose caller left or lost its key."""
        self._pool(waiting.request.pool).withdraw(waiting, now)

    def finish(self, admitted: Admitted, outcome: Outcome, now: float) -> list[Decision]:
        """Free the slot of a request that ended and decide who follows."""
        self._note_pause(now)
        pool = self._pool(admitted.request.pool)
        if not pool.finish(admitted, outcome, now):
            return []
        return pool.dispatch(now)

    def dispatch(self, pool: str, now: float) -> list[Decision]:
        """Decide on one pool."""
        self._note_pause(now)
        return self._pool(pool).dispatch(now)

    def dispatch_due(self, now: float) -> list[Decision]:
        """Decide on all pools."""
        self._note_pause(now)
        if self._book.expire(now):
            return self._refresh(now)
        return [decision for pool in self._pools.values() for decision in pool.dispatch(now)]

    def next_wake(self) -> float:
        """Return when `dispatch_due` is due next without an event, in seconds."""
        return min((pool.next_wake() for pool in self._pools.values()), default=float("inf"))

    def summaries(self, now: float) -> dict[str, PoolSummary]:
        """Return this entry's demand by pool, to be told to its peers."""
        return {name: pool.summary(now) for name, pool in self._pools.items()}

    def wants_word(self) -> bool:
        """Return whether requests wait for an exchange with the peers."""
        return any(pool.wants_word() for pool in self._pools.values())

    def pressure_epochs(self) -> int:
        """Return a count that grows with each change of pressure."""
        return sum(pool.pressure.epoch for pool in self._pools.values())

    def _pool(self, name: str) -> PoolState:
        found = self._pools.get(name)
        if found is None:
            declared = self._snapshot.pools.get(name)
            found = PoolState(name, _tokens_per_s(declared), self._limits, self._rng)
            found.set_classes(self._snapshot.classes)
            self._pools[name] = found
            self._view(found)
        return found

    def _view(self, pool: PoolState) -> None:
        entries = 1 + len(self._book.live) + len(self._book.missing)
        peers = PoolPeers.build(self._incarnation, pool.name, self._book)
        pool.set_view(self._capacities.get(pool.name, 0), peers, entries)

    def _divide_limits(self) -> None:
        entries = (self._incarnation, *self._book.live, *self._book.missing)
        self._limits.set_entries(entries, self._joined())

    def _joined(self) -> bool:
        """Return whether all entries count this one in when they divide customers' limits."""
        for name, peer in self._book.live.items():
            if peer.echoed is not None and peer.echoed > self._paused:
                self._known_to.add(name)
        entries = {*self._book.live, *self._book.missing}
        self._known_to &= entries
        return entries <= self._known_to

    def _note_pause(self, now: float) -> None:
        """Notice a start, and that this process stood still and peers may have given up on it."""
        if now - self._active > PAUSE_S:
            self._paused = now
            self._known_to.clear()
            self._divide_limits()
        self._active = now

    def _refresh(self, now: float) -> list[Decision]:
        self._divide_limits()
        decisions: list[Decision] = []
        for pool in self._pools.values():
            self._view(pool)
            decisions += pool.dispatch(now)
        return decisions


def _tokens_per_s(pool: Pool | None) -> float:
    return pool.tokens_per_s if pool is not None else DEFAULT_TOKENS_PER_S

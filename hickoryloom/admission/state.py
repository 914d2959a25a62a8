"""Admission decisions for all pools of one entry, without I/O."""

from __future__ import annotations

import random
from collections.abc import Collection, Iterable, Mapping

from hickoryloom.admission.decisions import Decision
from hickoryloom.admission.limits import CustomerLimits
from hickoryloom.admission.messages import Admitted, Request
from hickoryloom.admission.peers import PeerTable, PoolPeers
from hickoryloom.admission.pool import PoolState
from hickoryloom.admission.queued_request import QueuedRequest
from hickoryloom.configuration import EMPTY_SNAPSHOT, Pool, Snapshot
from hickoryloom.membership.messages import Peer, PoolSummary
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing.messages import BackendView

__all__ = ["AdmissionState"]

DEFAULT_TOKENS_PER_S = 40.0
PAUSE_THRESHOLD_S = 10.0
IDLE_REMOVAL_INTERVAL_S = 30.0


class AdmissionState:
    """Decides which requests of one entry are started, queued, refused or preempted.

    The class reads no clock: callers pass the time to each method and must carry out the returned
    decisions immediately.

    Args:
        incarnation: This entry's incarnation.
        rng: Source of jitter.
    """

    def __init__(self, incarnation: str, rng: random.Random) -> None:
        self._incarnation = incarnation
        self._rng = rng
        self._snapshot = EMPTY_SNAPSHOT
        self._limits = CustomerLimits(incarnation)
        self._peers = PeerTable()
        self._pools: dict[str, PoolState] = {}
        self._capacities: dict[str, int] = {}
        self._last_active = float("-inf")
        self._resumed_at = float("-inf")
        self._acknowledged_by: set[str] = set()
        self._idle_removed_at = 0.0

    @property
    def pools(self) -> Mapping[str, PoolState]:
        """Pools that have been used so far, by name."""
        return self._pools

    def set_snapshot(self, snapshot: Snapshot, now: float) -> list[Decision]:
        """Apply a new configuration."""
        self._snapshot = snapshot
        self._limits.set_customers(snapshot.customers)
        for pool in self._pools.values():
            pool.set_classes(snapshot.classes)
        return self._refresh(now)

    def set_backends(self, views: Iterable[BackendView], now: float) -> list[Decision]:
        """Update the backend servers; those that are leaving do not count as capacity."""
        capacities: dict[str, int] = {}
        for view in views:
            if not view.leaving:
                capacities[view.pool] = capacities.get(view.pool, 0) + view.slots
        self._capacities = capacities
        return self._refresh(now)

    def set_peers(
        self, peers: Collection[Peer], now: float, missing: Collection[str] | None = None
    ) -> list[Decision]:
        """Update the other entries.

        Args:
            peers: Live peers.
            now: Monotonic time in seconds.
            missing: Incarnations that are silent and not known to have ended; None to keep each
                silent peer as missing for `MISSING_PEER_TIMEOUT_S`.
        """
        self._detect_pause(now)
        self._peers.update(peers, missing, now)
        self._remove_idle(now)
        return self._refresh(now)

    def submit(self, request: Request, now: float) -> QueuedRequest:
        """Queue a request; the next `dispatch` of its pool decides on it."""
        self._detect_pause(now)
        customer = self._snapshot.customers.get(request.customer)
        weight = customer.weight if customer is not None else 1.0
        queued_request = QueuedRequest(request=request, cost=0.0, since=now, weight=weight)
        self._pool(request.pool).submit(queued_request, now)
        return queued_request

    def withdraw(self, queued_request: QueuedRequest, now: float) -> None:
        """Remove a queued request whose caller disconnected or whose API key was withdrawn."""
        self._pool(queued_request.request.pool).withdraw(queued_request, now)

    def finish(self, admitted: Admitted, outcome: Outcome, now: float) -> list[Decision]:
        """Release the slot of a finished request and dispatch its pool."""
        self._detect_pause(now)
        pool = self._pool(admitted.request.pool)
        if not pool.finish(admitted, outcome, now):
            return []
        return pool.dispatch(now)

    def dispatch(self, pool: str, now: float) -> list[Decision]:
        """Return the decisions that are due in one pool."""
        self._detect_pause(now)
        return self._pool(pool).dispatch(now)

    def dispatch_due(self, now: float) -> list[Decision]:
        """Return the decisions that are due in all pools."""
        self._detect_pause(now)
        if self._peers.expire(now):
            return self._refresh(now)
        return [decision for pool in self._pools.values() for decision in pool.dispatch(now)]

    def next_wake(self) -> float:
        """Return the monotonic time at which `dispatch_due` is due without another event."""
        times = [pool.next_wake() for pool in self._pools.values()]
        return min([*times, self._peers.next_expiry], default=float("inf"))

    def summaries(self, now: float) -> dict[str, PoolSummary]:
        """Return this entry's summary of each pool, for its peers."""
        return {name: pool.summary(now) for name, pool in self._pools.items()}

    def needs_peer_exchange(self) -> bool:
        """Return whether an immediate exchange with the peers could free slots for a queue."""
        return any(pool.needs_peer_exchange() for pool in self._pools.values())

    def pressure_epochs(self) -> int:
        """Return a counter that increases with each change of pressure."""
        return sum(pool.pressure.epoch for pool in self._pools.values())

    def _pool(self, name: str) -> PoolState:
        pool = self._pools.get(name)
        if pool is None:
            declared = self._snapshot.pools.get(name)
            pool = PoolState(name, _tokens_per_s(declared), self._limits, self._rng)
            pool.set_classes(self._snapshot.classes)
            self._pools[name] = pool
            self._update_view(pool)
        return pool

    def _update_view(self, pool: PoolState) -> None:
        entries = 1 + len(self._peers.live) + len(self._peers.missing)
        peers = PoolPeers.build(self._incarnation, pool.name, self._peers)
        pool.set_view(self._capacities.get(pool.name, 0), peers, entries)

    def _divide_limits(self) -> None:
        entries = (self._incarnation, *self._peers.live, *self._peers.missing)
        self._limits.set_entries(entries, self._joined())

    def _joined(self) -> bool:
        """Return whether all entries have made room for this one in the customers' limits.

        An entry that has acknowledged this one includes it when it divides the limits, but may
        still run requests from its larger share of before.
        """
        for name, peer in self._peers.live.items():
            acknowledged = (
                peer.acknowledged_at is not None and peer.acknowledged_at > self._resumed_at
            )
            pools = peer.heartbeat.pools.values()
            if acknowledged and not any(summary.over_share for summary in pools):
                self._acknowledged_by.add(name)
        entries = {*self._peers.live, *self._peers.missing}
        self._acknowledged_by &= entries
        return entries <= self._acknowledged_by

    def _remove_idle(self, now: float) -> None:
        """Remove the state of idle customers from time to time, so that it doesn't grow forever."""
        if now - self._idle_removed_at < IDLE_REMOVAL_INTERVAL_S:
            return
        self._idle_removed_at = now
        self._limits.remove_idle(now)
        for pool in self._pools.values():
            pool.remove_idle(self._limits.running)

    def _detect_pause(self, now: float) -> None:
        """Detect a start or a pause of this process.

        Peers may have dropped a paused process and divided its shares of the limits among
        themselves, so it holds no shares until all peers have acknowledged it again.
        """
        if now - self._last_active > PAUSE_THRESHOLD_S:
            self._resumed_at = now
            self._acknowledged_by.clear()
            self._divide_limits()
        self._last_active = now

    def _refresh(self, now: float) -> list[Decision]:
        self._divide_limits()
        decisions: list[Decision] = []
        for pool in self._pools.values():
            self._update_view(pool)
            decisions += pool.dispatch(now)
        return decisions


def _tokens_per_s(pool: Pool | None) -> float:
    return pool.tokens_per_s if pool is not None else DEFAULT_TOKENS_PER_S

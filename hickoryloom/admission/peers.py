"""Other entries' use of a pool, and the coordination of tier order and demand with them."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping

import attrs

from hickoryloom.admission.shares import equal_share
from hickoryloom.membership.messages import Peer, PoolSummary

__all__ = ["MISSING_PEER_TIMEOUT_S", "START_GRANT_S", "PeerTable", "PoolPeers", "Pressure"]

START_GRANT_S = 3.0
START_GRANT_MARGIN_S = 0.1
MISSING_PEER_TIMEOUT_S = 60.0
MAX_DEMAND_HISTORY = 2000
EMPTY_SUMMARY = PoolSummary()


class PeerTable:
    """Live peers, and silent peers that may still be running."""

    def __init__(self) -> None:
        self._live: dict[str, Peer] = {}
        self._missing: dict[str, float] = {}

    @property
    def live(self) -> Mapping[str, Peer]:
        """Peers with a recent heartbeat, by incarnation."""
        return self._live

    @property
    def missing(self) -> Collection[str]:
        """Incarnations of peers that are silent and not known to have ended."""
        return self._missing

    def update(self, peers: Collection[Peer], missing: Collection[str] | None, now: float) -> None:
        """Update the table from the membership.

        Args:
            peers: Live peers.
            missing: Incarnations that are silent and not known to have ended. If None, a peer
                that disappears from `peers` is kept as missing for `MISSING_PEER_TIMEOUT_S`,
                unless it announced that it is stopping.
            now: Monotonic time in seconds.
        """
        live = {peer.heartbeat.incarnation: peer for peer in peers}
        if missing is None:
            silent = [
                name
                for name, peer in self._live.items()
                if name not in live and not peer.heartbeat.stopping
            ]
            kept = {**dict.fromkeys(silent, now + MISSING_PEER_TIMEOUT_S), **self._missing}
            self._missing = {
                n: expires for n, expires in kept.items() if expires > now and n not in live
            }
        else:
            self._missing = dict.fromkeys(missing, float("inf"))
        self._live = live

    @property
    def next_expiry(self) -> float:
        """Monotonic time at which the next missing peer is removed; infinite for none."""
        return min(self._missing.values(), default=float("inf"))

    def expire(self, now: float) -> bool:
        """Remove missing peers whose timeout has expired; return whether there were any."""
        expired = [name for name, expires in self._missing.items() if expires <= now]
        for name in expired:
            del self._missing[name]
        return bool(expired)


@attrs.frozen
class PoolPeers:
    """The other entries' use of one pool, as last reported.

    Attributes:
        name: This entry's incarnation.
        summaries: Latest summaries of the pool from live peers, by incarnation.
        missing: Incarnations of silent peers that are not known to have ended.
        pressure: Highest tier that a peer may refuse soon; 0 for none.
        start_granted_until: Monotonic time until which tiers below the top may start, in seconds.
            Each heartbeat that all peers have acknowledged grants `START_GRANT_S`.
        acknowledged_at: Monotonic time of the latest heartbeat of this entry that all peers have
            acknowledged; None while a peer has acknowledged none or is missing.
    """

    name: str = ""
    summaries: Mapping[str, PoolSummary] = attrs.field(factory=dict)
    missing: frozenset[str] = frozenset()
    pressure: int = 0
    start_granted_until: float = float("inf")
    acknowledged_at: float | None = None

    @property
    def alone(self) -> bool:
        """Whether there is no other entry."""
        return not self.summaries and not self.missing

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot at the peers, as last reported."""
        return sum(summary.in_flight for summary in self.summaries.values())

    def equal_share(self, capacity: int) -> int:
        """Return the slots that this entry may occupy without coordination with its peers."""
        ranked = sorted([self.name, *self.summaries, *self.missing])
        return equal_share(capacity, ranked.index(self.name), len(ranked))

    def demands(self, tier: int, capacity: int) -> dict[str, int]:
        """Return the slots that each other entry demands for a tier.

        A missing peer counts as demanding the whole `capacity`.
        """
        demands = {peer: summary.demand.get(tier, 0) for peer, summary in self.summaries.items()}
        return demands | dict.fromkeys(self.missing, capacity)

    @classmethod
    def build(cls, name: str, pool: str, peer_table: PeerTable) -> PoolPeers:
        """Compute the view of one pool.

        Args:
            name: This entry's incarnation.
            pool: Name of the pool.
            peer_table: Known peers.
        """
        summaries = {
            incarnation: peer.heartbeat.pools.get(pool, EMPTY_SUMMARY)
            for incarnation, peer in peer_table.live.items()
        }
        acknowledgement_times = [
            peer.acknowledged_at
            for peer in peer_table.live.values()
            if peer.acknowledged_at is not None
        ]
        all_acknowledged = len(acknowledgement_times) == len(summaries) and not peer_table.missing
        acknowledged_at = (
            min(acknowledgement_times) if all_acknowledged and acknowledgement_times else None
        )
        start_granted_until = (
            float("-inf") if acknowledged_at is None else acknowledged_at + START_GRANT_S
        )
        alone = not summaries and not peer_table.missing
        return cls(
            name=name,
            summaries=summaries,
            missing=frozenset(peer_table.missing),
            pressure=min((s.pressure for s in summaries.values() if s.pressure), default=0),
            start_granted_until=float("inf") if alone else start_granted_until,
            acknowledged_at=acknowledged_at,
        )


@attrs.define
class Pressure:
    """Pressure and demand that this entry announces to its peers for one pool.

    Pressure for a tier tells the peers not to start lower tiers. A request of the tier may be
    refused once the pressure is in force: either every peer has acknowledged it, or every grant
    to start lower tiers that was given before has expired.

    Attributes:
        tier: Highest tier announced; 0 for none.
        epoch: Number of changes of `tier`.
        until: Monotonic time at which the announcement may be withdrawn, in seconds.
        announced_since: Monotonic time since which pressure for the tier or a higher one has
            been announced without interruption, by tier.
        demands: Announced demands, each with its monotonic time.
    """

    tier: int = 0
    epoch: int = 0
    until: float = 0.0
    announced_since: dict[int, float] = attrs.field(factory=dict)
    demands: deque[tuple[float, Mapping[int, int]]] = attrs.field(factory=deque)

    def announce(self, tier: int, now: float) -> bool:
        """Announce the highest tier that may be refused soon; return whether it changed."""
        if tier == self.tier:
            return False
        self.tier = tier
        self.epoch += 1
        if not tier:
            self.announced_since.clear()
            return True
        self.announced_since = {
            known: at for known, at in self.announced_since.items() if known >= tier
        }
        self.announced_since.setdefault(tier, now)
        return True

    def in_force(self, tier: int, peers: PoolPeers, now: float) -> bool:
        """Return whether no peer can start a tier below `tier` outside of its reserve."""
        if peers.alone:
            return True
        since = min(
            (at for known, at in self.announced_since.items() if known <= tier), default=None
        )
        if since is None:
            return False
        acknowledged = peers.acknowledged_at is not None and peers.acknowledged_at > since
        return acknowledged or now >= since + START_GRANT_S + START_GRANT_MARGIN_S

    def in_force_at(self, tier: int) -> float:
        """Return the latest monotonic time at which pressure for `tier` comes into force."""
        since = min(
            (at for known, at in self.announced_since.items() if known <= tier), default=0.0
        )
        return since + START_GRANT_S + START_GRANT_MARGIN_S

    def note_demand(self, demand: Mapping[int, int], now: float) -> None:
        """Record a demand by tier that is sent in a heartbeat."""
        self.demands.append((now, demand))
        while len(self.demands) > MAX_DEMAND_HISTORY:
            self.demands.popleft()

    def acknowledged_demand(self, acknowledged_at: float | None) -> dict[int, int]:
        """Return the demand by tier that every peer has acknowledged.

        If a lower demand was announced since then, the lower one counts.

        Args:
            acknowledged_at: Monotonic time of the latest heartbeat that all peers have
                acknowledged.
        """
        if acknowledged_at is None:
            return {}
        while len(self.demands) > 1 and self.demands[1][0] <= acknowledged_at:
            self.demands.popleft()
        if not self.demands or self.demands[0][0] > acknowledged_at:
            return {}
        acknowledged = dict(self.demands[0][1])
        for _, demand in self.demands:
            acknowledged = {
                tier: min(wanted, demand.get(tier, 0)) for tier, wanted in acknowledged.items()
            }
        return acknowledged

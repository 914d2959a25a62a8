"""What an entry knows of the other entries' use of one pool, and what that lets it do."""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Mapping

import attrs

from hickoryloom.admission.shares import equal_part
from hickoryloom.membership.messages import Peer, PoolSummary

__all__ = ["LEAVE_S", "MISSING_HOLD_S", "PeerBook", "PoolPeers", "Pressure"]

LEAVE_S = 3.0
LEAVE_MARGIN_S = 0.1
MISSING_HOLD_S = 60.0
MAX_DEMANDS = 2000
NO_SUMMARY = PoolSummary()


class PeerBook:
    """Keeps live peers, and those that went silent and may still run."""

    def __init__(self) -> None:
        self._live: dict[str, Peer] = {}
        self._missing: dict[str, float] = {}

    @property
    def live(self) -> Mapping[str, Peer]:
        """Peers heard of late, by incarnation."""
        return self._live

    @property
    def missing(self) -> Collection[str]:
        """Peers that are silent and not known to have ended."""
        return self._missing

    def update(self, peers: Collection[Peer], missing: Collection[str] | None, now: float) -> None:
        """Take in the peers of membership.

        Args:
            peers: Live peers.
            missing: Silent peers that are not known to have ended; None to keep each silent
                peer for `MISSING_HOLD_S`.
            now: Monotonic time in seconds.
        """
        live = {peer.heartbeat.incarnation: peer for peer in peers}
        if missing is None:
            silent = [
                name
                for name, peer in self._live.items()
                if name not in live and not peer.heartbeat.stopping
            ]
            held = {**dict.fromkeys(silent, now + MISSING_HOLD_S), **self._missing}
            self._missing = {n: end for n, end in held.items() if end > now and n not in live}
        else:
            self._missing = dict.fromkeys(missing, float("inf"))
        self._live = live

    def expire(self, now: float) -> bool:
        """Drop silent peers that were held long enough; return whether there were any."""
        ended = [name for name, end in self._missing.items() if end <= now]
        for name in ended:
            del self._missing[name]
        return bool(ended)


@attrs.frozen
class PoolPeers:
    """The other entries' use of one pool, as of one exchange.

    Attributes:
        name: This entry's incarnation.
        summaries: What live peers said of the pool, by incarnation.
        missing: Silent peers that are not known to have ended.
        pressure: Highest tier that a peer may refuse soon; 0 for none.
        leave_until: Monotonic time until which tiers below the top may start, in seconds; each
            peer gives leave with each heartbeat that it answers.
        echoed: Monotonic time of the latest own heartbeat that all peers have heard; None
            while one has heard none.
    """

    name: str = ""
    summaries: Mapping[str, PoolSummary] = attrs.field(factory=dict)
    missing: frozenset[str] = frozenset()
    pressure: int = 0
    leave_until: float = float("inf")
    echoed: float | None = None

    @property
    def alone(self) -> bool:
        """Whether there is no other entry."""
        return not self.summaries and not self.missing

    @property
    def in_flight(self) -> int:
        """Requests that peers have started, as last heard."""
        return sum(summary.in_flight for summary in self.summaries.values())

    def equal_part(self, capacity: int) -> int:
        """Return the slots that this entry may fill without a word to its peers."""
        ranked = sorted([self.name, *self.summaries, *self.missing])
        return equal_part(capacity, ranked.index(self.name), len(ranked))

    def demands(self, tier: int, capacity: int) -> dict[str, int]:
        """Return the slots that each other entry wants for a tier."""
        wanted = {peer: found.demand.get(tier, 0) for peer, found in self.summaries.items()}
        return wanted | dict.fromkeys(self.missing, capacity)

    @classmethod
    def build(cls, name: str, pool: str, book: PeerBook) -> PoolPeers:
        """Compute the view of one pool.

        Args:
            name: This entry's incarnation.
            pool: Name of the pool.
            book: Known peers.
        """
        summaries = {
            peer: found.heartbeat.pools.get(pool, NO_SUMMARY) for peer, found in book.live.items()
        }
        heard = [found.echoed for found in book.live.values() if found.echoed is not None]
        all_heard = len(heard) == len(summaries) and not book.missing
        echoed = min(heard) if all_heard and heard else None
        leave_until = float("-inf") if echoed is None else echoed + LEAVE_S
        alone = not summaries and not book.missing
        return cls(
            name=name,
            summaries=summaries,
            missing=frozenset(book.missing),
            pressure=min((s.pressure for s in summaries.values() if s.pressure), default=0),
            leave_until=float("inf") if alone else leave_until,
            echoed=echoed,
        )


@attrs.define
class Pressure:
    """This entry's own announcements about one pool.

    A tier may be refused once its pressure is in force: every peer has heard of it, or every
    leave to start lower tiers that was given before has lapsed.

    Attributes:
        tier: Highest tier announced; 0 for none.
        epoch: Counts changes.
        until: Monotonic time at which the announcement may be taken back, in seconds.
        raised: Monotonic time since which pressure for a tier or a higher one has been
            announced without a break, by tier.
        demands: Demands announced, with the monotonic time of each.
    """

    tier: int = 0
    epoch: int = 0
    until: float = 0.0
    raised: dict[int, float] = attrs.field(factory=dict)
    demands: deque[tuple[float, Mapping[int, int]]] = attrs.field(factory=deque)

    def announce(self, tier: int, now: float) -> bool:
        """Announce the highest tier that may be refused soon; return whether it changed."""
        if tier == self.tier:
            return False
        self.tier = tier
        self.epoch += 1
        if not tier:
            self.raised.clear()
            return True
        self.raised = {known: at for known, at in self.raised.items() if known >= tier}
        self.raised.setdefault(tier, now)
        return True

    def in_force(self, tier: int, peers: PoolPeers, now: float) -> bool:
        """Return whether no peer can start a tier below `tier`."""
        if peers.alone:
            return True
        since = min((at for known, at in self.raised.items() if known <= tier), default=None)
        if since is None:
            return False
        heard = peers.echoed is not None and peers.echoed > since
        return heard or now >= since + LEAVE_S + LEAVE_MARGIN_S

    def in_force_at(self, tier: int) -> float:
        """Return when pressure for `tier` is in force at the latest, in seconds."""
        since = min((at for known, at in self.raised.items() if known <= tier), default=0.0)
        return since + LEAVE_S + LEAVE_MARGIN_S

    def note_demand(self, demand: Mapping[int, int], now: float) -> None:
        """Remember a demand by tier that was put into a heartbeat."""
        self.demands.append((now, demand))
        while len(self.demands) > MAX_DEMANDS:
            self.demands.popleft()

    def agreed_demand(self, echoed: float | None) -> dict[int, int]:
        """Return the demand by tier that every peer knows of and that was not taken back since."""
        if echoed is None:
            return {}
        while len(self.demands) > 1 and self.demands[1][0] <= echoed:
            self.demands.popleft()
        if not self.demands or self.demands[0][0] > echoed:
            return {}
        agreed = dict(self.demands[0][1])
        for _, demand in self.demands:
            agreed = {tier: min(wanted, demand.get(tier, 0)) for tier, wanted in agreed.items()}
        return agreed

"""Data types of membership: presence objects and heartbeats between entry processes."""

from __future__ import annotations

import attrs

from hickoryloom.evidence import AgedRecord

__all__ = ["Heartbeat", "Peer", "PoolSummary", "Presence"]


@attrs.frozen
class Presence:
    """Presence object of an entry or control process, as stored in the platform.

    Attributes:
        incarnation: Id of the process; new with each start.
        address: `host:port` that other processes connect to.
        failure_domain: Failure domain of the process.
        role: `entry` or `control`.
        admin: `host:port` that operators connect to.
    """

    incarnation: str
    address: str
    failure_domain: str
    role: str = "entry"
    admin: str = ""


@attrs.frozen
class PoolSummary:
    """Demand of one entry process on one pool.

    Attributes:
        in_flight: Number of requests in flight.
        backlog: Number of waiting requests, by tier.
        highest_waiting: Highest tier with a waiting request (1 is the highest); 0 for none.
        pressure: Highest tier that may be refused soon; 0 for none. Peers that know of it start
            no request of a lower tier in the pool.
        epoch: Number of changes of `pressure` in this entry process.
        demand: Number of slots wanted, by tier, including those of requests in flight.
        over_share: Whether the process runs more requests of a customer than its share of the
            customer's limit, as after the join of another entry.
    """

    in_flight: int = 0
    backlog: dict[int, int] = attrs.field(factory=dict)
    highest_waiting: int = 0
    pressure: int = 0
    epoch: int = 0
    demand: dict[int, int] = attrs.field(factory=dict)
    over_share: bool = False


@attrs.frozen
class Heartbeat:
    """State that an entry process periodically sends to its peers.

    Attributes:
        incarnation: Id of the process; new with each start.
        address: `host:port` that other entry processes connect to.
        failure_domain: Failure domain of the process.
        generation: Generation of the configuration in force.
        revision: Latest platform revision seen.
        platform_age_s: Seconds since the platform was seen, directly or through a peer.
        pools: Demand by pool.
        leaving: Ids of backend servers known to be leaving.
        stopping: Whether the process is in a planned stop.
        sequence: Sequence number of the heartbeat.
        evidence: Latest evidence that the process has or passes on.
        seen: Latest sequence number received from a peer, by the peer's incarnation.
    """

    incarnation: str
    address: str
    failure_domain: str
    generation: int
    revision: int
    platform_age_s: float
    pools: dict[str, PoolSummary] = attrs.field(factory=dict)
    leaving: tuple[str, ...] = ()
    stopping: bool = False
    sequence: int = 0
    evidence: tuple[AgedRecord, ...] = ()
    seen: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class Peer:
    """A live peer as this process sees it.

    Attributes:
        heartbeat: Its latest heartbeat.
        received_at: Monotonic time of this process at which the heartbeat was received, in seconds.
        acknowledged_at: Monotonic time at which this process built the latest of its own heartbeats
            that the peer acknowledges in `heartbeat.seen`; None if it acknowledged none yet.
    """

    heartbeat: Heartbeat
    received_at: float
    acknowledged_at: float | None = None

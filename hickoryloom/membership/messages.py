"""Messages of membership: presence and heartbeats between entries."""

from __future__ import annotations

import attrs

__all__ = ["Heartbeat", "Peer", "PoolSummary", "Presence"]


@attrs.frozen
class Presence:
    """An entry or control process as it stands in the platform's objects.

    Attributes:
        incarnation: New with each start of a process.
        address: `host:port` for other processes.
        failure_domain: Where it runs.
        role: `entry` or `control`.
        admin: `host:port` for operators.
    """

    incarnation: str
    address: str
    failure_domain: str
    role: str = "entry"
    admin: str = ""


@attrs.frozen
class PoolSummary:
    """One entry's demand on one pool.

    Attributes:
        in_flight: Requests that it has started.
        backlog: Requests that wait, by tier.
        highest_waiting: Highest tier that waits (1 is the highest); 0 for none.
        pressure: Highest tier that may be refused soon; 0 for none. No peer that knows of it
            starts a lower tier in the pool.
        epoch: Counts the entry's changes of pressure.
        demand: Slots that it wants by tier, requests in flight included.
    """

    in_flight: int = 0
    backlog: dict[int, int] = attrs.field(factory=dict)
    highest_waiting: int = 0
    pressure: int = 0
    epoch: int = 0
    demand: dict[int, int] = attrs.field(factory=dict)


@attrs.frozen
class Heartbeat:
    """What an entry tells its peers once a period.

    Attributes:
        incarnation: New with each start of a process.
        address: `host:port` for other entries.
        failure_domain: Where it runs.
        generation: Configuration in force.
        revision: Platform's revision seen last.
        platform_age_s: Seconds since the platform was seen, by itself or through a peer.
        pools: Its demand by pool.
        leaving: Ids of backend servers known to be leaving.
        stopping: Whether it is in a planned stop.
        sequence: Counts its heartbeats.
        seen: Latest sequence that it has heard of each peer, by incarnation.
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
    seen: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class Peer:
    """A live peer as this process sees it.

    Attributes:
        heartbeat: Its latest heartbeat.
        heard: Monotonic time of this process at which it came, in seconds.
        echoed: Monotonic time of this process at which it built the latest of its own
            heartbeats that the peer had heard when it built this one; None for none yet.
    """

    heartbeat: Heartbeat
    heard: float
    echoed: float | None = None

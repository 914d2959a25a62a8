"""Data types of fleet scaling: demand, servers, targets and plans."""

from __future__ import annotations

import enum

import attrs

__all__ = [
    "Demand",
    "FleetPlan",
    "Need",
    "PoolDemand",
    "ServerState",
    "ServerView",
    "Site",
    "Targets",
    "TierDemand",
]


@attrs.frozen
class TierDemand:
    """Demand of one tier for one pool.

    Attributes:
        in_flight: Running requests.
        waiting: Queued requests.
        arrivals_per_s: Requests per second, including refused ones.
        busy_s: Mean seconds for which a request holds a slot.
        missed_part: Fraction of the requests that missed their target or were refused.
    """

    in_flight: int = 0
    waiting: int = 0
    arrivals_per_s: float = 0.0
    busy_s: float = 0.0
    missed_part: float = 0.0


PoolDemand = dict[int, TierDemand]


@attrs.frozen
class Demand:
    """Demand reported by one entry.

    Attributes:
        incarnation: Incarnation of the entry.
        pools: Demand by pool and tier.
    """

    incarnation: str
    pools: dict[str, dict[int, TierDemand]] = attrs.field(factory=dict)


class ServerState(enum.Enum):
    """State of a backend server in the plan."""

    STARTING = "starting"
    RUNNING = "running"
    LEAVING = "leaving"


@attrs.frozen
class Site:
    """Where a server can be ordered: a failure domain, with cheap (reclaimable) capacity or not."""

    failure_domain: str
    cheap: bool


@attrs.frozen
class ServerView:
    """One backend server in the plan; `fixed` servers are configured and can't be released."""

    id: str
    site: Site
    state: ServerState
    fixed: bool = False


@attrs.frozen
class Need:
    """Slots that a pool needs.

    Attributes:
        upper: For tiers that must survive the loss of a failure domain and of cheap capacity.
        lower: For lower tiers, whose responses can be resumed on another server.
    """

    upper: float
    lower: float


Targets = dict[Site, int]


@attrs.frozen
class FleetPlan:
    """Changes to make to one pool now.

    Attributes:
        orders: Sites at which to order one backend server each.
        releases: Ids of backend servers to drain and release.
        targets: Target number of backend servers by site.
        need: Slots from which the targets were computed.
    """

    orders: tuple[Site, ...]
    releases: tuple[str, ...]
    targets: Targets
    need: Need

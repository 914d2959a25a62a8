"""Messages of ordering: demand, servers, targets and plans."""

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
    """Demand of one tier on one pool.

    Attributes:
        in_flight: Requests that run now.
        waiting: Requests that wait now.
        arrivals_per_s: Requests a second, refused ones included.
        busy_s: Mean seconds for which a request holds a slot.
        missed_part: Part of the requests that missed their target or were refused.
    """

    in_flight: int = 0
    waiting: int = 0
    arrivals_per_s: float = 0.0
    busy_s: float = 0.0
    missed_part: float = 0.0


PoolDemand = dict[int, TierDemand]


@attrs.frozen
class Demand:
    """What one entry tells of demand: by pool, then by tier.

    Attributes:
        incarnation: The entry.
        pools: Demand by pool and tier.
    """

    incarnation: str
    pools: dict[str, dict[int, TierDemand]] = attrs.field(factory=dict)


class ServerState(enum.Enum):
    """What the plan counts a backend server as."""

    STARTING = "starting"
    RUNNING = "running"
    LEAVING = "leaving"


@attrs.frozen
class Site:
    """A kind of capacity that can be ordered: a failure domain, reclaimable or not."""

    failure_domain: str
    cheap: bool


@attrs.frozen
class ServerView:
    """One backend server as the plan sees it; `fixed` ones can't be released."""

    id: str
    site: Site
    state: ServerState
    fixed: bool = False


@attrs.frozen
class Need:
    """Slots that a pool needs.

    Attributes:
        upper: Of tiers that must survive the loss of a failure domain and of cheap capacity.
        lower: Of lower tiers whose answers may be resumed elsewhere.
    """

    upper: float
    lower: float


Targets = dict[Site, int]


@attrs.frozen
class FleetPlan:
    """What to do for one pool now.

    Attributes:
        orders: Sites at which to order one backend server each.
        releases: Ids of backend servers to drain and give back.
        targets: Backend servers wanted by site.
        need: Slots on which the targets rest.
    """

    orders: tuple[Site, ...]
    releases: tuple[str, ...]
    targets: Targets
    need: Need

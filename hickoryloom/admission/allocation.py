"""Division of a pool's slots between entries, by tier."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import attrs

from hickoryloom.admission.peers import PoolPeers
from hickoryloom.admission.shares import max_min_shares, share_of

__all__ = ["Allocation", "allocate"]

HIGHER_TIER_HEADROOM = 0.03


@attrs.frozen
class Allocation:
    """Upper bounds on the slots that this entry may occupy, for each tier.

    Attributes:
        current: Slots by tier, given the demand of this entry that its peers know of.
        potential: Slots by tier after the peers have learned of a larger demand.
        free: Slots that no peer is known to occupy.
    """

    current: Mapping[int, int]
    potential: Mapping[int, int]
    free: int

    def room(self, tier: int, in_flight: int, reserved: int) -> int:
        """Return how many requests of `tier` may start outside of their reserve.

        Args:
            tier: The tier.
            in_flight: Requests of this entry that hold a slot.
            reserved: How many of these run in their reserve.
        """
        unused = self.current.get(tier, 0) - (in_flight - reserved)
        return min(unused, self.free - in_flight)


def allocate(
    capacity: int,
    tiers: Collection[int],
    peers: PoolPeers,
    own: Mapping[int, int],
    acknowledged: Mapping[int, int],
    reserves: Mapping[int, float],
) -> Allocation:
    """Divide a pool between entries, in order of tier.

    The demand of a higher tier is met at all entries before that of a lower tier. While a higher
    tier has any demand, lower tiers keep `HIGHER_TIER_HEADROOM` of the slots free for it.

    Args:
        capacity: Slots of the pool.
        tiers: Tiers of the configured classes.
        peers: The other entries' use of the pool.
        own: This entry's demand by tier.
        acknowledged: The part of `own` that all peers know of.
        reserves: Reserved slots of the whole pool by tier. Only the reserves of tiers with demand
            are subtracted from the capacity.
    """
    potential: dict[int, int] = {}
    left = capacity - _reserved_slots(peers, own, reserves)
    equal = peers.equal_share(left)
    guaranteed = 0
    higher = False
    for tier in sorted(tiers):
        demands = peers.demands(tier, left)
        headroom = math.ceil(HIGHER_TIER_HEADROOM * capacity) if higher else 0
        potential[tier] = guaranteed + share_of(peers.name, left - headroom, demands)
        own_demand = own.get(tier, 0) if peers.alone else acknowledged.get(tier, 0)
        shares = max_min_shares(left, {**demands, peers.name: own_demand})
        guaranteed += shares[peers.name]
        left -= sum(shares.values())
        higher = higher or sum(demands.values()) > 0 or own.get(tier, 0) > 0
    bound = capacity if peers.alone else max(equal, guaranteed)
    current = {tier: min(slots, bound) for tier, slots in potential.items()}
    return Allocation(current, potential, max(0, capacity - peers.in_flight))


def _reserved_slots(peers: PoolPeers, own: Mapping[int, int], reserves: Mapping[int, float]) -> int:
    demanded = {tier for tier, demand in own.items() if demand}
    for summary in peers.summaries.values():
        demanded.update(tier for tier, demand in summary.demand.items() if demand)
    return math.ceil(sum(slots for tier, slots in reserves.items() if tier in demanded))

"""Slots of a pool that one entry may fill, by tier."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping

import attrs

from hickoryloom.admission.peers import PoolPeers
from hickoryloom.admission.shares import share_of, spread

__all__ = ["Allotment", "allot"]

HEADROOM = 0.03


@attrs.frozen
class Allotment:
    """How many slots an entry may fill, in all, before it starts another request of a tier.

    Attributes:
        now: Slots by tier, with what the peers know of this entry's demand.
        wanted: Slots by tier once the peers know of a larger demand.
        free: Slots that no peer is known to fill.
    """

    now: Mapping[int, int]
    wanted: Mapping[int, int]
    free: int

    def room(self, tier: int, in_flight: int, reserved: int) -> int:
        """Return how many requests of `tier` may start outside of their reserve.

        Args:
            tier: The tier.
            in_flight: Requests of this entry that hold a slot.
            reserved: Those of them that run in their reserve.
        """
        own = self.now.get(tier, 0) - (in_flight - reserved)
        return min(own, self.free - in_flight)


def allot(
    capacity: int,
    tiers: Collection[int],
    peers: PoolPeers,
    own: Mapping[int, int],
    agreed: Mapping[int, int],
    reserves: Mapping[int, float],
) -> Allotment:
    """Divide a pool between entries, one tier after the other.

    The demand of a higher tier is met at all entries before that of a lower one. While a higher
    tier has any demand, lower tiers leave a part of the slots free for it.

    Args:
        capacity: Slots of the pool.
        tiers: Tiers of the classes in force.
        peers: The other entries' use of the pool.
        own: This entry's demand by tier.
        agreed: The part of it that all peers know of.
        reserves: Reserved slots of the whole pool by tier; those of tiers with demand are set
            aside.
    """
    wanted: dict[int, int] = {}
    left = capacity - _set_aside(peers, own, reserves)
    equal = peers.equal_part(left)
    sure = 0
    higher = False
    for tier in sorted(tiers):
        demands = peers.demands(tier, left)
        headroom = math.ceil(HEADROOM * capacity) if higher else 0
        wanted[tier] = sure + share_of(peers.name, left - headroom, demands)
        mine = own.get(tier, 0) if peers.alone else agreed.get(tier, 0)
        parts = spread(left, {**demands, peers.name: mine})
        sure += parts[peers.name]
        left -= sum(parts.values())
        higher = higher or sum(demands.values()) > 0 or own.get(tier, 0) > 0
    bound = capacity if peers.alone else max(equal, sure)
    now = {tier: min(slots, bound) for tier, slots in wanted.items()}
    return Allotment(now, wanted, max(0, capacity - peers.in_flight))


def _set_aside(peers: PoolPeers, own: Mapping[int, int], reserves: Mapping[int, float]) -> int:
    wanted = {tier for tier, demand in own.items() if demand}
    for summary in peers.summaries.values():
        wanted.update(tier for tier, demand in summary.demand.items() if demand)
    return math.ceil(sum(slots for tier, slots in reserves.items() if tier in wanted))

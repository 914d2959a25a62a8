"""Selects the peers that each entry process exchanges heartbeats with, from the live ones alone.

Up to `MESH_LIMIT` entry processes form a full mesh. Beyond that, each region has one aggregator
per pool, chosen by rendezvous hashing: entry processes exchange heartbeats with the aggregators
of their own region, and the aggregators of a pool with each other.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping

import attrs

__all__ = ["MESH_LIMIT", "Topology", "choose_aggregator", "plan_topology"]

MESH_LIMIT = 9


@attrs.frozen
class Topology:
    """Peers and aggregated pools of one entry process.

    Attributes:
        mesh: Whether all entry processes exchange with each other.
        peers: Entry processes that it exchanges with.
        aggregates: Pools that it aggregates for its region.
    """

    mesh: bool
    peers: frozenset[str]
    aggregates: frozenset[str]


def choose_aggregator(pool: str, region: str, entries: Collection[str]) -> str:
    """Return the entry process that aggregates a pool for a region.

    Processes that know the same entry processes choose the same one. The loss of an entry process
    moves only the pools that it aggregated.

    Args:
        pool: Name of the pool.
        region: Name of the region.
        entries: Live entry processes of the region; at least one.
    """
    return max(entries, key=lambda entry: (_score(pool, region, entry), entry))


def plan_topology(name: str, regions: Mapping[str, str], pools: Collection[str]) -> Topology:
    """Return the topology from the view of one entry process.

    Args:
        name: The entry process.
        regions: Region of each live entry process, including this one.
        pools: Names of all pools.
    """
    others = regions.keys() - {name}
    if len(regions) <= MESH_LIMIT:
        return Topology(True, frozenset(others), frozenset())
    members: dict[str, list[str]] = {}
    for entry, region in regions.items():
        members.setdefault(region, []).append(entry)
    aggregators = {
        (pool, region): choose_aggregator(pool, region, entries)
        for pool in pools
        for region, entries in members.items()
    }
    own_region = regions[name]
    peers = {aggregators[pool, own_region] for pool in pools}
    aggregates = frozenset(pool for pool in pools if aggregators[pool, own_region] == name)
    for pool in aggregates:
        peers.update(members[own_region])
        peers.update(aggregators[pool, region] for region in members)
    return Topology(False, frozenset(peers - {name}), aggregates)


def _score(pool: str, region: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{pool}\0{region}\0{entry}".encode(), digest_size=8).digest()

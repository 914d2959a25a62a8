"""Who exchanges heartbeats with whom, as a function of the live entries.

A full mesh carries a few entries. Beyond `MESH_LIMIT`, each region has one aggregator for each
pool, chosen by rendezvous hashing: entries exchange with the aggregators of their own region,
and the aggregators of a pool with each other.
"""

from __future__ import annotations

import hashlib
from collections.abc import Collection, Mapping

import attrs

__all__ = ["MESH_LIMIT", "Topology", "choose_aggregator", "plan_topology"]

MESH_LIMIT = 9


@attrs.frozen
class Topology:
    """One entry's partners.

    Attributes:
        mesh: Whether all entries exchange with each other.
        partners: Entries that it exchanges with.
        aggregates: Pools whose summary of its region it keeps.
    """

    mesh: bool
    partners: frozenset[str]
    aggregates: frozenset[str]


def choose_aggregator(pool: str, region: str, entries: Collection[str]) -> str:
    """Return the entry that keeps a region's summary of a pool.

    All that know the same entries choose the same one, and the loss of an entry moves only the
    pools that it kept.

    Args:
        pool: Name of the pool.
        region: Name of the region.
        entries: Live entries of the region; at least one.
    """
    return max(entries, key=lambda entry: (_score(pool, region, entry), entry))


def plan_topology(name: str, regions: Mapping[str, str], pools: Collection[str]) -> Topology:
    """Return the partners of one entry.

    Args:
        name: The entry.
        regions: Region of each live entry, this one included.
        pools: Names of all pools.
    """
    others = regions.keys() - {name}
    if len(regions) <= MESH_LIMIT:
        return Topology(True, frozenset(others), frozenset())
    members: dict[str, list[str]] = {}
    for entry, region in regions.items():
        members.setdefault(region, []).append(entry)
    chosen = {
        (pool, region): choose_aggregator(pool, region, entries)
        for pool in pools
        for region, entries in members.items()
    }
    own = regions[name]
    partners = {chosen[pool, own] for pool in pools}
    aggregates = frozenset(pool for pool in pools if chosen[pool, own] == name)
    for pool in aggregates:
        partners.update(members[own])
        partners.update(chosen[pool, region] for region in members)
    return Topology(False, frozenset(partners - {name}), aggregates)


def _score(pool: str, region: str, entry: str) -> bytes:
    return hashlib.blake2b(f"{pool}\0{region}\0{entry}".encode(), digest_size=8).digest()

"""Sizes of a pool by site, such that no single loss takes what the upper tiers need."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from hickoryloom.configuration import Pool
from hickoryloom.fleet.messages import Need, Site, Targets

__all__ = ["choose_targets", "lower_tiers_of", "servers_surviving", "spread"]


def lower_tiers_of(used: Collection[int], not_resumable: Collection[int]) -> frozenset[int]:
    """Return the tiers of a pool whose work may run on reclaimable backend servers.

    Args:
        used: Tiers that have used the pool.
        not_resumable: Tiers with a class whose answers can't be resumed.

    Returns:
        Every used tier below the highest one whose classes may all be resumed.
    """
    if not used:
        return frozenset()
    return frozenset(used) - {min(used)} - frozenset(not_resumable)


def servers_surviving(needed: int, failure_domains: int) -> int:
    """Return the fewest servers, spread evenly, of which `needed` survive any one domain."""
    if failure_domains < 2 or needed == 0:
        return needed
    total = needed
    while total - math.ceil(total / failure_domains) < needed:
        total += 1
    return total


def spread(total: int, failure_domains: Sequence[str], present: dict[str, int]) -> dict[str, int]:
    """Divide `total` evenly; the remainder goes where most servers are present already."""
    if not failure_domains:
        return {}
    base, rest = divmod(total, len(failure_domains))
    by_presence = sorted(failure_domains, key=lambda name: (-present.get(name, 0), name))
    return {name: base + (1 if at < rest else 0) for at, name in enumerate(by_presence)}


def choose_targets(
    pool: Pool,
    need: Need,
    blocked: frozenset[Site],
    present: dict[Site, int],
) -> Targets:
    """Return the backend servers wanted at each site.

    The upper tiers' need is met by ordinary servers, with so many to spare that losing any one
    failure domain, and all cheap capacity with it, leaves it met. The spare ones serve lower
    tiers until then; what these need beyond goes to cheap servers, or to ordinary ones while no
    cheap ones can be had.

    Args:
        pool: The pool.
        need: Slots needed.
        blocked: Sites that had no capacity a short time ago.
        present: Servers that run or start, by site.
    """
    ordinary_sites = [site for site in _sites(pool, cheap=False) if site not in blocked]
    cheap_sites = [site for site in _sites(pool, cheap=True) if site not in blocked]
    upper = math.ceil(need.upper / pool.slots)
    lower = math.ceil(need.lower / pool.slots)
    most = pool.max_servers
    ordinary = min(servers_surviving(upper, len(ordinary_sites)), most)
    beyond = max(0, lower - max(0, ordinary - upper))
    cheap = min(beyond, most - ordinary) if cheap_sites else 0
    if not cheap_sites:
        ordinary = min(ordinary + beyond, most)
    ordinary = max(ordinary, pool.min_servers - cheap)
    return {
        **_split(ordinary, ordinary_sites, present),
        **_split(cheap, cheap_sites, present),
    }


def _sites(pool: Pool, cheap: bool) -> list[Site]:
    if cheap and not pool.cheap:
        return []
    return [Site(name, cheap) for name in pool.failure_domains]


def _split(total: int, sites: Sequence[Site], present: dict[Site, int]) -> Targets:
    names = [site.failure_domain for site in sites]
    here = {site.failure_domain: present.get(site, 0) for site in sites}
    parts = spread(total, names, here)
    return {site: parts[site.failure_domain] for site in sites}

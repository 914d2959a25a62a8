"""Sizes a pool by site so that the upper tiers' need survives any single loss."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from hickoryloom.configuration import Pool
from hickoryloom.fleet.messages import Need, Site, Targets

__all__ = ["choose_targets", "lower_tiers_of", "redundant_server_count", "spread_evenly"]


def lower_tiers_of(used: Collection[int], not_resumable: Collection[int]) -> frozenset[int]:
    """Return the tiers of a pool whose requests may run on cheap (reclaimable) servers.

    Args:
        used: Tiers that have had demand for the pool.
        not_resumable: Tiers with a request class whose responses can't be resumed.

    Returns:
        Every used tier below the highest used one whose request classes are all resumable.
    """
    if not used:
        return frozenset()
    return frozenset(used) - {min(used)} - frozenset(not_resumable)


def redundant_server_count(needed: int, failure_domains: int) -> int:
    """Return the smallest evenly spread count of which `needed` survive the loss of a domain."""
    if failure_domains < 2 or needed == 0:
        return needed
    total = needed
    while total - math.ceil(total / failure_domains) < needed:
        total += 1
    return total


def spread_evenly(
    total: int, failure_domains: Sequence[str], present: dict[str, int]
) -> dict[str, int]:
    """Divide `total` evenly; the remainder goes to the domains with the most servers present."""
    if not failure_domains:
        return {}
    base, remainder = divmod(total, len(failure_domains))
    by_present = sorted(failure_domains, key=lambda name: (-present.get(name, 0), name))
    return {name: base + (1 if index < remainder else 0) for index, name in enumerate(by_present)}


def choose_targets(
    pool: Pool,
    need: Need,
    blocked: frozenset[Site],
    present: dict[Site, int],
) -> Targets:
    """Return the target number of backend servers at each site.

    Ordinary servers cover the need of the upper tiers, with enough spare servers that the need
    stays covered after the loss of any one failure domain together with all cheap capacity.
    Meanwhile the spare servers serve lower tiers. The rest of the lower tiers' need is covered
    by cheap servers, or by ordinary ones while no cheap ones are available.

    Args:
        pool: Configuration of the pool.
        need: Slots needed.
        blocked: Sites that recently had no capacity.
        present: Running and starting servers by site.
    """
    ordinary_sites = [site for site in _sites(pool, cheap=False) if site not in blocked]
    cheap_sites = [site for site in _sites(pool, cheap=True) if site not in blocked]
    upper = math.ceil(need.upper / pool.slots)
    lower = math.ceil(need.lower / pool.slots)
    max_servers = pool.max_servers
    ordinary = min(redundant_server_count(upper, len(ordinary_sites)), max_servers)
    extra = max(0, lower - max(0, ordinary - upper))
    cheap = min(extra, max_servers - ordinary) if cheap_sites else 0
    if not cheap_sites:
        ordinary = min(ordinary + extra, max_servers)
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
    present_by_domain = {site.failure_domain: present.get(site, 0) for site in sites}
    counts = spread_evenly(total, names, present_by_domain)
    return {site: counts[site.failure_domain] for site in sites}

"""Back-off from sites where no backend server can be had."""

from __future__ import annotations

import random

import attrs

from hickoryloom.fleet.messages import Site

__all__ = ["SiteBackoff"]

FIRST_BACKOFF_S = 15.0
LONGEST_BACKOFF_S = 600.0
SPREAD_PART = 0.2


@attrs.define
class SiteBackoff:
    """Sites that refused an order, and until when none is sent there.

    Args:
        source: Random source for the spread of the next tries.
    """

    source: random.Random
    _until: dict[Site, float] = attrs.field(factory=dict)
    _waits: dict[Site, float] = attrs.field(factory=dict)

    def blocked(self, now: float) -> frozenset[Site]:
        """Return the sites to which no order goes now."""
        return frozenset(site for site, until in self._until.items() if now < until)

    def on_no_capacity(self, now: float, site: Site) -> None:
        """Take in that a site had no capacity: the wait doubles up to a bound."""
        if now < self._until.get(site, now):
            return
        wait_s = min(self._waits.get(site, FIRST_BACKOFF_S / 2) * 2, LONGEST_BACKOFF_S)
        self._waits[site] = wait_s
        self._until[site] = now + wait_s * (1 + SPREAD_PART * self.source.random())

    def on_capacity(self, site: Site) -> None:
        """Take in that a site took an order."""
        self._until.pop(site, None)
        self._waits.pop(site, None)

"""Back-off from sites that have no capacity for more backend servers."""

from __future__ import annotations

import random

import attrs

from hickoryloom.fleet.messages import Site

__all__ = ["SiteBackoff"]

INITIAL_BACKOFF_S = 15.0
MAX_BACKOFF_S = 600.0
JITTER_FRACTION = 0.2


@attrs.define
class SiteBackoff:
    """Tracks sites that had no capacity, and until when no order is sent to each.

    Args:
        source: Random source for the jitter.
    """

    source: random.Random
    _blocked_until: dict[Site, float] = attrs.field(factory=dict)
    _waits_s: dict[Site, float] = attrs.field(factory=dict)

    def blocked(self, now: float) -> frozenset[Site]:
        """Return the sites to which no order may be sent now."""
        return frozenset(site for site, until in self._blocked_until.items() if now < until)

    def on_no_capacity(self, now: float, site: Site) -> None:
        """Record that a site had no capacity; doubles its wait up to `MAX_BACKOFF_S`."""
        if now < self._blocked_until.get(site, now):
            return
        wait_s = min(self._waits_s.get(site, INITIAL_BACKOFF_S / 2) * 2, MAX_BACKOFF_S)
        self._waits_s[site] = wait_s
        self._blocked_until[site] = now + wait_s * (1 + JITTER_FRACTION * self.source.random())

    def on_capacity(self, site: Site) -> None:
        """Record that a site accepted an order; ends its back-off."""
        self._blocked_until.pop(site, None)
        self._waits_s.pop(site, None)

"""Keeps the servers of other failure domains until a domain that was evacuated runs its own.

The load is that of the end of an evacuation under traffic: the plan moves a part of the servers
back at once, but those of the domain may have been stopped and take seconds to start. This module
performs no I/O.
"""

from __future__ import annotations

import attrs

from hickoryloom.scaling.messages import Group
from hickoryloom.scaling.sizing import Plan

__all__ = ["ReturningDomains"]

RETURN_LIMIT_S = 30.0
"""Longest time for which others are kept, in case the domain has no capacity: several times the
start of a server."""


@attrs.define
class ReturningDomains:
    """Failure domains of one service that don't run their part again after an evacuation."""

    _evacuated: frozenset[str] = frozenset()
    _returned_at: dict[str, float] = attrs.field(factory=dict)

    def observe(self, evacuated: frozenset[str], now: float) -> None:
        """Record the evacuated failure domains.

        Args:
            evacuated: The evacuated failure domains.
            now: Monotonic time in seconds.
        """
        for domain in self._evacuated - evacuated:
            self._returned_at[domain] = now
        for domain in evacuated:
            self._returned_at.pop(domain, None)
        self._evacuated = evacuated

    def without_reductions(
        self, desired: dict[Group, int], plan: Plan, running: dict[Group, int], now: float
    ) -> dict[Group, int]:
        """Return the desired numbers without those that lower other domains too early.

        Args:
            desired: Desired number of backend servers by group.
            plan: Backend servers that the load needs.
            running: Number of running backend servers by group.
            now: Monotonic time in seconds.
        """
        for domain, returned_at in list(self._returned_at.items()):
            planned = plan.on_demand.get(domain, 0) + plan.reclaimable.get(domain, 0)
            present = sum(
                number for group, number in running.items() if group.failure_domain == domain
            )
            if present >= planned or now - returned_at >= RETURN_LIMIT_S:
                del self._returned_at[domain]
        if not self._returned_at:
            return desired
        return {
            group: number
            for group, number in desired.items()
            if group.failure_domain in self._returned_at or number >= running.get(group, 0)
        }

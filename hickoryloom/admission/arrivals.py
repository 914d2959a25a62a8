"""Rates of arriving work by tier."""

from __future__ import annotations

import math

import attrs

__all__ = ["ArrivalRates"]

SHORT_MEMORY_S = 3.0
LONG_MEMORY_S = 30.0


@attrs.define
class _Rate:
    """Slot seconds that came in of late, as one memory has them."""

    memory_s: float
    work: float = 0.0
    updated: float = 0.0

    def add(self, work: float, now: float) -> None:
        self.work = self._faded(now) + work
        self.updated = now

    def slots(self, now: float) -> float:
        return self._faded(now) / self.memory_s

    def _faded(self, now: float) -> float:
        return self.work * math.exp((self.updated - now) / self.memory_s)


class ArrivalRates:
    """Slots that each tier's recent arrivals keep busy, fading exponentially."""

    def __init__(self) -> None:
        self._short: dict[int, _Rate] = {}
        self._long: dict[int, _Rate] = {}

    def note(self, tier: int, service_s: float, now: float) -> None:
        """Count one request that will hold a slot for `service_s`."""
        self._short.setdefault(tier, _Rate(SHORT_MEMORY_S)).add(service_s, now)
        self._long.setdefault(tier, _Rate(LONG_MEMORY_S)).add(service_s, now)

    def slots_above(self, tier: int, now: float) -> float:
        """Return the slots that arrivals of tiers above `tier` keep busy now."""
        return _sum_above(self._short, tier, now)

    def usual_slots_above(self, tier: int, now: float) -> float:
        """Return the slots that they kept busy over a longer while."""
        return _sum_above(self._long, tier, now)


def _sum_above(rates: dict[int, _Rate], tier: int, now: float) -> float:
    return sum(rate.slots(now) for known, rate in rates.items() if known < tier)

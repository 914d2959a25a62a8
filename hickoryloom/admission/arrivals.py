"""Rates of arriving work by tier."""

from __future__ import annotations

import math

import attrs

__all__ = ["ArrivalRates"]

MEMORY_S = 3.0


@attrs.define
class _Rate:
    weight: float = 0.0
    updated: float = 0.0

    def decay(self, now: float) -> None:
        self.weight *= math.exp((self.updated - now) / MEMORY_S)
        self.updated = now


class ArrivalRates:
    """Slots that each tier's recent arrivals keep busy, fading exponentially."""

    def __init__(self) -> None:
        self._rates: dict[int, _Rate] = {}

    def note(self, tier: int, service_s: float, now: float) -> None:
        """Count one request that will hold a slot for `service_s`."""
        rate = self._rates.setdefault(tier, _Rate(updated=now))
        rate.decay(now)
        rate.weight += service_s

    def slots_above(self, tier: int, now: float) -> float:
        """Return the slots that arrivals of tiers above `tier` keep busy."""
        busy = 0.0
        for known, rate in self._rates.items():
            if known < tier:
                rate.decay(now)
                busy += rate.weight / MEMORY_S
        return busy

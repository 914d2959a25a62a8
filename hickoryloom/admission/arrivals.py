"""Load of recent arrivals by tier, as exponentially decaying averages."""

from __future__ import annotations

import math

import attrs

__all__ = ["ArrivalRates"]

SHORT_TIME_CONSTANT_S = 3.0
LONG_TIME_CONSTANT_S = 30.0


@attrs.define
class _DecayingSum:
    """Exponentially decaying sum of the slot seconds of arrived requests."""

    time_constant_s: float
    slot_seconds: float = 0.0
    updated: float = 0.0

    def add(self, slot_seconds: float, now: float) -> None:
        self.slot_seconds = self._decayed(now) + slot_seconds
        self.updated = now

    def slots(self, now: float) -> float:
        return self._decayed(now) / self.time_constant_s

    def _decayed(self, now: float) -> float:
        return self.slot_seconds * math.exp((self.updated - now) / self.time_constant_s)


class ArrivalRates:
    """Estimates the slots that each tier's arrivals occupy, over a short and a long time."""

    def __init__(self) -> None:
        self._short: dict[int, _DecayingSum] = {}
        self._long: dict[int, _DecayingSum] = {}

    def record(self, tier: int, service_s: float, now: float) -> None:
        """Record the arrival of a request that will hold a slot for `service_s`."""
        self._short.setdefault(tier, _DecayingSum(SHORT_TIME_CONSTANT_S)).add(service_s, now)
        self._long.setdefault(tier, _DecayingSum(LONG_TIME_CONSTANT_S)).add(service_s, now)

    def slots_above(self, tier: int, now: float) -> float:
        """Return the slots that recent arrivals of tiers above `tier` occupy."""
        return _sum_above(self._short, tier, now)

    def long_term_slots_above(self, tier: int, now: float) -> float:
        """Return the long-term average of `slots_above`."""
        return _sum_above(self._long, tier, now)


def _sum_above(rates: dict[int, _DecayingSum], tier: int, now: float) -> float:
    return sum(rate.slots(now) for known, rate in rates.items() if known < tier)

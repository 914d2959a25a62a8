"""Forecasts demand over the time that a backend server takes to start."""

from __future__ import annotations

import math

import attrs

from hickoryloom.fleet.messages import Need, PoolDemand, TierDemand

__all__ = ["NeedForecast", "Trend"]

LEVEL_TIME_CONSTANT_S = 20.0
SLOPE_TIME_CONSTANT_S = 60.0
SAFETY_DEVIATIONS = 0.5
MAX_MISSED_FRACTION = 0.05
CORRECTION_GROWTH = 1.08
CORRECTION_DECAY = 0.99
MAX_CORRECTION = 2.0


@attrs.define
class Trend:
    """Level and slope of a series, by double exponential smoothing at uneven intervals."""

    level: float = 0.0
    slope: float = 0.0
    _updated_at: float | None = None

    def add(self, now: float, value: float) -> None:
        """Add a value measured at `now`."""
        if self._updated_at is None:
            self.level, self._updated_at = value, now
            return
        elapsed_s = now - self._updated_at
        if elapsed_s <= 0:
            return
        expected = self.level + self.slope * elapsed_s
        level_weight = 1 - math.exp(-elapsed_s / LEVEL_TIME_CONSTANT_S)
        level = expected + level_weight * (value - expected)
        slope_weight = 1 - math.exp(-elapsed_s / SLOPE_TIME_CONSTANT_S)
        self.slope += slope_weight * ((level - self.level) / elapsed_s - self.slope)
        self.level, self._updated_at = level, now

    def forecast(self, seconds: float) -> float:
        """Return the value expected in `seconds`; a falling trend is not extrapolated."""
        return max(0.0, self.level + max(0.0, self.slope) * seconds)


@attrs.define
class NeedForecast:
    """Forecasts the slots that one pool will need from the demand of the entries.

    The offered load of a tier is its arrival rate times the mean time for which a request holds
    a slot. A correction factor grows while an upper tier, which is any tier other than the lower
    ones, misses its targets too often, and decays afterwards.
    """

    correction: float = 1.0
    _offered_load: dict[int, Trend] = attrs.field(factory=dict)

    def update(self, now: float, demand: PoolDemand, lower_tiers: frozenset[int]) -> None:
        """Add the demand measured at `now`."""
        for tier in set(self._offered_load) | set(demand):
            tier_demand = demand.get(tier, TierDemand())
            trend = self._offered_load.setdefault(tier, Trend())
            trend.add(now, tier_demand.arrivals_per_s * tier_demand.busy_s)
        upper = [tier_demand for tier, tier_demand in demand.items() if tier not in lower_tiers]
        self._update_correction(
            max((tier_demand.missed_part for tier_demand in upper), default=0.0)
        )

    def need(self, demand: PoolDemand, lower_tiers: frozenset[int], ahead_s: float) -> Need:
        """Return the slots needed in `ahead_s` seconds."""
        upper = lower = 0.0
        for tier, trend in self._offered_load.items():
            tier_demand = demand.get(tier, TierDemand())
            slots = max(trend.forecast(ahead_s), float(tier_demand.in_flight + tier_demand.waiting))
            if tier in lower_tiers:
                lower += slots
            else:
                upper += slots
        upper = self.correction * (upper + SAFETY_DEVIATIONS * math.sqrt(upper))
        return Need(upper, lower)

    def _update_correction(self, missed_part: float) -> None:
        if missed_part > MAX_MISSED_FRACTION:
            self.correction = min(self.correction * CORRECTION_GROWTH, MAX_CORRECTION)
        else:
            self.correction = max(self.correction * CORRECTION_DECAY, 1.0)

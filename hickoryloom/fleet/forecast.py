"""Forecast of demand over the time that a backend server needs to start."""

from __future__ import annotations

import math

import attrs

from hickoryloom.fleet.messages import Need, PoolDemand, TierDemand

__all__ = ["NeedForecast", "Trend"]

LEVEL_TIME_S = 20.0
SLOPE_TIME_S = 60.0
SAFETY_DEVIATIONS = 0.5
MISSED_GOAL = 0.05
CORRECTION_STEP = 1.08
CORRECTION_DECAY = 0.99
LARGEST_CORRECTION = 2.0


@attrs.define
class Trend:
    """Level and slope of one figure, by exponential smoothing over uneven intervals."""

    level: float = 0.0
    slope: float = 0.0
    _at: float | None = None

    def add(self, now: float, value: float) -> None:
        """Take in a value measured at `now`."""
        if self._at is None:
            self.level, self._at = value, now
            return
        step_s = now - self._at
        if step_s <= 0:
            return
        expected = self.level + self.slope * step_s
        level_part = 1 - math.exp(-step_s / LEVEL_TIME_S)
        level = expected + level_part * (value - expected)
        slope_part = 1 - math.exp(-step_s / SLOPE_TIME_S)
        self.slope += slope_part * ((level - self.level) / step_s - self.slope)
        self.level, self._at = level, now

    def ahead(self, seconds: float) -> float:
        """Return the value expected in `seconds`; a falling trend is not followed ahead."""
        return max(0.0, self.level + max(0.0, self.slope) * seconds)


@attrs.define
class NeedForecast:
    """Slots that one pool will need, from what entries tell.

    The offered load of a tier is its arrivals times the seconds for which each holds a slot. A
    correction grows while the highest tier misses its goal, and decays afterwards.
    """

    correction: float = 1.0
    _offered: dict[int, Trend] = attrs.field(factory=dict)

    def update(self, now: float, demand: PoolDemand, lower_tiers: frozenset[int]) -> None:
        """Take in the demand at `now`."""
        for tier in set(self._offered) | set(demand):
            found = demand.get(tier, TierDemand())
            trend = self._offered.setdefault(tier, Trend())
            trend.add(now, found.arrivals_per_s * found.busy_s)
        upper = [found for tier, found in demand.items() if tier not in lower_tiers]
        self._correct(max((found.missed_part for found in upper), default=0.0))

    def need(self, demand: PoolDemand, lower_tiers: frozenset[int], ahead_s: float) -> Need:
        """Return the slots needed `ahead_s` from now."""
        upper = lower = 0.0
        for tier, trend in self._offered.items():
            found = demand.get(tier, TierDemand())
            slots = max(trend.ahead(ahead_s), float(found.in_flight + found.waiting))
            if tier in lower_tiers:
                lower += slots
            else:
                upper += slots
        upper = self.correction * (upper + SAFETY_DEVIATIONS * math.sqrt(upper))
        return Need(upper, lower)

    def _correct(self, missed_part: float) -> None:
        if missed_part > MISSED_GOAL:
            self.correction = min(self.correction * CORRECTION_STEP, LARGEST_CORRECTION)
        else:
            self.correction = max(self.correction * CORRECTION_DECAY, 1.0)

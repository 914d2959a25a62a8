"""Demand: measured by entries, collected and summed by the control process."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence

import attrs
import cattrs
import falcon
from result import Err, Ok, Result

from hickoryloom.fleet.messages import Demand, PoolDemand, TierDemand
from hickoryloom.http import has_bearer_token

__all__ = ["DEMAND_PATH", "DemandMeter", "add_demand_routes", "merge_demands", "read_demand"]

DEMAND_PATH = "/peer/demand"
RATE_TIME_CONSTANT_S = 15.0


@attrs.define
class _TierMeter:
    """Demand of one tier for one pool, with exponentially decaying sums."""

    in_flight: int = 0
    waiting: int = 0
    arrived: float = 0.0
    ended: float = 0.0
    missed: float = 0.0
    busy_s: float = 0.0
    finished: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the sums to time `now`."""
        factor = math.exp(-max(0.0, now - self.updated_at) / RATE_TIME_CONSTANT_S)
        self.arrived *= factor
        self.ended *= factor
        self.missed *= factor
        self.busy_s *= factor
        self.finished *= factor
        self.updated_at = now


@attrs.define
class DemandMeter:
    """Measures the demand at an entry.

    Call `record_arrival` for each request, then `record_start` when it is admitted, and
    `record_end` when it ends or `record_refusal` when it is refused.

    Args:
        incarnation: Incarnation of this process.
    """

    incarnation: str
    _tiers: dict[tuple[str, int], _TierMeter] = attrs.field(factory=dict)

    def record_arrival(self, now: float, pool: str, tier: int) -> None:
        """Count an arriving request."""
        meter = self._meter(now, pool, tier)
        meter.arrived += 1
        meter.waiting += 1

    def record_start(self, now: float, pool: str, tier: int) -> None:
        """Count the admission of a request."""
        meter = self._meter(now, pool, tier)
        meter.waiting -= 1
        meter.in_flight += 1

    def record_refusal(self, now: float, pool: str, tier: int) -> None:
        """Count a request that was refused for lack of capacity."""
        meter = self._meter(now, pool, tier)
        meter.waiting -= 1
        meter.ended += 1
        meter.missed += 1

    def record_end(self, now: float, pool: str, tier: int, busy_s: float, met: bool) -> None:
        """Count the end of an admitted request.

        Args:
            now: Monotonic time, in seconds.
            pool: Pool of the request.
            tier: Tier of the request.
            busy_s: Seconds for which the request held a slot.
            met: Whether it met the target of its request class.
        """
        meter = self._meter(now, pool, tier)
        meter.in_flight -= 1
        meter.ended += 1
        meter.missed += 0 if met else 1
        meter.finished += 1
        meter.busy_s += busy_s

    def demand(self, now: float) -> Demand:
        """Return the demand at `now`."""
        pools: dict[str, dict[int, TierDemand]] = {}
        for (pool, tier), meter in self._tiers.items():
            meter.decay(now)
            pools.setdefault(pool, {})[tier] = TierDemand(
                in_flight=meter.in_flight,
                waiting=meter.waiting,
                arrivals_per_s=meter.arrived / RATE_TIME_CONSTANT_S,
                busy_s=meter.busy_s / meter.finished if meter.finished > 0 else 0.0,
                missed_part=meter.missed / meter.ended if meter.ended > 0 else 0.0,
            )
        return Demand(self.incarnation, pools)

    def _meter(self, now: float, pool: str, tier: int) -> _TierMeter:
        meter = self._tiers.get((pool, tier))
        if meter is None:
            meter = self._tiers[(pool, tier)] = _TierMeter(updated_at=now)
        meter.decay(now)
        return meter


def merge_demands(demands: Iterable[Demand]) -> dict[str, PoolDemand]:
    """Sum the demand of entries; means are weighted by arrival rate."""
    merged: dict[str, PoolDemand] = {}
    for demand in demands:
        for pool, tiers in demand.pools.items():
            total = merged.setdefault(pool, {})
            for tier, tier_demand in tiers.items():
                total[tier] = _add(total.get(tier, TierDemand()), tier_demand)
    return merged


def read_demand(value: object) -> Result[Demand, str]:
    """Parse a demand from a JSON value, or return a description of the error."""
    try:
        return Ok(cattrs.structure(value, Demand))
    except Exception as error:
        return Err(f"{type(error).__name__}: {error}"[:200])


def add_demand_routes(
    app: falcon.App,
    measure: Callable[[], Demand],
    on_leaving: Callable[[Sequence[str]], None],
    peer_secret: str = "",
) -> None:
    """Add the route on which control processes read an entry's demand.

    Args:
        app: Application at the entry's peer address.
        measure: Returns the current demand.
        on_leaving: Called with the ids of backend servers that are being drained.
        peer_secret: Bearer token between processes; empty for none.
    """
    app.add_route(DEMAND_PATH, _DemandResource(measure, on_leaving, peer_secret))


class _DemandResource:
    def __init__(
        self,
        measure: Callable[[], Demand],
        on_leaving: Callable[[Sequence[str]], None],
        peer_secret: str,
    ) -> None:
        self._measure = measure
        self._on_leaving = on_leaving
        self._peer_secret = peer_secret

    def on_post(self, request: falcon.Request, response: falcon.Response) -> None:
        """Receive the ids of leaving backend servers; respond with the demand."""
        if not has_bearer_token(request.get_header("Authorization"), self._peer_secret):
            raise falcon.HTTPForbidden(title="not a peer")
        body = request.get_media()
        leaving = body.get("leaving") if isinstance(body, dict) else None
        if not isinstance(leaving, list) or not all(isinstance(name, str) for name in leaving):
            raise falcon.HTTPBadRequest(title="leaving must be a list of ids")
        self._on_leaving(leaving)
        response.media = cattrs.unstructure(self._measure())


def _add(left: TierDemand, right: TierDemand) -> TierDemand:
    arrivals = left.arrivals_per_s + right.arrivals_per_s
    return TierDemand(
        in_flight=left.in_flight + right.in_flight,
        waiting=left.waiting + right.waiting,
        arrivals_per_s=arrivals,
        busy_s=_weighted_mean(left.busy_s, left.arrivals_per_s, right.busy_s, right.arrivals_per_s),
        missed_part=_weighted_mean(
            left.missed_part, left.arrivals_per_s, right.missed_part, right.arrivals_per_s
        ),
    )


def _weighted_mean(left: float, left_weight: float, right: float, right_weight: float) -> float:
    if left_weight + right_weight <= 0:
        return max(left, right)
    return (left * left_weight + right * right_weight) / (left_weight + right_weight)

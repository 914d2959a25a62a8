"""Sums the counts of all instances. Performs no I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

from hickoryloom.metering.messages import InstanceCounts, ServiceDemand

__all__ = ["filter_live", "find_unconfirmed", "sum_demand", "sum_window"]

LIVENESS_TIMEOUT_S = 8.0
"""An instance that has not written its counts for this long is down or unreachable."""


def sum_window(all_counts: Iterable[InstanceCounts], window: int) -> dict[str, int]:
    """Return the number of requests per customer in one window, over all instances."""
    total: Counter[str] = Counter()
    for counts in all_counts:
        total.update(counts.windows.get(str(window), {}))
    return dict(sorted(total.items()))


def filter_live(all_counts: Iterable[InstanceCounts], wall: float) -> list[InstanceCounts]:
    """Return the counts of instances that have written recently and have not ended."""
    return [
        counts
        for counts in all_counts
        if abs(wall - counts.written) <= LIVENESS_TIMEOUT_S and not counts.final
    ]


def find_unconfirmed(all_counts: Mapping[str, InstanceCounts], window_end: float) -> list[str]:
    """Return the keys of instances that may still add to a window that ended at `window_end`.

    Counts written after the end of the window are final for it. An instance that stopped writing
    longer than `LIVENESS_TIMEOUT_S` before the end is down, so that it delays only the windows
    that end soon after its last write. A process that another one at its address has replaced
    writes no more.
    """
    latest: dict[str, float] = {}
    for counts in all_counts.values():
        latest[counts.address] = max(counts.written, latest.get(counts.address, 0.0))
    return sorted(
        key
        for key, counts in all_counts.items()
        if not counts.final
        and window_end - LIVENESS_TIMEOUT_S <= counts.written < window_end
        and not (counts.address and latest[counts.address] > counts.written)
    )


def sum_demand(all_counts: Iterable[InstanceCounts]) -> dict[str, ServiceDemand]:
    """Return the demand per service, summed over the given instances."""
    total: dict[str, ServiceDemand] = {}
    for counts in all_counts:
        for service, demand in counts.demand.items():
            known = total.get(service, ServiceDemand())
            total[service] = ServiceDemand(
                known.requests_per_s + demand.requests_per_s,
                known.prompt_tokens_per_s + demand.prompt_tokens_per_s,
                known.refused_per_s + demand.refused_per_s,
            )
    return total

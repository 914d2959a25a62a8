"""Expected delay of a prompt at a model engine. Performs no I/O."""

from __future__ import annotations

from hickoryloom.placing.prefill import PrefillRate
from hickoryloom.placing.tracked import TrackedServer

__all__ = ["engine_delay_s"]

MEAN_QUEUED_PREFILL_S = 0.06
"""Expected prefill time of a request that is queued at an engine and whose prompt is unknown."""

FULL_PENALTY_S = 0.5
"""Expected wait for a slot of an engine without free slots."""

NEARLY_FULL = 0.75
"""Occupancy from which the penalty of a full engine counts in part, where instances share load
reports: in the second until all have heard of it, the last quarter of the slots may fill."""

FAILED_PENALTY_S = 1.0
"""Expected delay caused by a failed attempt; it is multiplied by the failure rate."""

SLOW_PENALTY_S = 0.1
"""Penalty of a backend server that announces that it is still slow after its start."""

RUNNING_PENALTY_S = 0.002
"""Expected delay at an engine for each request that this instance has in flight there."""

OTHERS_PENALTY_S = 1e-5
"""The same for each request of other instances, where instances share load reports. It is far less
than the random delay of 1 ms, since all instances of a failure domain see the same reports at about
the same time: with 0.04 ms, they sent 3.2 to 3.7 times the mean to one engine in 2 s, instead of
2.8 to 2.9 times."""


def engine_delay_s(tracked: TrackedServer, tokens: int, rate: PrefillRate, now: float) -> float:
    """Return the expected time in seconds to the first token of a prompt at an engine.

    Args:
        tracked: The engine.
        tokens: Prompt tokens that are not cached there.
        rate: Prefill rate of an engine of usual speed.
        now: Monotonic time in seconds.
    """
    own_s = rate.seconds(tracked.unread_tokens)
    reported_s = tracked.reported_waiting(now) * MEAN_QUEUED_PREFILL_S
    delay_s = max(own_s, reported_s) + rate.seconds(tokens)
    delay_s += tracked.in_flight * RUNNING_PENALTY_S
    if tracked.has_shared_reports:
        delay_s += tracked.requests_of_others(now) * OTHERS_PENALTY_S
    delay_s += FULL_PENALTY_S * _fill(tracked, now)
    delay_s /= tracked.relative_speed(now)
    delay_s += SLOW_PENALTY_S * tracked.server.warming_up
    return delay_s + FAILED_PENALTY_S * tracked.failure_rate


def _fill(tracked: TrackedServer, now: float) -> float:
    """Return the part of the penalty of a full engine that counts at its occupancy, 0 to 1.

    The growth is bounded rather than learned: one instance receives too few responses of an engine
    at each level to tell its fill from other causes.
    """
    occupancy = tracked.occupancy(now)
    if not tracked.has_shared_reports:
        return float(occupancy >= 1.0)
    return min(1.0, max(0.0, (occupancy - NEARLY_FULL) / (1.0 - NEARLY_FULL)))

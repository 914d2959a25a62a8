"""Selects a backend server for a request that is not for a model engine. Performs no I/O."""

from __future__ import annotations

import random
from collections.abc import Callable

from hickoryloom.placing.engine_delay import FAILED_PENALTY_S, SLOW_PENALTY_S
from hickoryloom.placing.locality import PATH_S, DomainChoice
from hickoryloom.placing.messages import PlacementRequest
from hickoryloom.placing.tracked import TrackedServer

__all__ = ["DEFAULT_WORK_S", "choose_plain", "choose_plain_by_side", "plain_delay_s"]

OTHER_DOMAIN_PENALTY = 0.05
"""Occupancy added to a backend server in another failure domain. Random jitter of up to the same
size is added to every backend server."""

QUEUE_HALF_LIFE_S = 2.0
"""Half-life of a reported queue where sides are weighed: a shortage lasts for seconds, and reports
that other instances have shared are a second old."""

DEFAULT_WORK_S = 0.05
"""Time that the work of a request is assumed to take before a response has shown it."""


def choose_plain(
    candidates: list[TrackedServer],
    failure_domain: str | None,
    rng: random.Random,
    penalty: Callable[[TrackedServer], float],
    now: float,
) -> TrackedServer:
    """Return the least occupied backend server, preferably in the own failure domain.

    Args:
        candidates: The backend servers.
        failure_domain: Failure domain of the instance; None to prefer none.
        rng: Source of random numbers for jitter.
        penalty: Returns the occupancy to be added for conditions of a server.
        now: Monotonic time in seconds.
    """

    def score(tracked: TrackedServer) -> float:
        other_domain = failure_domain not in (None, tracked.server.failure_domain)
        jitter = rng.random() * OTHER_DOMAIN_PENALTY
        return (
            _relative_occupancy(tracked, now)
            + OTHER_DOMAIN_PENALTY * other_domain
            + jitter
            + tracked.failure_rate
            + tracked.server.warming_up
            + penalty(tracked)
        )

    return min(candidates, key=score)


def choose_plain_by_side(
    candidates: list[TrackedServer],
    domains: DomainChoice,
    rng: random.Random,
    penalty: Callable[[TrackedServer], float],
    work_s: float,
    request: PlacementRequest,
    now: float,
) -> TrackedServer:
    """Return the least occupied backend server inside or outside the failure domain.

    Args:
        candidates: The backend servers, at least one.
        domains: Decides which requests leave the failure domain.
        rng: Source of random numbers for jitter.
        penalty: Returns the occupancy to be added for conditions of a server.
        work_s: Time that the work of a request takes at a server of usual speed, in seconds.
        request: The request.
        now: Monotonic time in seconds.
    """
    best: list[TrackedServer | None] = [None, None]
    delays_s = [float("inf"), float("inf")]
    for is_outside in (False, True):
        side = [
            tracked
            for tracked in candidates
            if domains.is_outside(tracked.server.failure_domain) is is_outside
        ]
        if side:
            chosen = choose_plain(side, None, rng, penalty, now)
            best[is_outside] = chosen
            delays_s[is_outside] = plain_delay_s(chosen, work_s, now)
            delays_s[is_outside] += penalty(chosen) * SLOW_PENALTY_S + PATH_S * is_outside
    leaves = domains.leaves(request.service, delays_s[False], delays_s[True], request.target_s, now)
    chosen_side = best[leaves]
    assert chosen_side is not None
    return chosen_side


def plain_delay_s(tracked: TrackedServer, work_s: float, now: float) -> float:
    """Return the expected time in seconds to the response of a server to one more request.

    Args:
        tracked: The server.
        work_s: Time that the work of a request takes at a server of usual speed, in seconds.
        now: Monotonic time in seconds.
    """
    slots = max(1, tracked.server.slots)
    requests = tracked.in_flight + tracked.requests_of_others(now, QUEUE_HALF_LIFE_S)
    queued = max(0.0, requests + 1 - slots)
    delay_s = work_s * (1.0 + queued / slots) / tracked.relative_speed(now)
    delay_s += SLOW_PENALTY_S * tracked.server.warming_up
    return delay_s + FAILED_PENALTY_S * tracked.failure_rate


def _relative_occupancy(tracked: TrackedServer, now: float) -> float:
    """Return the occupancy, for a server of another speed in terms of one of usual speed.

    At a speed of 1 with free slots it is the occupancy. A slow server counts with its work time
    too, so that it is selected only while the wait at the others is longer.
    """
    if not tracked.speed.reports:
        return tracked.occupancy(now)
    slots = max(1, tracked.server.slots)
    requests = tracked.in_flight + tracked.requests_of_others(now)
    queued = max(0.0, requests + 1 - slots)
    return (1.0 + (requests + queued) / slots) / tracked.relative_speed(now) - 1.0

"""Decides when a request leaves its failure domain for servers in another one, and how many do.

This answers the load of a domain whose own servers are too few, slow, leaving or lost while other
domains have room. Traffic between domains is slower and costs money, so a request stays unless
leaving saves it a good part of its latency target. Many instances see the same shortage at the same
moment, with old views of the servers. If all of them followed the shorter queue, they would flood
the other domain and all return. So each instance sends a share: what its own domain does not serve
of what its callers ask for, and a little more while the queue inside is long. This module performs
no I/O.
"""

from __future__ import annotations

import json
import math
from random import Random

import attrs
import logbook

from hickoryloom.logs import log_event

__all__ = ["PATH_S", "DomainChoice"]

PATH_S = 0.003
"""Assumed time that a request and its response take on the path to another failure domain, beyond
that within one."""

MIN_GAIN_PART = 0.1
"""Delay saved above which requests leave, as a fraction of their latency target. It is several
times the round trip to another domain and what queues fluctuate by without a shortage."""

MAX_GAIN_PART = 0.3
"""Delay saved at which the queue inside counts as long. In simulated loads with a target of 0.5 s,
half of it gave queues of up to 0.7 s and made 2% to 9% of the requests late, this 2% to 3%."""

QUEUE_SHARE = 0.1
"""Share that leaves beside what the domain can't serve, while its queue is long, to shorten it."""

DEFAULT_TARGET_S = 0.5
"""Latency target assumed for a request that states none."""

AVERAGING_S = 5.0
"""Time constant of what is asked and served, over which an instance of a large fleet sees some ten
requests."""

RISE_PER_S = 0.2
FALL_PER_S = 0.03
"""Largest change of a share in a second, of small shares. Load returns in steps, as reports are up
to a second old: if it returns faster, a queue is built up again before its report arrives."""

RELATIVE_FALL_PER_S = 0.05
"""Largest fall of a large share in a second, as a fraction of it."""

MAX_STAY_PART = 0.3
"""Delay saved up to which only the share leaves, as a fraction of the target, so that a shortage
costs most requests no more than this. Beyond it more leave, and all from `EXCESS_GAIN_PART` on."""

EXCESS_GAIN_PART = 1.0
"""Delay saved, as a fraction of the target, from which all requests leave: the domain has lost its
servers, or is cut off from them."""

MAX_PAUSE_S = 10.0
"""Time without a request after which a share has no meaning and begins anew. An instance of a large
fleet sends a request to a service of plain servers every two or three seconds."""

MAX_STEP_S = 1.0
"""Longest time that one change of a share counts for, so that no single request turns it over."""

LOGGED_SHARES = (0.25, 0.5, 0.75)
"""Shares whose crossing is logged."""

LOGGED_MARGIN = 0.05
"""Distance below a logged share at which it counts as crossed downwards."""

LOG_INTERVAL_S = 1.0
"""Least time between two log lines on the share of a service."""

log = logbook.Logger("hickoryloom.placing")


@attrs.define
class _Share:
    """The share of one service, and the averages that it follows.

    Attributes:
        value: The share, from 0 to 1.
        asked: Requests asked for within the averaging time.
        served: Requests that servers inside have answered within it.
        at: Monotonic time of the last change, in seconds.
        logged: Number of logged shares that the value had reached in the latest log line.
        logged_at: Monotonic time of that line, in seconds.
    """

    value: float
    asked: float
    served: float
    at: float
    logged: int = 0
    logged_at: float = float("-inf")

    def decay(self, now: float) -> float:
        """Let the averages age; return the seconds since the last change."""
        # Answers are counted at estimated times, which may lie before the latest request.
        passed_s = max(0.0, now - self.at)
        weight = math.exp(-passed_s / AVERAGING_S)
        self.asked *= weight
        self.served *= weight
        self.at += passed_s
        return passed_s


class DomainChoice:
    """The shares of requests that leave the failure domain, by service.

    Args:
        failure_domain: Failure domain of the instance.
        rng: Source of random numbers.
        is_on: Whether it applies to all services; otherwise to those whose servers report how
            slowly they work.
    """

    def __init__(self, failure_domain: str, rng: Random, is_on: bool = False) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._is_on = is_on
        self._reporting: set[str] = set()
        self._shares: dict[str, _Share] = {}
        self._left = 0
        self._stayed = 0

    @property
    def left(self) -> int:
        """Number of requests that left the failure domain."""
        return self._left

    @property
    def stayed(self) -> int:
        """Number of requests that stayed in it."""
        return self._stayed

    def gauges(self) -> dict[str, float]:
        """Return the metrics: what left and what stayed, and the share of each service."""
        gauges: dict[str, float] = {
            "requests_left_failure_domain": self._left,
            "requests_stayed_in_failure_domain": self._stayed,
        }
        for service, share in self._shares.items():
            label = f"{{service={json.dumps(service)}}}"
            gauges[f"failure_domain_share{label}"] = round(share.value, 3)
        return gauges

    def applies_to(self, service: str) -> bool:
        """Return whether failure domains are weighed for a service."""
        return self._is_on or service in self._reporting

    def note_reporting(self, service: str) -> None:
        """Note that servers of a service report how slowly they work."""
        self._reporting.add(service)

    def is_outside(self, failure_domain: str) -> bool:
        """Return whether a failure domain is another one than that of the instance."""
        return failure_domain != self._failure_domain

    def share(self, service: str) -> float:
        """Return the share of a service's requests that leave, from 0 to 1."""
        share = self._shares.get(service)
        return 0.0 if share is None else share.value

    def leaves(
        self, service: str, inside_s: float, outside_s: float, target_s: float, now: float
    ) -> bool:
        """Return whether a request leaves its failure domain.

        Args:
            service: Its service.
            inside_s: Least expected delay inside, in seconds.
            outside_s: Least expected delay in other domains, path included, in seconds.
            target_s: Latency target of the request in seconds; 0 if it states none.
            now: Monotonic time in seconds.
        """
        gain_part = (inside_s - outside_s) / (target_s or DEFAULT_TARGET_S)
        share = self._update(service, gain_part, now)
        self._log_crossing(service, now)
        # A queue that has just been shortened looks empty to all instances at once.
        if gain_part <= -MIN_GAIN_PART:
            return False
        excess = (gain_part - MAX_STAY_PART) / (EXCESS_GAIN_PART - MAX_STAY_PART)
        return self._rng.random() < max(share, excess)

    def record_served(self, service: str, failure_domain: str, now: float) -> None:
        """Record that a server has answered a request."""
        share = self._shares.get(service)
        if share is not None and not self.is_outside(failure_domain):
            share.decay(now)
            share.served += 1.0

    def record_sent(self, failure_domain: str) -> None:
        """Record that a request was sent to a server of a failure domain."""
        if self.is_outside(failure_domain):
            self._left += 1
        else:
            self._stayed += 1

    def _update(self, service: str, gain_part: float, now: float) -> float:
        share = self._shares.setdefault(service, _Share(0.0, 0.0, 0.0, now))
        passed_s = share.decay(now)
        if passed_s > MAX_PAUSE_S:
            share.value, passed_s = 0.0, 0.0
        passed_s = min(passed_s, MAX_STEP_S)
        share.asked += 1.0
        step = self._wanted(share, gain_part) - share.value
        fall_per_s = max(FALL_PER_S, RELATIVE_FALL_PER_S * share.value)
        share.value += min(RISE_PER_S * passed_s, max(-fall_per_s * passed_s, step))
        share.value = max(0.0, share.value)
        return share.value

    def _wanted(self, share: _Share, gain_part: float) -> float:
        length = (gain_part - MIN_GAIN_PART) / (MAX_GAIN_PART - MIN_GAIN_PART)
        if length <= 0.0:
            return 0.0
        unserved = max(0.0, 1.0 - share.served / share.asked)
        return min(1.0, length) * min(1.0, unserved + QUEUE_SHARE)

    def _log_crossing(self, service: str, now: float) -> None:
        share = self._shares[service]
        reached = sum(
            share.value >= logged - LOGGED_MARGIN * (share.logged > index)
            for index, logged in enumerate(LOGGED_SHARES)
        )
        if reached == share.logged or now - share.logged_at < LOG_INTERVAL_S:
            return
        share.logged, share.logged_at = reached, now
        log_event(
            log,
            "failure-domain-share",
            service=service,
            failure_domain=self._failure_domain,
            share=round(share.value, 2),
            left=self._left,
            stayed=self._stayed,
        )

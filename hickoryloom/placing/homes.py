"""Home engines of prompts that share a part, and how they are spread from the first request on.

This answers the load of a large fleet in which each instance sends one or two prompts a second. It
sees neither the load of the others nor, at the start, its own: without spreading, all instances
send the prompts of one shared part to one engine, and those without one to the last of the list.

Applies from the first prompt on where the settings ask for it (`spreads_prompts`), and otherwise to
services whose engines report four figures, from the first such report that an instance receives.
This module performs no I/O.
"""

from __future__ import annotations

import heapq
import math
import random
from collections import Counter, deque
from collections.abc import Mapping

import attrs

from hickoryloom.placing.drawing import HomeOrders
from hickoryloom.placing.messages import PlacementRequest, ReportedLoad
from hickoryloom.placing.short_prompts import rank
from hickoryloom.placing.tracked import TrackedServer

__all__ = ["MIN_SAVING_S", "Homes"]

MIN_SAVING_S = 0.02
"""Least prefill time of a shared part for which prompts are kept together at an engine. Processing
198 tokens takes 5 ms; keeping such prompts together brought one engine six times the mean load."""

WINDOW_S = 20.0
"""Time over which prompts of a session are counted; the largest one has some two or three a
minute at each of 89 instances."""

MAX_HOME_FILL = 0.35
"""Fraction of time that the prompts of one session may keep one engine busy before another one
processes the shared part too."""

HOMES_PER_SHARE = 3.0
"""Homes of a session per engine that its share of the prompts would fill at the mean load. With 1,
the busiest engine got 2.15 times the mean number of requests, with 3 1.9 times."""

MAX_SESSIONS = 4_096
"""Number of counted prompts."""

SHARED_SESSIONS = 16
MAX_SHARED_ID_CHARS = 64
"""Only the most frequent sessions, with ids of common length, are shared: a message to another
instance has at most 16 KB."""

SHARED_MAX_AGE_S = 4.0
"""Age up to which the mean rates of several instances replace this instance's own."""

MIN_COUNTING_S = 2.0
"""Least time over which a rate is computed, so that the first prompt of all is no high rate."""

ALL_SESSIONS = ""
"""Key of the rate of all prompts that have a session."""

JITTER_S = 0.001
"""Largest random delay that is added to engines of equal expected delay, so that instances without
traffic of their own spread over all of them."""


@attrs.define
class Homes:
    """Decides, for one service, which engines prompts of a session prefer.

    Attributes:
        spreads: Whether prompts are spread, as the settings ask for or since an engine has reported
            four figures; otherwise each session has one home.
    """

    spreads: bool = False
    _sent: deque[tuple[float, str]] = attrs.field(factory=deque)
    _counts: Counter[str] = attrs.field(factory=Counter)
    _first_at: float | None = None
    _mean_rates: Mapping[str, float] = attrs.field(factory=dict)
    _mean_at: float = float("-inf")

    def on_report(self, load: ReportedLoad) -> None:
        """Note whether an engine reports four figures."""
        if load.slowdown_percent is not None:
            self.spreads = True

    def record_sent(self, request: PlacementRequest, now: float) -> None:
        """Record that this instance has sent a prompt."""
        session = request.session
        if not session or not self.spreads:
            return
        if self._first_at is None:
            self._first_at = now
        self._sent.append((now, session))
        self._counts[session] += 1
        self._forget(now)

    def rates(self, now: float) -> dict[str, float]:
        """Return the rates of this instance's most frequent sessions, and of all, per second."""
        self._forget(now)
        counting_s = self._counting_s(now)
        rates = {
            session: round(count / counting_s, 4)
            for session, count in self._counts.most_common(SHARED_SESSIONS)
            if len(session) <= MAX_SHARED_ID_CHARS
        }
        if rates:
            rates[ALL_SESSIONS] = round(len(self._sent) / counting_s, 4)
        return rates

    def set_mean_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Set the mean of `rates` over several instances."""
        self._mean_rates = rates
        self._mean_at = now

    def select(
        self,
        request: PlacementRequest,
        group: list[TrackedServer],
        instances: int,
        tokens_per_s: float,
        now: float,
        orders: HomeOrders | None = None,
    ) -> frozenset[str]:
        """Return the ids of the engines that are expected to have the shared parts of a prompt.

        Args:
            request: The request.
            group: Engines for prompts of its length.
            instances: Number of instances that send similar traffic.
            tokens_per_s: Prompt tokens that an engine processes per second.
            now: Monotonic time in seconds.
            orders: The orders of all engines for prompts of its length, if the group is drawn.
        """
        engines = len(group) if orders is None else orders.servers
        number = self.number(request, engines, instances, tokens_per_s, now)
        if not number:
            return frozenset()

        def order(tracked: TrackedServer) -> bytes:
            return rank(request.session, tracked.server.id)

        if orders is not None:
            lowest = orders.lowest_rank(request.session, number)
            homes = frozenset(item.server.id for item in group if order(item) >= lowest)
            if homes:
                return homes
        if number == 1 or orders is not None:
            return frozenset((max(group, key=order).server.id,))
        return frozenset(tracked.server.id for tracked in heapq.nlargest(number, group, key=order))

    def number(
        self,
        request: PlacementRequest,
        engines: int,
        instances: int,
        tokens_per_s: float,
        now: float,
    ) -> int:
        """Return how many homes the session of a prompt has; 0 if its prompts aren't kept together.

        Args:
            request: The request.
            engines: Number of engines for prompts of its length.
            instances: Number of instances that send similar traffic.
            tokens_per_s: Prompt tokens that an engine processes per second.
            now: Monotonic time in seconds.
        """
        if not request.session:
            return 0
        if not self.spreads:
            return 1
        shared = sum(part.tokens for part in request.shared)
        if shared / tokens_per_s < MIN_SAVING_S:
            return 0
        rate, total = self._rate(request.session, now)
        own_s = max(0, request.prompt_tokens - shared) / tokens_per_s
        by_time = rate * instances * own_s / MAX_HOME_FILL
        by_share = HOMES_PER_SHARE * engines * rate / total if total else 0.0
        return max(1, math.ceil(max(by_time, by_share)))

    def ignores_parts(self, request: PlacementRequest, tokens_per_s: float) -> bool:
        """Return whether shared parts of a prompt are too short to matter."""
        shared = sum(part.tokens for part in request.shared)
        return self.spreads and shared / tokens_per_s < MIN_SAVING_S

    def jitter_s(self, rng: random.Random) -> float:
        """Return a random delay for an engine, which breaks ties."""
        return rng.random() * JITTER_S if self.spreads else 0.0

    def _rate(self, session: str, now: float) -> tuple[float, float]:
        """Return the mean rates of a session and of all at one instance, per second."""
        if now - self._mean_at <= SHARED_MAX_AGE_S and self._mean_rates:
            return self._mean_rates.get(session, 0.0), self._mean_rates.get(ALL_SESSIONS, 0.0)
        # A single prompt in the window may be the only one of its session at any instance.
        repeated = max(0, self._counts[session] - 1)
        counting_s = self._counting_s(now)
        return repeated / counting_s, len(self._sent) / counting_s

    def _counting_s(self, now: float) -> float:
        first_at = now if self._first_at is None else self._first_at
        return max(MIN_COUNTING_S, min(WINDOW_S, now - first_at))

    def _forget(self, now: float) -> None:
        while self._sent and (self._sent[0][0] <= now - WINDOW_S or len(self._sent) > MAX_SESSIONS):
            _, oldest = self._sent.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]

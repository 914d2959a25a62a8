"""Chooses the backend server with the least expected delay; pure.

Model engines answer a load of long prompts of which a large part is shared: reading it again costs
more than waiting a little. A prompt goes first to the backend server that rendezvous hashing names
for its session, the same at every instance, and spills to others only when their expected delay,
reading included, is shorter. Plain services answer a load of short requests on few slots: these
go to the least occupied backend server, the nearer one when two are alike.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from hickoryloom.discovery import BackendServer
from hickoryloom.placing.messages import Ending, Placement, ReportedLoad, Work
from hickoryloom.placing.prefill import PrefillRate
from hickoryloom.placing.quiet import LONG_PROMPT_TOKENS, QuietEngines, rank
from hickoryloom.placing.tracked import TrackedServer

__all__ = ["Placer"]

MEAN_WAITING_PREFILL_S = 0.06
"""Expected reading time of a request that waits at an engine, of whose prompt nothing is known."""

FULL_PENALTY_S = 0.5
"""Expected wait for a slot of an engine all of whose slots are taken."""

FAILED_PENALTY_S = 1.0
"""Expected cost of a failed attempt, times the share of attempts that failed."""

SLOW_PENALTY_S = 0.1
"""Handicap of a backend server that says it is still slow after its start."""

RUNNING_PENALTY_S = 0.002
"""Expected delay that each own request in flight adds at an engine."""

WRONG_SIDE_S = 0.3
"""Expected delay by which another engine must be better for a long prompt to be read among short
streams, or a short stream to run among long prompts: the shortest pause that counts as late."""

FAR_OCCUPANCY = 0.05
"""Occupancy that another failure domain must have less to be preferred."""


class Placer:
    """Knows the backend servers' load as one instance sees it.

    Args:
        failure_domain: The instance's own.
        rng: Source of random numbers, for ties.
    """

    def __init__(self, failure_domain: str, rng: random.Random) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._tracked: dict[str, TrackedServer] = {}
        self._by_service: dict[str, list[TrackedServer]] = {}
        self._rates: dict[str, PrefillRate] = {}
        self._quiet: dict[str, QuietEngines] = {}
        self._instances = 1

    @property
    def in_flight(self) -> int:
        """Own requests at backend servers."""
        return sum(tracked.in_flight for tracked in self._tracked.values())

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Take in the live list."""
        current: dict[str, TrackedServer] = {}
        by_service: dict[str, list[TrackedServer]] = {}
        for server in servers:
            tracked = self._tracked.get(server.id) or TrackedServer(server)
            if tracked.server.started_ms != server.started_ms:
                tracked.forget_cache()
            tracked.server = server
            current[server.id] = tracked
            by_service.setdefault(server.service, []).append(tracked)
        self._tracked = current
        self._by_service = by_service

    def set_instances(self, instances: int) -> None:
        """Take in the number of instances that place requests as this one does."""
        self._instances = instances
        for quiet in self._quiet.values():
            quiet.instances = instances

    def choose(self, work: Work, exclude: frozenset[str], now: float) -> Placement | None:
        """Return the best backend server for a request, or None.

        Args:
            work: The request.
            exclude: Ids of backend servers that must not be chosen.
            now: Monotonic time in seconds.
        """
        usable = [
            tracked
            for tracked in self._by_service.get(work.service, ())
            if not tracked.server.leaving and tracked.server.id not in exclude
        ]
        awake = [tracked for tracked in usable if tracked.paused_until <= now]
        candidates = awake or usable
        if not candidates:
            return None
        if work.prompt_tokens:
            return self._choose_engine(work, candidates, now)
        return self._choose_plain(candidates, now)

    def prefill_s(self, service: str, tokens: float) -> float:
        """Return the seconds that an engine of a service takes to read so many tokens."""
        return tokens / self._rate(service).tokens_per_s

    def started(self, placement: Placement, work: Work, now: float) -> None:
        """Take in that a request is sent as chosen."""
        if work.prompt_tokens:
            self._quiet_engines(work.service).started(_is_short(work), now)
        tracked = self._tracked.get(placement.server.id)
        if tracked is not None:
            tracked.on_start(work, placement.prefill_tokens)

    def first_token(self, placement: Placement, took_s: float) -> None:
        """Take in that a prompt has been read; `took_s` counts from the send."""
        tracked = self._tracked.get(placement.server.id)
        if tracked is None:
            return
        tracked.on_first_token(placement.prefill_tokens)
        if tracked.unread_tokens == 0:
            self._rate(placement.server.service).observe(placement.prefill_tokens, took_s)

    def finished(
        self, placement: Placement, work: Work, ending: Ending, prompt_read: bool, now: float
    ) -> None:
        """Take in the end of an attempt; `prompt_read` tells whether `first_token` was called."""
        if work.prompt_tokens:
            self._quiet_engines(work.service).finished(_is_short(work), now)
        tracked = self._tracked.get(placement.server.id)
        if tracked is None:
            return
        if not prompt_read:
            tracked.on_first_token(placement.prefill_tokens)
        tracked.on_end(ending, now)

    def report(self, id: str, load: ReportedLoad, now: float) -> None:
        """Take in a backend server's word on its load."""
        tracked = self._tracked.get(id)
        if tracked is not None:
            tracked.on_report(load, now)

    def _choose_engine(self, work: Work, candidates: list[TrackedServer], now: float) -> Placement:
        short = _is_short(work)
        engines = [(one.server.id, one.server.slots) for one in candidates]
        quiet = self._quiet_engines(work.service).names(engines, now)
        at_home = [one for one in candidates if (one.server.id in quiet) == short] or candidates
        home = max(at_home, key=lambda one: rank(work.session, one.server.id))
        best, best_s, best_tokens = home, float("inf"), 0
        for tracked in candidates:
            known = tracked is home and work.session != ""
            tokens = tracked.uncached_tokens(work, known)
            expected_s = self._engine_delay_s(tracked, tokens, now)
            expected_s += WRONG_SIDE_S * (quiet != frozenset() and tracked not in at_home)
            if expected_s < best_s or (expected_s == best_s and self._rng.random() < 0.5):
                best, best_s, best_tokens = tracked, expected_s, tokens
        reason = "least-loaded" if not work.session else "affinity" if best is home else "spilled"
        return Placement(best.server, reason, best_s, best_tokens)

    def _quiet_engines(self, service: str) -> QuietEngines:
        if service not in self._quiet:
            self._quiet[service] = QuietEngines(self._instances)
        return self._quiet[service]

    def _engine_delay_s(self, tracked: TrackedServer, tokens: int, now: float) -> float:
        rate = self._rate(tracked.server.service)
        own_s = rate.seconds(tracked.unread_tokens)
        reported_s = tracked.reported_waiting(now) * MEAN_WAITING_PREFILL_S
        delay_s = max(own_s, reported_s) + rate.seconds(tokens)
        delay_s += tracked.in_flight * RUNNING_PENALTY_S
        delay_s += FULL_PENALTY_S * (tracked.occupancy(now) >= 1.0)
        delay_s += SLOW_PENALTY_S * (tracked.server.slow_s > 0)
        return delay_s + FAILED_PENALTY_S * tracked.failed_part

    def _choose_plain(self, candidates: list[TrackedServer], now: float) -> Placement:
        def cost(tracked: TrackedServer) -> float:
            far = tracked.server.failure_domain != self._failure_domain
            jitter = self._rng.random() * FAR_OCCUPANCY
            return (
                tracked.occupancy(now)
                + FAR_OCCUPANCY * far
                + jitter
                + tracked.failed_part
                + (tracked.server.slow_s > 0)
            )

        best = min(candidates, key=cost)
        return Placement(best.server, "least-loaded", 0.0)

    def _rate(self, service: str) -> PrefillRate:
        return self._rates.setdefault(service, PrefillRate())


def _is_short(work: Work) -> bool:
    return work.prompt_tokens <= LONG_PROMPT_TOKENS

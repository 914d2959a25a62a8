"""Reserves engines for short prompts, so that long prompts do not stall their streams.

The prefill of a long prompt takes several steps, and every running stream of the engine waits
during each of them. If long prompts are distributed over all engines, a few per second are enough
to stall most streams for too long. Therefore some engines are reserved for short prompts: as many
as their streams and their own prefills require, but at most half of all engines. Every instance
selects the same ones.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from functools import lru_cache
from hashlib import blake2b

import attrs

__all__ = ["LONG_PROMPT_TOKENS", "ShortPromptEngines", "compute_rank", "rank"]

LONG_PROMPT_TOKENS = 2_048
"""Approximate number of prompt tokens that an engine processes in one step. A longer prompt stalls
streams for several steps."""

MAX_STREAM_FILL = 0.8
"""Fraction of a reserved engine's slots that streams may occupy before another is reserved."""

MAX_PREFILL_FILL = 0.35
"""Fraction of time that a reserved engine may process prompts before another is reserved. Prompts
that arrive together stall its streams one after the other."""

AVERAGING_S = 4.0
"""Time constant of the average load: twice the mean duration of a stream."""

LONG_PROMPT_MEMORY_S = 10.0
"""Time after the last long prompt for which engines stay reserved: an instance of a large fleet
sends one every second or less."""

SHARED_LOAD_MAX_AGE_S = 4.0
"""Age up to which the mean load of other instances replaces this instance's own."""

START_SHARE = 1 / 3
"""Assumed share of short requests, and of engines that they fill, before traffic shows them."""

START_WEIGHT = 4.0
"""Number of requests that the assumed share counts for."""

START_S = 4.0
"""Time from the first request for which long ones are expected though none has been sent: an
instance of a large fleet sends one every second or two."""

SHARE_AVERAGING_S = 20.0
"""Time constant of the share of short requests: an instance of a large fleet sends one or two
requests a second."""

EVENNESS = 1.4
"""Mean number of requests at a reserved engine as a multiple of that at all engines. The busiest
one must stay below 2; with 1.5 it reached 2.04."""

DIVIDED_EVENNESS = 1.5
"""The same where short prompts mostly stay in their failure domain and as large a part of each is
reserved. With 1.4, the fewer engines for long prompts got up to 2.02 times the mean number."""

SPEED_TOLERANCE = 0.25
"""Part of an engine by which reserved engines may be too slow before another one is reserved."""

MAX_RANKS = 16_384
"""Number of ranks that are kept: those of 200 sessions at 80 servers. Each takes 250 bytes."""

MIN_ENGINES_TO_PARTITION = 3
"""With fewer engines, reserving one costs more than the stalls that it prevents."""


@attrs.define
class ShortPromptEngines:
    """Tracks the load of short requests and selects the engines reserved for them.

    Attributes:
        instances: Number of instances that send similar traffic. The mean load of an instance is
            multiplied by it to estimate the total.
        spreads: Whether engines are reserved from the first request on and in proportion to the
            short requests, see `hickoryloom/placing/homes.py`.
        is_divided: Whether short requests mostly stay in their failure domain.
    """

    instances: int = 1
    spreads: bool = False
    is_divided: bool = False
    _in_flight: int = 0
    _long_until: float = float("-inf")
    _shared_load: float | None = None
    _shared_at: float = 0.0
    _mean_in_flight: float = 0.0
    _prefill_busy: float = 0.0
    _updated: float | None = None
    _first_at: float | None = None
    _short_sent: float = 0.0
    _sent: float = 0.0
    _ordered_for: list[tuple[str, int]] = attrs.field(factory=list)
    _ordered_by: Mapping[str, str] | None = None
    _ordered: list[tuple[str, int]] = attrs.field(factory=list)

    def started(self, short: bool, prefill_s: float, now: float) -> None:
        """Record that a request has been sent whose prefill takes an engine `prefill_s`."""
        self._refresh(now)
        self._sent += 1
        self._short_sent += short
        if short:
            self._in_flight += 1
            self._prefill_busy += prefill_s / AVERAGING_S
        else:
            self._long_until = now + LONG_PROMPT_MEMORY_S

    def finished(self, short: bool, now: float) -> None:
        """Record that a request has ended."""
        self._refresh(now)
        if short:
            self._in_flight = max(0, self._in_flight - 1)

    def load(self, slots: int, now: float, engines: int = 0) -> float:
        """Return the number of engines that this instance's short requests fill.

        Args:
            slots: Slots of an engine.
            now: Monotonic time in seconds.
            engines: Number of engines of the service.
        """
        self._refresh(now)
        streams = self._mean_in_flight / (MAX_STREAM_FILL * max(1, slots))
        load = max(streams, self._prefill_busy / MAX_PREFILL_FILL)
        if not self.spreads or self._first_at is None:
            return load
        own_engines = engines / max(1, self.instances)
        # The averages start at 0 and have seen only this part of their time constant.
        unseen = math.exp((self._first_at - now) / AVERAGING_S)
        short_share = (self._short_sent + START_SHARE * START_WEIGHT) / (self._sent + START_WEIGHT)
        evenness = DIVIDED_EVENNESS if self.is_divided else EVENNESS
        return max(load + unseen * START_SHARE * own_engines, short_share * own_engines / evenness)

    def set_shared_load(self, load: float, now: float) -> None:
        """Set the mean load of several instances."""
        self._shared_load = load
        self._shared_at = now

    def select(
        self,
        engines: Iterable[tuple[str, int]],
        now: float,
        speeds: Mapping[str, float] | None = None,
        domains: Mapping[str, str] | None = None,
    ) -> frozenset[str]:
        """Return the ids of the engines that are reserved for short requests.

        No engine is reserved unless a long request has been sent recently.

        Args:
            engines: Id and slots of each usable engine.
            now: Monotonic time in seconds.
            speeds: Speed of each engine relative to the usual one; None for the usual one.
            domains: Failure domain of each engine, if as large a part of each domain is to be
                reserved; None to reserve engines of any.
        """
        if self.spreads and self._first_at is None:
            self._first_at = now
            self._long_until = max(self._long_until, now + START_S)
        ranked = self._order(list(engines), domains)
        if len(ranked) < MIN_ENGINES_TO_PARTITION or now >= self._long_until:
            return frozenset()
        load = self.load(ranked[0][1], now, len(ranked))
        if self._shared_load is not None and now - self._shared_at <= SHARED_LOAD_MAX_AGE_S:
            load = self._shared_load
        number = min(max(1, math.ceil(load * self.instances)), len(ranked) // 2)
        if self.spreads and speeds is not None:
            number = _count_for_speed(number, [speeds[id] for id, _ in ranked[: len(ranked) // 2]])
        return frozenset(id for id, _ in ranked[:number])

    def _order(
        self, engines: list[tuple[str, int]], domains: Mapping[str, str] | None
    ) -> list[tuple[str, int]]:
        """Return engines in the order in which they are reserved."""
        # Most requests find the same engines as the one before.
        if engines != self._ordered_for or domains != self._ordered_by:
            self._ordered_for, self._ordered_by = engines, domains
            ranked = sorted(engines, key=lambda engine: rank("quiet", engine[0]), reverse=True)
            self._ordered = ranked if domains is None else _alternate(ranked, domains)
        return self._ordered

    def _refresh(self, now: float) -> None:
        if self._updated is not None:
            weight = math.exp((self._updated - now) / AVERAGING_S)
            self._mean_in_flight = weight * self._mean_in_flight + (1 - weight) * self._in_flight
            self._prefill_busy *= weight
            share_weight = math.exp((self._updated - now) / SHARE_AVERAGING_S)
            self._sent *= share_weight
            self._short_sent *= share_weight
        self._updated = now


def _alternate(ranked: list[tuple[str, int]], domains: Mapping[str, str]) -> list[tuple[str, int]]:
    """Return engines in an order whose first ones are spread evenly over failure domains.

    Short prompts rarely leave their domain. Where the highest ranks of all decided, the domain with
    the fewest reserved engines got twice the mean load, and a fifth of the prompts was late.
    """
    sizes = Counter(domains[id] for id, _ in ranked)
    seen: Counter[str] = Counter()
    keys = []
    for position, (id, _) in enumerate(ranked):
        domain = domains[id]
        keys.append(((seen[domain] + 0.5) / sizes[domain], position))
        seen[domain] += 1
    return [engine for _, engine in sorted(zip(keys, ranked, strict=True))]


def _count_for_speed(number: int, speeds: list[float]) -> int:
    """Return how many engines, in order, are as fast together as `number` of usual speed."""
    total = 0.0
    for count, speed in enumerate(speeds, start=1):
        total += speed
        if total >= number - SPEED_TOLERANCE:
            return count
    return len(speeds)


def compute_rank(key: str, id: str) -> bytes:
    """Return the rendezvous hashing rank of a backend server for a key; the highest rank wins."""
    return blake2b(f"{key}\n{id}".encode(), digest_size=8).digest()


rank = lru_cache(MAX_RANKS)(compute_rank)
"""`compute_rank` with a cache, for the few servers that are ranked again with each request."""

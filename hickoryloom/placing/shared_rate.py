"""A rate of requests to a server that all instances keep to together.

This answers the load of a server that takes few requests and that many instances use. Each of them
alone would keep to the rate and be far above it together, so a few of them, chosen by rendezvous
hashing, send at equal shares. No message is needed for a request. This module performs no I/O.
"""

from __future__ import annotations

import math

import attrs

from hickoryloom.evidence import InstanceRanking, InstanceStanding

__all__ = ["RateBound", "SharedRate"]

USED_FRACTION = 0.9
"""Part of a rate that is divided, so that instances which know different others stay below it."""

SPARE_REQUESTS = 2
"""Part of the tolerance that is kept for instances which know different others."""


@attrs.frozen
class RateBound:
    """The most requests that a server may get in any window: rate × window × factor + tolerance.

    Attributes:
        window_s: Length of the window in seconds.
        factor: Factor on the rate.
        tolerance: Requests allowed in each window in addition.
    """

    window_s: float
    factor: float
    tolerance: float

    def most(self, rate: float) -> float:
        """Return the most requests in a window at a rate per second."""
        return rate * self.window_s * self.factor + self.tolerance

    def senders(self, rate: float) -> int:
        """Return the number of instances among which a rate per second is divided.

        Each of them can have saved up one request, which takes the place of what the bound allows
        beyond the rate itself.
        """
        beyond_rate = max(0.0, self.factor - 1.0) * rate * self.window_s
        return max(1, math.floor(self.tolerance) - SPARE_REQUESTS + math.floor(beyond_rate))


class SharedRate:
    """This instance's turns at servers whose rate is shared.

    Args:
        bound: What all instances together must stay below.
        ranking: Decides which instances send to a server.
        min_rate_per_s: Rate below which none is divided.
        standing: Tells since when the instances know each other; None to act on any list of them.
    """

    def __init__(
        self,
        bound: RateBound,
        ranking: InstanceRanking,
        min_rate_per_s: float = 0.0,
        standing: InstanceStanding | None = None,
    ) -> None:
        self._bound = bound
        self._ranking = ranking
        self._min_rate_per_s = min_rate_per_s
        self._standing = standing
        self._next_send_at: dict[str, float] = {}

    def places_behind(self, key: str, rate: float) -> int | None:
        """Return by how many places this instance ranks behind the last one that sends.

        Returns:
            0 or less if it is one of those that send; None while the others are unknown.
        """
        rank = self._ranking.rank(key)
        return None if rank is None else rank - self._bound.senders(rate) + 1

    def position(self, key: str) -> float:
        """Return this instance's place among all for a key, from 0 to 1; 1 while unknown."""
        rank = self._ranking.rank(key)
        return 1.0 if rank is None else rank / max(1, self._ranking.instances)

    def interval_s(self, rate: float) -> float:
        """Return the seconds between two requests of one of the instances that send.

        Requests that are at least a whole fraction of the window apart are at most as many in each
        window, so that the sum over the instances that send stays below the bound.
        """
        instances = max(1, min(self._bound.senders(rate), self._ranking.instances or 1))
        per_window = math.floor(self._bound.most(rate) / instances)
        used_rate = max(USED_FRACTION * rate, self._min_rate_per_s)
        if per_window < 1 or used_rate <= 0:
            return math.inf
        return max(instances / used_rate, self._bound.window_s / per_window)

    def begin_empty(self, key: str, rate: float, at: float) -> None:
        """Begin a share without a saved request; all that began with one would exceed the bound."""
        self._next_send_at[key] = at + self.interval_s(rate)

    def begin_in_turn(self, key: str, rate: float, at: float) -> None:
        """Begin the shares of a server that has had no requests, one instance after another."""
        rank = self._ranking.rank(key) or 0
        senders = self._bound.senders(rate)
        self._next_send_at[key] = at + self.interval_s(rate) * min(1.0, rank / senders)

    def begin_after_window(self, key: str, rate: float, at: float) -> None:
        """Begin the share of a server that may have had many requests in the last window."""
        self._next_send_at[key] = at + max(self._bound.window_s, self.interval_s(rate))

    def wait_s(self, key: str, now: float) -> float:
        """Return the seconds until the next turn of an instance that sends; 0 for now."""
        wait_s = max(0.0, self._next_send_at.get(key, now) - now)
        if self._standing is None:
            return wait_s
        since = self._standing.acts_since(now)
        if since is None:
            return math.inf
        # A request of this window may be one of an instance that this one has just replaced.
        return max(wait_s, since + self._bound.window_s - now)

    def record_sent(self, key: str, rate: float, now: float) -> None:
        """Record that this instance sends a request to a server."""
        started_at = max(now, self._next_send_at.get(key, now))
        self._next_send_at[key] = started_at + self.interval_s(rate)

    def forget(self, key: str) -> None:
        """Forget the turns at a server."""
        self._next_send_at.pop(key, None)

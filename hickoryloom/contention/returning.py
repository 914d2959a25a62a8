"""Recognizes callers that come back after a refusal. Performs no I/O.

This answers the load of callers that were told to come back while newer requests take the capacity
that has become free. A request that its caller sends again has a new id, so it is recognized by the
digest of its customer, path and body, at the instance that refused it.
"""

from __future__ import annotations

from collections import OrderedDict

__all__ = ["ReturningCallers"]

KEPT_S = 10.0
"""Time for which a refusal is remembered: longer than callers wait before they come back."""

MAX_KEPT = 4_096
"""Refusals that are remembered, the latest ones; each takes about 200 bytes."""


class ReturningCallers:
    """Requests that were refused lately."""

    def __init__(self) -> None:
        self._refused: OrderedDict[str, tuple[int, float]] = OrderedDict()

    def __len__(self) -> int:
        return len(self._refused)

    def record_refused(self, digest: str, now: float) -> None:
        """Record that a request is refused."""
        count, _ = self._refused.pop(digest, (0, now))
        self._refused[digest] = (count + 1, now)
        if len(self._refused) > MAX_KEPT:
            self._refused.popitem(last=False)

    def take(self, digest: str, now: float) -> bool:
        """Return whether a request was refused before, once for each refusal."""
        while self._refused and now - next(iter(self._refused.values()))[1] > KEPT_S:
            self._refused.popitem(last=False)
        count, at = self._refused.get(digest, (0, now))
        if count > 1:
            self._refused[digest] = (count - 1, at)
        elif count:
            del self._refused[digest]
        return count > 0

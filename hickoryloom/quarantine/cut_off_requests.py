"""Finds requests that end every backend server that runs them.

A server that ends cuts off all requests that it was running. The one that is the cause is cut off
by each server that it is sent to and never answered, whereas others are answered in between.

This module performs no I/O.
"""

from __future__ import annotations

from collections import OrderedDict

from hickoryloom.quarantine.moments import Times, count_moments

__all__ = ["CutOffRequests"]

MIN_ENDS = 3
"""Ends of servers that make a request the cause."""

MAX_REQUESTS = 2_000
"""Requests that are watched; those that were cut off longest ago are forgotten."""

MAX_SERVERS = 16
"""Latest servers that are remembered for each request."""

SAME_END_S = 1.0
"""Time within which several instances report the same end of a server."""


class CutOffRequests:
    """Requests that servers cut off lately and that were not answered since.

    Args:
        lifetime_s: Seconds for which a cut-off counts.
    """

    def __init__(self, lifetime_s: float) -> None:
        self._lifetime_s = lifetime_s
        self._requests: OrderedDict[str, dict[str, Times]] = OrderedDict()
        self._changed: set[str] = set()
        self._suspects: set[str] = set()
        self._causes: set[str] = set()

    def __len__(self) -> int:
        return len(self._requests)

    def is_suspect(self, request: str) -> bool:
        """Return whether one more end might make a request a cause."""
        return request in self._suspects

    def add(self, request: str, server: str, at: float, sent_at: float) -> None:
        """Add a request that a server cut off.

        Args:
            request: Key of the request.
            server: Identifies the server and its start.
            at: Monotonic time of the end of the server, in seconds.
            sent_at: Monotonic time at which the request was sent, in seconds.
        """
        servers = self._requests.setdefault(request, {})
        self._requests.move_to_end(request)
        known = servers.pop(server, None)
        if known is not None and abs(at - known[0]) < SAME_END_S:
            at, sent_at = min(at, known[0]), min(sent_at, known[1])
        servers[server] = (at, sent_at)
        if len(servers) > MAX_SERVERS:
            del servers[next(iter(servers))]
        if len(self._requests) > MAX_REQUESTS:
            self._forget(next(iter(self._requests)))
        self._changed.add(request)

    def acquit(self, request: str, at: float) -> None:
        """Drop what counts against a request that was answered at monotonic time `at`."""
        later = {
            server: times
            for server, times in self._requests.get(request, {}).items()
            if times[0] > at
        }
        self._forget(request)
        if later:
            self._requests[request] = later
            self._changed.add(request)

    def find(self, now: float) -> dict[str, bool]:
        """Return the requests that new cut-offs make a cause.

        Returns:
            For each request, whether another one was cut off by just the same servers, so that one
            of the two may be sound.
        """
        changed, self._changed = self._changed & self._requests.keys(), set()
        found = []
        for request in changed:
            ends = count_moments(self._live(request, now).values())
            self._suspects.discard(request)
            self._causes.discard(request)
            if ends >= MIN_ENDS - 1:
                self._suspects.add(request)
            if ends >= MIN_ENDS:
                self._causes.add(request)
                found.append(request)
        return {request: self._is_tied(request) for request in found}

    def ended_servers(self) -> list[frozenset[str]]:
        """Return the servers that each request has ended that is a cause."""
        return [frozenset(self._requests[request]) for request in self._causes]

    def expire(self, now: float) -> None:
        """Forget the requests whose last cut-off no longer counts."""
        while self._requests:
            request, servers = next(iter(self._requests.items()))
            if any(now - at < self._lifetime_s for at, _ in servers.values()):
                return
            self._forget(request)

    def _live(self, request: str, now: float) -> dict[str, Times]:
        return {
            server: times
            for server, times in self._requests[request].items()
            if now - times[0] < self._lifetime_s
        }

    def _is_tied(self, request: str) -> bool:
        servers = self._requests[request].keys()
        return any(
            other != request and self._requests[other].keys() == servers for other in self._causes
        )

    def _forget(self, request: str) -> None:
        self._requests.pop(request, None)
        self._suspects.discard(request)
        self._causes.discard(request)

"""Limits that backend servers name for the requests that they take from all instances together.

This answers the load of a server in need that many instances use. Each of them alone would keep to
the limit and be far above it together, so a few of them send to the server, at equal shares
(`shared_rate`). The others, and prompts beyond the share, go to other servers. This module performs
no I/O.
"""

from __future__ import annotations

import logbook

from hickoryloom.discovery import BackendServer
from hickoryloom.evidence import InstanceRanking, Record, SharedRecords, Topic
from hickoryloom.logs import log_event
from hickoryloom.placing.shared_rate import RateBound, SharedRate
from hickoryloom.placing.stated_number import parse_stated_number

__all__ = ["LIMITS", "NamedLimits", "parse_limit"]

MAX_LIMIT_PER_S = 1_000_000.0
"""Largest limit that is told apart from others."""

BOUND = RateBound(window_s=4.0, factor=1.5, tolerance=5.0)
"""What a server that names a limit tolerates: six times the limit and five requests in four
seconds."""

MIN_RATE_PER_S = 0.2
"""Rate below which no limit is divided: only a response can tell that it has ended."""

TAKEOVER_S = 5.0
"""Time without a response from a limited server after which one more instance may send to it."""

LIMITS = Topic("server-limit", 300.0)

NO_LIMIT = ""
MAX_LOGGED_CHARS = 60

log = logbook.Logger("hickoryloom.placing")


def parse_limit(value: str) -> tuple[float | None, bool]:
    """Return the requests per second that a value names, and whether the value was sound.

    The limit is None if the value is not a decimal number.
    """
    return parse_stated_number(value, MAX_LIMIT_PER_S)


class NamedLimits:
    """Paces this instance's requests to servers that name a limit.

    Args:
        records: Records shared with the other instances.
        ranking: Decides which instances send to a limited server.
    """

    def __init__(self, records: SharedRecords, ranking: InstanceRanking) -> None:
        self._records = records
        self._limits: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._shares = SharedRate(BOUND, ranking, MIN_RATE_PER_S)
        records.subscribe(LIMITS, self._on_record)

    @property
    def servers(self) -> int:
        """Number of starts of servers that name a limit."""
        return len(self._limits)

    def note(self, server: BackendServer, value: str, sent_at: float, now: float) -> None:
        """Note what a response says of the server's limit.

        Args:
            server: The server.
            value: The limit as stated; empty if the response names none.
            sent_at: Monotonic time at which the request was sent, in seconds.
            now: Monotonic time in seconds.
        """
        key = _key(server)
        if not value:
            # An earlier request's response may have been written before the limit was named.
            if key in self._limits and sent_at > self._latest_naming(key, now):
                self._records.put(LIMITS, key, NO_LIMIT, now)
            return
        limit, sound = parse_limit(value)
        if not sound:
            log_event(
                log, "limit-unsound", backend_server=server.id, value=value[:MAX_LOGGED_CHARS]
            )
        if limit is not None:
            self._named_at[key] = now
            self._records.put(LIMITS, key, f"{limit:.6f}", now)

    def is_limited(self, server: BackendServer, now: float) -> bool:
        """Return whether a server names a limit, as far as any instance knows."""
        key = _key(server)
        return key in self._limits and self._records.get(LIMITS, key, now) is not None

    def rest_s(self, server: BackendServer, now: float) -> float:
        """Return the seconds until this instance may send to a server; 0 if it may now."""
        if not self._limits:
            return 0.0
        key = _key(server)
        limit = self._limits.get(key)
        record = self._records.get(LIMITS, key, now) if limit is not None else None
        if limit is None or record is None:
            self._forget(key)
            return 0.0
        turns = self._shares.places_behind(key, limit)
        if turns is None:
            return TAKEOVER_S
        silent_s = now - self._latest_naming(key, now)
        if turns > 0 and silent_s < turns * TAKEOVER_S:
            return turns * TAKEOVER_S - silent_s
        return self._shares.wait_s(key, now)

    def record_sent(self, server: BackendServer, now: float) -> None:
        """Record that this instance sends a request to a server."""
        key = _key(server)
        limit = self._limits.get(key)
        if limit is not None:
            self._shares.record_sent(key, limit, now)

    def _latest_naming(self, key: str, now: float) -> float:
        record = self._records.get(LIMITS, key, now)
        shared_at = record.at if record is not None else float("-inf")
        return max(shared_at, self._named_at.get(key, float("-inf")))

    def _on_record(self, record: Record) -> None:
        limit, _ = parse_limit(record.value)
        if limit is None:
            self._forget(record.key)
            return
        if self._limits.get(record.key) != limit:
            self._shares.begin_empty(record.key, limit, record.at)
        self._limits[record.key] = limit

    def _forget(self, key: str) -> None:
        self._limits.pop(key, None)
        self._named_at.pop(key, None)
        self._shares.forget(key)


def _key(server: BackendServer) -> str:
    return f"{server.id}|{server.started_ms}"

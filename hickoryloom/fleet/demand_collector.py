"""Collects demand from entries and tells them which backend servers are being drained."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

import attrs
import cattrs
import gevent
from gevent.pool import Pool as GreenletPool
from result import Err, Ok

from hickoryloom.clock import Clock
from hickoryloom.fleet.demand import DEMAND_PATH, merge_demands, read_demand
from hickoryloom.fleet.messages import Demand, PoolDemand
from hickoryloom.http import JsonClient, bearer_headers
from hickoryloom.leases import ObjectStore
from hickoryloom.membership import Presence

__all__ = ["DemandSource", "DemandCollector"]

PRESENCE_INTERVAL_S = 10.0
MAX_DEMAND_AGE_S = 60.0
MAX_CALLS_PER_ROUND = 24
MAX_CONCURRENT_CALLS = 8
CALL_TIMEOUT_S = 1.0
PRESENCE_PREFIX = "presence/"
ENTRY_ROLE = "entry"


class DemandSource(Protocol):
    """Source of demand for the fleet task."""

    def collect(self, leaving: Sequence[str]) -> dict[str, PoolDemand] | None:
        """Send entries the ids of leaving servers; return the demand, None while unknown."""


@attrs.define
class _KnownEntry:
    presence: Presence
    client: JsonClient
    demand: Demand | None = None
    answered_at: float = float("-inf")
    called_at: float = float("-inf")


class DemandCollector:
    """Calls up to `MAX_CALLS_PER_ROUND` entries per round, the least recently called first.

    Args:
        client: Client of the platform, used to list the presence of entries.
        clock: Source of monotonic time.
        peer_secret: Bearer token between processes; empty for none.
    """

    def __init__(self, client: ObjectStore, clock: Clock, peer_secret: str = "") -> None:
        self._client = client
        self._clock = clock
        self._headers = bearer_headers(peer_secret)
        self._entries: dict[str, _KnownEntry] = {}
        self._listed_at = float("-inf")

    @property
    def fresh_entries(self) -> int:
        """Number of entries whose demand is recent enough to count."""
        return len(self._fresh_demands())

    def collect(self, leaving: Sequence[str]) -> dict[str, PoolDemand] | None:
        """Send entries the ids of leaving servers; return the demand, None while unknown."""
        self._list_entries()
        greenlets = GreenletPool(MAX_CONCURRENT_CALLS)
        by_last_call = sorted(self._entries.values(), key=lambda entry: entry.called_at)
        for entry in by_last_call[:MAX_CALLS_PER_ROUND]:
            greenlets.spawn(self._fetch_demand, entry, list(leaving))
        greenlets.join()
        fresh = self._fresh_demands()
        return merge_demands(fresh) if fresh else None

    def _fresh_demands(self) -> list[Demand]:
        oldest = self._clock.monotonic() - MAX_DEMAND_AGE_S
        return [e.demand for e in self._entries.values() if e.demand and e.answered_at >= oldest]

    def _fetch_demand(self, entry: _KnownEntry, leaving: list[str]) -> None:
        entry.called_at = self._clock.monotonic()
        response = entry.client.call(
            "POST", DEMAND_PATH, {"leaving": leaving}, CALL_TIMEOUT_S, self._headers
        )
        if isinstance(response, Err) or response.ok_value.status != 200:
            return
        demand = read_demand(response.ok_value.body)
        if isinstance(demand, Ok):
            entry.demand = demand.ok_value
            entry.answered_at = self._clock.monotonic()

    def _list_entries(self) -> None:
        now = self._clock.monotonic()
        if now - self._listed_at < PRESENCE_INTERVAL_S and self._entries:
            return
        response = self._client.list(PRESENCE_PREFIX)
        if isinstance(response, Err):
            return
        self._listed_at = now
        presences = [_read_presence(item.value) for item in response.ok_value.items]
        listed = {p.incarnation: p for p in presences if p is not None and p.role == ENTRY_ROLE}
        for incarnation in set(self._entries) - set(listed):
            gevent.spawn(self._entries.pop(incarnation).client.close)
        for incarnation, presence in listed.items():
            if incarnation not in self._entries:
                client = JsonClient(presence.address, CALL_TIMEOUT_S, connections=1)
                self._entries[incarnation] = _KnownEntry(presence, client)


def _read_presence(value: object) -> Presence | None:
    try:
        return cattrs.structure(value, Presence)
    except Exception:
        return None

"""Asks entries for their demand, and tells them which backend servers are being drained."""

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

__all__ = ["DemandSource", "DemandSurvey"]

PRESENCE_INTERVAL_S = 10.0
FORGET_S = 60.0
MAX_CALLS_PER_ROUND = 24
CALLS_AT_ONCE = 8
CALL_TIMEOUT_S = 1.0
PRESENCE_PREFIX = "presence/"
ENTRY_ROLE = "entry"


class DemandSource(Protocol):
    """Where the fleet task has its demand from."""

    def collect(self, leaving: Sequence[str]) -> dict[str, PoolDemand] | None:
        """Tell entries what is leaving and return the demand; None while none is known."""


@attrs.define
class _Known:
    presence: Presence
    client: JsonClient
    demand: Demand | None = None
    heard: float = float("-inf")
    asked: float = float("-inf")


class DemandSurvey:
    """Asks up to `MAX_CALLS_PER_ROUND` entries a round, those first that were asked longest ago.

    Args:
        client: Platform's client, for the presence of entries.
        clock: Source of monotonic time.
        peer_secret: The token that processes show to each other; empty for none.
    """

    def __init__(self, client: ObjectStore, clock: Clock, peer_secret: str = "") -> None:
        self._client = client
        self._clock = clock
        self._headers = bearer_headers(peer_secret)
        self._known: dict[str, _Known] = {}
        self._listed_at = float("-inf")

    @property
    def heard(self) -> int:
        """Entries whose demand counts now."""
        return len(self._fresh())

    def collect(self, leaving: Sequence[str]) -> dict[str, PoolDemand] | None:
        """Tell entries what is leaving and return the demand; None while none is known."""
        self._list_entries()
        calls = GreenletPool(CALLS_AT_ONCE)
        waiting = sorted(self._known.values(), key=lambda known: known.asked)
        for known in waiting[:MAX_CALLS_PER_ROUND]:
            calls.spawn(self._ask, known, list(leaving))
        calls.join()
        fresh = self._fresh()
        return merge_demands(fresh) if fresh else None

    def _fresh(self) -> list[Demand]:
        limit = self._clock.monotonic() - FORGET_S
        return [k.demand for k in self._known.values() if k.demand and k.heard >= limit]

    def _ask(self, known: _Known, leaving: list[str]) -> None:
        known.asked = self._clock.monotonic()
        answer = known.client.call(
            "POST", DEMAND_PATH, {"leaving": leaving}, CALL_TIMEOUT_S, self._headers
        )
        if isinstance(answer, Err) or answer.ok_value.status != 200:
            return
        demand = read_demand(answer.ok_value.body)
        if isinstance(demand, Ok):
            known.demand = demand.ok_value
            known.heard = self._clock.monotonic()

    def _list_entries(self) -> None:
        now = self._clock.monotonic()
        if now - self._listed_at < PRESENCE_INTERVAL_S and self._known:
            return
        answer = self._client.list(PRESENCE_PREFIX)
        if isinstance(answer, Err):
            return
        self._listed_at = now
        found = [_read_presence(item.value) for item in answer.ok_value.items]
        entries = {p.incarnation: p for p in found if p is not None and p.role == ENTRY_ROLE}
        for incarnation in set(self._known) - set(entries):
            gevent.spawn(self._known.pop(incarnation).client.close)
        for incarnation, presence in entries.items():
            if incarnation not in self._known:
                client = JsonClient(presence.address, CALL_TIMEOUT_S, connections=1)
                self._known[incarnation] = _Known(presence, client)


def _read_presence(value: object) -> Presence | None:
    try:
        return cattrs.structure(value, Presence)
    except Exception:
        return None

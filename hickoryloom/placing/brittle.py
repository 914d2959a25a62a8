"""Servers that fall over if they have to turn away too many requests in a second.

This answers the load of a burst, or of fewer servers than usual, on servers that say that they are
brittle. Each instance sees only the requests that it sends itself, and what all of them together
send beyond the room that a server has ends it. So the slots of a server are divided among the
instances, what others leave free is taken up by and by, and a server that has turned a request away
gets less for as long as the instances together may have others turned away. This module performs no
I/O.
"""

from __future__ import annotations

import attrs
import logbook

from hickoryloom.discovery import BackendServer
from hickoryloom.evidence import InstanceRanking, SharedRecords, Topic
from hickoryloom.logs import log_event
from hickoryloom.placing.stated_number import parse_stated_number

__all__ = ["BRITTLE", "BrittleServers", "Room"]

BRITTLE = Topic("server-brittle", 120.0)
"""Evidence that a server says that it is brittle, with the rejections that it bears in a second."""

STURDY = ""
MAX_REJECTIONS_PER_S = 1_000_000.0
MAX_LOGGED_CHARS = 60

USED_REJECTIONS = 0.3
"""Part of the rejections that a server bears which the instances together may cause."""

DECREASE = 0.25
"""Fraction by which an instance sends less to a server that has turned a request away."""

MAX_REGAIN_S = 60.0
"""Longest time in which an instance regains what it gave up after one rejection."""

EXTRA_GROWTH_PER_S = 0.08
"""Part of a server's slots by which an instance grows beyond its share in a second, while reports
show that others leave slots free. All of them fill their shares first when a burst begins."""

EXTRA_SHRINKING = 10.0
"""How much faster it shrinks again while no slots are free."""

MIN_FREE = 0.15
"""Part of the slots that must be free for growth beyond the share."""

MAX_PAUSE_S = 0.3
"""Time without a request beyond the share after which growth begins anew."""

REPORT_MAX_AGE_S = 0.4
"""Age up to which a reported load shows free slots."""

UNKNOWN_INSTANCES = 10
"""Number of instances assumed by one that has started and doesn't know the others yet."""

RESERVED = 0.15
"""Part of an instance's share that less urgent requests leave free while more urgent ones come."""

URGENT_MEMORY_S = 2.0
"""Time after the last request of a more urgent kind for which a part is kept free for the next."""

WAIT_S = 0.2
"""Time after which a slot of a brittle server may be free again."""

log = logbook.Logger("hickoryloom.placing")


@attrs.frozen
class Room:
    """What an instance knows of the room at a server.

    Attributes:
        slots: Slots of the server.
        in_flight: Requests of this instance that it runs.
        free: Slots that its latest report shows free, without what this instance has sent since;
            0 if the report is too old.
        draw: Random number from 0 to 1, a new one for each report.
    """

    slots: int
    in_flight: int
    free: int
    draw: float = 0.0


@attrs.define
class _Extra:
    """The requests that an instance may have at a server beyond its share."""

    value: float
    at: float

    def update(self, room: Room, now: float) -> None:
        """Grow or shrink for the time since the last update."""
        step = EXTRA_GROWTH_PER_S * room.slots * (now - self.at)
        if now - self.at > MAX_PAUSE_S:
            self.value = 0.0
        elif room.free >= max(1.0, MIN_FREE * room.slots):
            self.value = min(float(room.slots), self.value + step)
        else:
            self.value = max(0.0, self.value - EXTRA_SHRINKING * step)
        self.at = now


@attrs.define
class _Ceiling:
    """The most requests that an instance has at a server, after a rejection.

    Attributes:
        value: The ceiling at `at`.
        at: Monotonic time of the rejection, in seconds.
        growth_per_s: Requests by which it grows in a second.
    """

    value: float
    at: float
    growth_per_s: float

    def at_time(self, now: float) -> float:
        """Return the ceiling at a monotonic time, in seconds."""
        return self.value + self.growth_per_s * (now - self.at)


class BrittleServers:
    """Limits what this instance sends to brittle servers.

    Args:
        records: Records shared with the other instances.
        ranking: Divides the slots that are left over, and those of servers with fewer slots than
            instances.
    """

    def __init__(self, records: SharedRecords, ranking: InstanceRanking) -> None:
        self._records = records
        self._ranking = ranking
        self._extras: dict[str, _Extra] = {}
        self._ceilings: dict[str, _Ceiling] = {}
        self._urgent_at: dict[tuple[str, int], float] = {}

    @property
    def servers(self) -> int:
        """Number of starts of servers that are known as brittle, or were lately."""
        return self._records.count(BRITTLE)

    def note(self, server: BackendServer, value: str, sent_at: float, now: float) -> None:
        """Note what a response says of the server.

        Args:
            server: The server.
            value: The rejections in a second that it bears, as stated; empty if it says nothing.
            sent_at: Monotonic time at which the request was sent, in seconds.
            now: Monotonic time in seconds.
        """
        if not value and not self.servers:
            return
        key = _key(server)
        known = self._records.get(BRITTLE, key, now)
        if not value:
            if known is not None and known.value != STURDY and sent_at > known.at:
                self._records.put(BRITTLE, key, STURDY, now)
            return
        borne, sound = parse_stated_number(value, MAX_REJECTIONS_PER_S)
        if not sound:
            log_event(
                log, "brittleness-unsound", backend_server=server.id, value=value[:MAX_LOGGED_CHARS]
            )
        stated = "0" if borne is None else f"{borne:g}"
        if known is None or known.value != stated:
            log_event(log, "server-brittle", backend_server=server.id, rejections_per_s=stated)
        self._records.put(BRITTLE, key, stated, now)

    def note_urgency(self, service: str, urgency: int, now: float) -> None:
        """Note that a request of an urgency comes; 0 is the most urgent."""
        self._urgent_at[service, urgency] = now

    def record_rejected(
        self, server: BackendServer, room: Room, instances: int, now: float
    ) -> None:
        """Record that a server has turned a request away for want of room."""
        borne = self._borne(server, now)
        if borne is None:
            return
        regain_s = min(MAX_REGAIN_S, instances / max(USED_REJECTIONS * borne, 1e-9))
        value = (1.0 - DECREASE) * min(room.in_flight, self._share(server, room.slots, instances))
        growth = max(1.0, DECREASE * room.slots / max(1, instances)) / regain_s
        self._ceilings[_key(server)] = _Ceiling(value, now, growth)
        self._extras.pop(_key(server), None)

    def wait_s(
        self, server: BackendServer, room: Room, urgency: int, instances: int, now: float
    ) -> float:
        """Return the seconds until this instance may send to a server; 0 if it may now."""
        borne = self._borne(server, now)
        if borne is None:
            self._ceilings.pop(_key(server), None)
            self._extras.pop(_key(server), None)
            return 0.0
        share = float(self._share(server, room.slots, instances))
        if self._yields(server.service, urgency, now):
            share -= RESERVED * share
        ceiling = self._ceilings.get(_key(server))
        if ceiling is not None:
            allowed = ceiling.at_time(now)
            if allowed < share:
                # One request at a time is needed to learn when there is room again.
                return 0.0 if room.in_flight < max(allowed, 0.0) else WAIT_S
            if room.in_flight >= share and allowed < room.in_flight + 1:
                return WAIT_S
        if room.in_flight < share:
            return 0.0
        extra = self._extras.setdefault(_key(server), _Extra(0.0, now))
        extra.update(room, now)
        # All instances see the same free slots, so each takes its part of them.
        takes_slot = room.draw * max(1, instances) < room.free
        return 0.0 if takes_slot and room.in_flight + 1 <= share + extra.value else WAIT_S

    def _share(self, server: BackendServer, slots: int, instances: int) -> int:
        """Return the slots of a server that are this instance's; all shares add up to the slots."""
        if not self._ranking.instances:
            instances = max(instances, UNKNOWN_INSTANCES)
        whole, left_over = divmod(slots, max(1, instances))
        rank = self._ranking.rank(_key(server))
        return whole + (rank is not None and rank < left_over)

    def _yields(self, service: str, urgency: int, now: float) -> bool:
        return any(
            name == service and other < urgency and now - at < URGENT_MEMORY_S
            for (name, other), at in self._urgent_at.items()
        )

    def _borne(self, server: BackendServer, now: float) -> float | None:
        """Return the rejections in a second that a brittle server bears; None for another one."""
        record = self._records.get(BRITTLE, _key(server), now)
        if record is None or record.value == STURDY:
            return None
        borne, _ = parse_stated_number(record.value, MAX_REJECTIONS_PER_S)
        return 0.0 if borne is None else borne


def _key(server: BackendServer) -> str:
    return f"{server.id}|{server.started_ms}"

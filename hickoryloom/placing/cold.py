"""Servers that have just started, take few requests in a second, and are slow meanwhile.

This answers the load of a failure domain whose servers all come back cold while requests are at
their peak. A cold server that gets far more requests than it takes crashes, so all instances
together keep to a rate (`shared_rate`). Requests that find only cold servers wait for a turn, the
most urgent first. Once a server is warm, the instances return to it one after another, so that its
empty queue does not attract all of them at once. This module performs no I/O.
"""

from __future__ import annotations

import heapq
import itertools
import math
from collections import OrderedDict
from collections.abc import Iterator, Mapping

import attrs
import logbook

from hickoryloom.catalog import Service
from hickoryloom.discovery import BackendServer
from hickoryloom.evidence import (
    InstanceRanking,
    InstanceStanding,
    Record,
    SharedRecords,
    Topic,
)
from hickoryloom.logs import log_event
from hickoryloom.placing.messages import PlacementRequest
from hickoryloom.placing.shared_rate import RateBound, SharedRate
from hickoryloom.placing.stated_number import parse_stated_number
from hickoryloom.placing.turn_queue import Ticket, TurnQueue

__all__ = ["COLD", "COLD_DELAY_S", "ColdServers"]

WINDOW_S = 1.0
"""Window of the bound: a cold server takes a number of requests in a second."""

COLD_DELAY_S = 0.1
"""Expected delay at a cold server, which is slow; equal to the penalty for a registration that
says so."""

RETURN_S = 1.5
"""Time from the end of a warm-up within which all instances return to the server."""

YIELD_S = 0.01
"""Wait of a request that lets a more urgent one have a turn."""

RESERVED_TURNS = 1
"""Turns of this instance that less urgent requests leave to more urgent ones while these come."""

URGENT_MEMORY_S = 2.0
"""Time after the last more urgent request for which turns are kept free for the next."""

REGISTRATION_AGE_S = 2.0
"""Age up to which a registration may be seen for the first time."""

SUSPENDED_S = 3.0
"""Time between two refreshes, usually a second, after which this process counts as suspended."""

WAKE_S = 1.5
"""Time after a suspension until registrations and evidence show which servers are cold now."""

SAME_END_S = 0.3
"""Difference up to which two statements name the same end of a warm-up, so that each response of a
cold server is not passed on as news."""

MAX_WARM_UP_S = 300.0
"""Longest warm-up that is granted; a faulty value must not keep a server cold for good."""

MAX_KNOWN_STARTS = 4_096
"""Starts of servers that are remembered after they have left: a registration that is lost and
written again is not a start."""

MAX_ESTIMATED_TURNS = 1_000
MS_PER_S = 1_000.0
MAX_LOGGED_CHARS = 60

COLD = Topic("server-cold", 60.0)
"""Evidence of the seconds that a server needs to become warm; 0 if it is warm."""

log = logbook.Logger("hickoryloom.placing")


@attrs.define
class _WarmUp:
    """One warm-up of one start of a server.

    Attributes:
        until: Monotonic time of its end, in seconds.
        observed_at: Monotonic time of the observation that names it, in seconds.
        is_over: Whether its end has been logged.
    """

    until: float
    observed_at: float
    is_over: bool = False


@attrs.frozen
class _Known:
    """The last registration of a server that was applied."""

    started_ms: int
    warm_up_s: float


class ColdServers:
    """A condition that paces requests to cold servers.

    Args:
        bound_factor: Factor on the rate of a cold server that it bears.
        bound_tolerance: Requests that it bears in each second in addition.
        records: Records shared with the other instances.
        ranking: Decides which instances send to a cold server.
        standing: Tells since when the instances know each other.
    """

    def __init__(
        self,
        bound_factor: float,
        bound_tolerance: float,
        records: SharedRecords,
        ranking: InstanceRanking,
        standing: InstanceStanding,
    ) -> None:
        self._records = records
        bound = RateBound(WINDOW_S, bound_factor, bound_tolerance)
        self._shares = SharedRate(bound, ranking, standing=standing)
        self._services: dict[str, Service] = {}
        self._listed: set[str] = set()
        self._servers: tuple[BackendServer, ...] = ()
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._warm_ups: dict[str, _WarmUp] = {}
        self._queue = TurnQueue()
        self._urgent_at: dict[tuple[str, int], float] = {}
        self._ready: dict[str, tuple[float, int, int]] = {}
        self._refreshed_at: float | None = None
        self._blocked_until = float("-inf")
        self._is_blocked = False
        self._turns = 0
        self._refused = 0
        records.subscribe(COLD, self._on_record)

    @property
    def is_active(self) -> bool:
        """Whether any server is cold or was lately, or this instance can not know which are."""
        return bool(self._warm_ups) or self._is_blocked

    @property
    def servers(self) -> int:
        """Number of cold servers."""
        return sum(not warm_up.is_over for warm_up in self._warm_ups.values())

    @property
    def turns(self) -> int:
        """Requests of this instance that were sent to servers that are cold, or were lately."""
        return self._turns

    @property
    def waiting(self) -> int:
        """Requests that wait for a turn."""
        return len(self._queue)

    @property
    def refused(self) -> int:
        """Requests refused because their turn would have come too late."""
        return self._refused

    def set_services(self, services: Mapping[str, Service], now: float) -> None:
        """Apply the services of the configuration in force."""
        bound = {name: service for name, service in services.items() if service.warm_up_per_s > 0}
        changed = [
            name
            for name, service in bound.items()
            if name in self._services
            and self._services[name].warm_up_per_s != service.warm_up_per_s
        ]
        self._services = bound
        self._listed &= set(bound)
        self.set_servers(self._servers, now)
        for server in self._servers:
            if server.service in changed and _key(server) in self._warm_ups:
                rate = bound[server.service].warm_up_per_s
                self._shares.begin_after_window(_key(server), rate, now)

    def set_servers(self, servers: tuple[BackendServer, ...], now: float) -> None:
        """Apply the list of live backend servers; starts seen for the first time are cold."""
        self._servers = servers
        for server in servers:
            if server.service in self._services:
                self._apply_registration(server, now)
        self._listed = set(self._services)
        self._end_warm_ups(now)

    def note(self, server: BackendServer, value: str, sent_at: float, now: float) -> None:
        """Note the warm-up that a response states.

        Args:
            server: The server.
            value: Milliseconds until it is warm, as stated; empty if the response states none.
            sent_at: Monotonic time at which the request was sent, in seconds.
            now: Monotonic time in seconds.
        """
        if not value or server.service not in self._services:
            return
        left_ms, sound = parse_stated_number(value, MAX_WARM_UP_S * MS_PER_S)
        if not sound:
            log_event(
                log, "warm-up-unsound", backend_server=server.id, value=value[:MAX_LOGGED_CHARS]
            )
        if left_ms is None:
            return
        key, left_s = _key(server), left_ms / MS_PER_S
        known = self._warm_ups.get(key)
        if not left_s:
            # An earlier request's response may have been written before the warm-up began.
            if known is not None and now < known.until and sent_at > known.observed_at:
                self._records.put(COLD, key, "0", now)
            return
        if known is None or abs(known.until - now - left_s) > SAME_END_S:
            self._records.put(COLD, key, f"{left_s:.3f}", now)

    def on_evacuation_ended(self, failure_domain: str, at: float) -> None:
        """Treat the servers of a failure domain as cold, until their registrations change.

        Args:
            failure_domain: The failure domain.
            at: Monotonic time at which its evacuation ended, in seconds.
        """
        for server in self._servers:
            service = self._services.get(server.service)
            if service is None or server.failure_domain != failure_domain:
                continue
            until = at + max(service.warm_up_s, server.warm_up_s)
            warm_up = self._warm_ups.get(_key(server))
            if warm_up is not None:
                until = max(until, warm_up.until)
            self._begin(server, until, at, "evacuation-ended", had_requests=False)

    def record_connection_refused(self, server: BackendServer, now: float) -> None:
        """Treat a server as cold at whose address no process listens: its next process will be."""
        service = self._services.get(server.service)
        if service is None:
            return
        until = now + service.warm_up_s + REGISTRATION_AGE_S
        warm_up = self._warm_ups.get(_key(server))
        if warm_up is not None:
            until = max(until, warm_up.until)
        self._begin(server, until, now, "connection-refused", had_requests=True)

    def is_cold(self, server: BackendServer, now: float) -> bool:
        """Return whether a server is cold."""
        warm_up = self._warm_ups.get(_key(server))
        return warm_up is not None and now < warm_up.until and server.service in self._services

    def wait_s(self, server: BackendServer, request: PlacementRequest, now: float) -> float:
        """Return the seconds until this instance may send a request to a server; 0 for now."""
        if now < self._blocked_until and server.service in self._services:
            return self._blocked_until - now
        if self._returns_in_s(server, now) <= 0:
            return 0.0
        self._urgent_at[request.service, request.urgency] = now
        wait_s = self._turn_wait_s(server, now)
        if not wait_s and self._yields(request, now):
            return YIELD_S
        return wait_s

    def delay_s(self, server: BackendServer, request: PlacementRequest, now: float) -> float:
        """Return the expected delay of a request at a server, besides what the placer expects."""
        if server.warming_up:
            return 0.0
        return COLD_DELAY_S * self.is_cold(server, now)

    def record_sent(self, server: BackendServer, request: PlacementRequest, now: float) -> None:
        """Record that this instance sends a request to a server."""
        key, service = _key(server), self._services.get(server.service)
        if service is not None and key in self._warm_ups:
            self._shares.record_sent(key, service.warm_up_per_s, now)
            self._turns += 1

    def join(self, request: PlacementRequest, arrived: float) -> Ticket:
        """Have a request wait for a turn, which it gets by urgency and arrival."""
        return self._queue.join(request.service, request.urgency, arrived)

    def leave(self, ticket: Ticket) -> None:
        """End the wait of a request; idempotent."""
        self._queue.leave(ticket)

    def must_yield(
        self, server: BackendServer, request: PlacementRequest, ticket: Ticket | None, now: float
    ) -> bool:
        """Return whether others get a turn at a server before a request.

        Args:
            server: The server that was selected for it.
            request: The request.
            ticket: Its ticket; None if it has not waited.
            now: Monotonic time in seconds.
        """
        if not self._queue or self._returns_in_s(server, now) <= 0:
            return False
        if ticket is None:
            return self._queue.has_as_urgent(request.service, request.urgency)
        return self._queue.ahead_of(ticket) > 0

    def next_turn_s(
        self,
        request: PlacementRequest,
        ticket: Ticket,
        exclude: frozenset[str],
        now: float,
    ) -> float | None:
        """Return the estimated seconds until a waiting request gets its turn.

        Args:
            request: The request.
            ticket: Its ticket.
            exclude: Ids of backend servers that must not be selected.
            now: Monotonic time in seconds.

        Returns:
            None if no server that it could be sent to is cold.
        """
        returns_s, turns = math.inf, []
        for server in self._servers:
            if server.service != request.service or server.leaving or server.id in exclude:
                continue
            if request.software not in ("", server.software):
                continue
            server_returns_s = self._returns_in_s(server, now)
            if server_returns_s > 0:
                returns_s = min(returns_s, server_returns_s)
                turns.append(self._turn_times(server, now))
        if not turns:
            return None
        place = min(self._queue.ahead_of(ticket), MAX_ESTIMATED_TURNS)
        at_place = next(itertools.islice(heapq.merge(*turns), place, None), math.inf)
        return min(returns_s, at_place)

    def record_refused(self) -> None:
        """Count a request that is refused because its turn would have come too late."""
        self._refused += 1

    def refresh(self, now: float) -> None:
        """Apply the time; call it every second.

        After a suspension of this process nothing is sent until it can know which servers are cold.
        """
        last, self._refreshed_at = self._refreshed_at, now
        if last is not None and now - last > SUSPENDED_S and self._services:
            self._blocked_until = now + WAKE_S
            log_event(log, "cold-servers-unknown", suspended_s=round(now - last, 3))
        self._is_blocked = now < self._blocked_until
        self._end_warm_ups(now)

    def _end_warm_ups(self, now: float) -> None:
        """Log warm-ups that have ended, and forget those to which all instances have returned."""
        over = {key: item for key, item in self._warm_ups.items() if now >= item.until}
        for key, warm_up in over.items():
            if not warm_up.is_over:
                warm_up.is_over = True
                log_event(log, "server-warm", backend_server=key.partition("|")[0])
            if now >= warm_up.until + RETURN_S:
                del self._warm_ups[key]
                self._shares.forget(key)

    def _apply_registration(self, server: BackendServer, now: float) -> None:
        known = self._known.get(server.id)
        self._known[server.id] = _Known(server.started_ms, server.warm_up_s)
        self._known.move_to_end(server.id)
        if len(self._known) > MAX_KNOWN_STARTS:
            self._known.popitem(last=False)
        if known is None or known.started_ms != server.started_ms:
            # Servers that this process finds at its start have served others.
            is_start = server.service in self._listed
            default_s = self._services[server.service].warm_up_s if is_start else 0.0
            seconds = server.warm_up_s or default_s
            source = "started" if is_start else "registered"
            until = now + seconds
            # Evidence may arrive before the registration.
            record = self._records.get(COLD, _key(server), now)
            left_s = parse_stated_number(record.value, MAX_WARM_UP_S)[0] if record else None
            if record is not None and left_s and record.at + left_s > until:
                until, source = record.at + left_s, "response"
            if until > now:
                self._begin(server, until, now, source, had_requests=False)
            return
        if known.warm_up_s == server.warm_up_s:
            return
        warm_up = self._warm_ups.get(_key(server))
        written_at = now - REGISTRATION_AGE_S
        if server.warm_up_s:
            until = now + min(server.warm_up_s, MAX_WARM_UP_S)
            if warm_up is not None and warm_up.observed_at > written_at:
                until = max(until, warm_up.until)
            self._begin(server, until, now, "registered", had_requests=True)
        elif warm_up is not None and warm_up.observed_at <= written_at:
            warm_up.until = min(warm_up.until, now)

    def _begin(
        self, server: BackendServer, until: float, at: float, source: str, had_requests: bool
    ) -> None:
        key, rate = _key(server), self._services[server.service].warm_up_per_s
        until = min(until, at + MAX_WARM_UP_S)
        known = self._warm_ups.get(key)
        if known is not None and at < known.until:
            known.until, known.observed_at = until, max(at, known.observed_at)
            return
        self._warm_ups[key] = _WarmUp(until, at)
        if had_requests or known is not None:
            self._shares.begin_after_window(key, rate, at)
        else:
            self._shares.begin_in_turn(key, rate, at)
        log_event(
            log,
            "server-cold",
            backend_server=server.id,
            service=server.service,
            seconds=round(until - at, 3),
            source=source,
        )

    def _on_record(self, record: Record) -> None:
        left_s, _ = parse_stated_number(record.value, MAX_WARM_UP_S)
        if left_s is None:
            return
        known = self._warm_ups.get(record.key)
        if known is not None and record.at < known.observed_at:
            return
        if known is not None and (not left_s or record.at < known.until):
            known.until = record.at + left_s if left_s else min(known.until, record.at)
            known.observed_at = record.at
            return
        server = next((server for server in self._servers if _key(server) == record.key), None)
        if left_s and server is not None and server.service in self._services:
            until = record.at + left_s
            self._begin(server, until, record.at, "response", had_requests=True)

    def _yields(self, request: PlacementRequest, now: float) -> bool:
        """Return whether a request leaves a turn that is ready to more urgent ones."""
        if self._queue.has_more_urgent(request.service, request.urgency):
            return True
        return self._ready_turns(request.service, now) <= RESERVED_TURNS and any(
            name == request.service and urgency < request.urgency and now - at < URGENT_MEMORY_S
            for (name, urgency), at in self._urgent_at.items()
        )

    def _ready_turns(self, service: str, now: float) -> int:
        """Return the number of servers at which this instance has a turn now."""
        # All servers are considered for one request at the same time.
        computed = self._ready.get(service)
        if computed is not None and computed[:2] == (now, self._turns):
            return computed[2]
        ready = sum(
            self._returns_in_s(server, now) > 0 and not self._turn_wait_s(server, now)
            for server in self._servers
            if server.service == service
        )
        self._ready[service] = (now, self._turns, ready)
        return ready

    def _turn_wait_s(self, server: BackendServer, now: float) -> float:
        """Return the seconds until this instance's next turn at a server; 0 for now."""
        returns_s = self._returns_in_s(server, now)
        if returns_s <= 0:
            return 0.0
        key, rate = _key(server), self._services[server.service].warm_up_per_s
        behind = self._shares.places_behind(key, rate)
        if behind is None or behind > 0:
            return returns_s
        return min(returns_s, self._shares.wait_s(key, now))

    def _turn_times(self, server: BackendServer, now: float) -> Iterator[float]:
        """Yield the seconds until each of this instance's turns at a server."""
        wait_s = self._turn_wait_s(server, now)
        interval_s = self._shares.interval_s(self._services[server.service].warm_up_per_s)
        while wait_s < math.inf:
            yield wait_s
            wait_s += interval_s

    def _returns_in_s(self, server: BackendServer, now: float) -> float:
        """Return the seconds until this instance's requests to a server need no turns."""
        warm_up = self._warm_ups.get(_key(server))
        if warm_up is None or server.service not in self._services:
            return 0.0
        return warm_up.until + RETURN_S * self._shares.position(_key(server)) - now


def _key(server: BackendServer) -> str:
    return f"{server.id}|{server.started_ms}"

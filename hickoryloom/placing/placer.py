"""Selects the backend server with the least expected delay, without I/O.

Model engines serve long prompts that share a large part of their tokens, and computing a shared
part again costs more than a short wait. A prompt is preferably sent to the backend server that
rendezvous hashing selects for its session, which is the same at every instance. It spills over to
another one only if the expected delay there, including prefill, is shorter. Other services handle
short requests on few slots. Their requests go to the least occupied backend server, preferably in
the instance's own failure domain.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping

from hickoryloom.discovery import BackendServer
from hickoryloom.evidence import InstanceRanking, SharedRecords
from hickoryloom.placing.brittle import BRITTLE, BrittleServers
from hickoryloom.placing.conditions import ServerConditions
from hickoryloom.placing.drawing import MAX_EVALUATED, MIN_DRAWN, ServerGroup
from hickoryloom.placing.engine_choice import EngineChooser, is_short
from hickoryloom.placing.engine_delay import SLOW_PENALTY_S
from hickoryloom.placing.locality import DomainChoice
from hickoryloom.placing.memory import EngineMemory
from hickoryloom.placing.messages import Placement, PlacementOutcome, PlacementRequest, ReportedLoad
from hickoryloom.placing.named_limit import LIMITS, NamedLimits
from hickoryloom.placing.plain_choice import DEFAULT_WORK_S, choose_plain, choose_plain_by_side
from hickoryloom.placing.prefill import MIN_OBSERVED_TOKENS, PrefillRate
from hickoryloom.placing.requested_pause import RequestedPause
from hickoryloom.placing.shared_reports import SharedReport, SharedReports
from hickoryloom.placing.shared_speeds import LearnedSpeed, most_certain
from hickoryloom.placing.short_prompts import ShortPromptEngines
from hickoryloom.placing.speed import FIRST_TOKEN_NOISE, UsualTimes
from hickoryloom.placing.tracked import TrackedServer

__all__ = ["Placer"]

UNKNOWN_START = 0

SLOW_SPEED = 0.7
"""Speed below which a server is counted as slow in the metrics."""

DRAW_FACTORS = (1, 8)
"""Factors on the number of servers that are drawn from many, until enough of them may be used.
After that, all of them are examined, which takes 3,000 servers some ms."""

WORK_SMOOTHING = 0.1
"""Weight of one response in the mean time of the work of a request."""

MAX_SLOWNESS = 4.0
"""Largest factor of a timeout at a slow server: beyond it, a request is better sent elsewhere."""

MIN_MEAN_SPEED = 0.25
"""Lowest mean speed that sizing counts with, so that wrong reports order four times as many
servers at most."""


class Placer:
    """Tracks the load of the backend servers as seen by one instance, and selects among them.

    Args:
        failure_domain: Failure domain of the instance.
        rng: Source of random numbers for tie-breaking and jitter.
        limits: Limits that backend servers name; None for those that this instance alone sees.
        brittle: Brittle backend servers; None for those that this instance alone sees.
        conditions: What else limits or delays requests to some servers; None for nothing.
        spreads_prompts: Whether prompts are spread over engines from the first one on; otherwise
            from the first load report with four figures on.
        weighs_failure_domains: Whether requests of all services leave the failure domain only where
            that pays; otherwise only those of services whose servers report four figures.

    Attributes:
        domains: Decides which requests leave the failure domain.
        reports: Load reports that instances share.
    """

    def __init__(
        self,
        failure_domain: str,
        rng: random.Random,
        limits: NamedLimits | None = None,
        brittle: BrittleServers | None = None,
        conditions: ServerConditions | None = None,
        spreads_prompts: bool = False,
        weighs_failure_domains: bool = False,
    ) -> None:
        self._failure_domain = failure_domain
        self._rng = rng
        self._tracked: dict[str, TrackedServer] = {}
        self._by_service: dict[str, list[TrackedServer]] = {}
        self._groups: dict[str, ServerGroup] = {}
        self._rates: dict[str, PrefillRate] = {}
        self._instances = 1
        self._limits = limits or _build_own_limits()
        self._brittle = brittle or _build_own_brittle_servers()
        self._conditions = conditions or ServerConditions()
        self.domains = DomainChoice(failure_domain, rng, weighs_failure_domains)
        self._engines = EngineChooser(
            self._limits, self._conditions, rng, self._rate, self.domains, spreads_prompts
        )
        self._work_times: dict[str, float] = {}
        self._usual_times = UsualTimes()
        self._pauses: dict[tuple[str, int], RequestedPause] = {}
        self.reports = SharedReports()

    @property
    def in_flight(self) -> int:
        """Number of requests of this instance at backend servers."""
        return sum(tracked.in_flight for tracked in self._tracked.values())

    @property
    def memory(self) -> EngineMemory:
        """Room in the memory of engines."""
        return self._engines.memory

    @property
    def services(self) -> list[str]:
        """Names of the services that have registered servers."""
        return list(self._by_service)

    def in_flight_at(self, id: str) -> int:
        """Return the number of requests of this instance at a backend server."""
        tracked = self._tracked.get(id)
        return 0 if tracked is None else tracked.in_flight

    def occupancy(self, id: str, now: float) -> float:
        """Return the running and queued requests at a server as a fraction of its slots."""
        tracked = self._tracked.get(id)
        return 0.0 if tracked is None else tracked.occupancy(now)

    def usable_addresses(self, service: str) -> dict[str, str]:
        """Return the addresses of a service's servers that are not leaving, by id."""
        servers = [tracked.server for tracked in self._by_service.get(service, ())]
        return {server.id: server.address for server in servers if not server.leaving}

    def set_servers(self, servers: Iterable[BackendServer]) -> None:
        """Replace the list of live backend servers.

        The known cache content of a backend server is discarded if it has restarted.
        """
        current: dict[str, TrackedServer] = {}
        by_service: dict[str, list[TrackedServer]] = {}
        for server in servers:
            tracked = self._tracked.get(server.id) or TrackedServer(server)
            if tracked.server.started_ms != server.started_ms:
                tracked.on_restart()
                self.reports.forget([server.id])
            tracked.server = server
            current[server.id] = tracked
            by_service.setdefault(server.service, []).append(tracked)
        self.reports.forget([id for id in self._tracked if id not in current])
        self._tracked = current
        self._by_service = by_service
        self._groups = {}
        self._conditions.set_servers(tuple(tracked.server for tracked in current.values()))

    def set_instances(self, instances: int) -> None:
        """Set the number of instances that send requests to the same backend servers."""
        self._instances = instances
        self._engines.set_instances(instances)

    def slow_servers(self, now: float) -> int:
        """Return the number of servers that are far slower than usual, as they report."""
        return sum(
            tracked.relative_speed(now) < SLOW_SPEED
            for tracked in self._tracked.values()
            if tracked.speed.reports
        )

    def slowness(self, id: str, now: float) -> float:
        """Return how many times as long as usual a server may take, for timeouts; at least 1."""
        tracked = self._tracked.get(id)
        if tracked is None or not tracked.speed.reports:
            return 1.0
        return min(max(1.0, 1.0 / tracked.relative_speed(now)), MAX_SLOWNESS)

    def mean_speed(self, service: str) -> float:
        """Return the mean speed of a service's servers over the latest responses, for sizing.

        At most 1, so that no server that claims to be fast makes the service smaller.
        """
        speeds = [
            tracked.speed.steady_report
            for tracked in self._by_service.get(service, ())
            if not tracked.server.leaving
        ]
        mean = sum(speeds) / len(speeds) if speeds else 1.0
        return min(max(mean, MIN_MEAN_SPEED), 1.0)

    def short_prompt_load(self, now: float) -> dict[str, float]:
        """Return the number of engines that this instance's short requests fill, by service."""
        loads = {}
        for service, engines in self._engines.known_short_prompts().items():
            servers = self._by_service.get(service)
            if servers:
                load = engines.load(servers[0].server.slots, now, len(servers))
                loads[service] = round(load, 4)
        return loads

    def set_mean_short_prompt_load(self, loads: Mapping[str, float], now: float) -> None:
        """Set the mean of `short_prompt_load` over several instances."""
        for service, load in loads.items():
            self._short_prompt_engines(service).set_shared_load(load, now)

    def session_rates(self, now: float) -> dict[str, float]:
        """Return the rates of this instance's most frequent sessions, by service and session."""
        return self._engines.session_rates(now)

    def set_mean_session_rates(self, rates: Mapping[str, float], now: float) -> None:
        """Set the mean of `session_rates` over several instances."""
        self._engines.set_mean_session_rates(rates, now)

    def shares_reports(self) -> bool:
        """Return whether load reports of any service are shared with other instances."""
        return any(self._shares_reports_of(service) for service in self._by_service)

    def apply_shared_reports(
        self, source: str, reports: Iterable[SharedReport], now: float
    ) -> None:
        """Apply load reports that another instance passes on.

        Args:
            source: Key of the other instance.
            reports: The reports.
            now: Monotonic time in seconds at which their ages are counted.
        """
        for report in self.reports.record(source, reports, self._shares_reports_of_server, now):
            tracked = self._tracked[report.id]
            slots, percent = tracked.server.slots, report.slowdown_percent
            stated = None if percent is None else f"{percent:.0f}"
            load = ReportedLoad(min(report.running, slots), report.waiting, slots, stated)
            tracked.on_shared_report(load, now - report.age_s)

    def learned_speeds(self) -> list[LearnedSpeed]:
        """Return the speeds that this instance has learned, for others; the most certain ones."""
        return most_certain(
            LearnedSpeed(id, *tracked.speed.learned)
            for id, tracked in self._tracked.items()
            if tracked.speed.reports
            and tracked.speed.learned[1]
            and self._engines.homes(tracked.server.service).spreads
        )

    def set_mean_speeds(self, speeds: Iterable[LearnedSpeed]) -> None:
        """Set the means of `learned_speeds` over several instances."""
        for learned in speeds:
            tracked = self._tracked.get(learned.id)
            if tracked is not None and self._engines.homes(tracked.server.service).spreads:
                tracked.speed.set_shared(learned.speed, learned.responses)

    def _shares_reports_of_server(self, id: str) -> bool:
        tracked = self._tracked.get(id)
        return tracked is not None and self._shares_reports_of(tracked.server.service)

    def _shares_reports_of(self, service: str) -> bool:
        """Return whether load reports of a service are shared: those of engines that spread."""
        is_for_prompts = service in self._engines.known_short_prompts()
        return is_for_prompts and self._engines.homes(service).spreads

    def choose(
        self, request: PlacementRequest, exclude: frozenset[str], now: float
    ) -> Placement | None:
        """Return the best backend server for a request, or None if there is none.

        A backend server that asked for a pause gets nothing until its end, and one that names a
        limit gets nothing beyond this instance's share. Others that are paused
        after failures are considered only if all usable ones are paused.

        Args:
            request: The request.
            exclude: Ids of backend servers that must not be selected.
            now: Monotonic time in seconds.
        """
        if self.memory.is_too_large(request):
            return None
        servers = self._by_service.get(request.service, [])
        if self._brittle.servers:
            self._brittle.note_urgency(request.service, request.urgency, now)
        drawn = len(servers) > MAX_EVALUATED
        if drawn:
            candidates = self._draw_candidates(servers, request, exclude, now)
        else:
            candidates = self._candidates(servers, request, exclude, now)
        if not candidates:
            return None
        if request.prompt_tokens:
            return self._engines.choose(request, candidates, now, drawn)

        is_limited = self._conditions.is_active

        def penalty(tracked: TrackedServer) -> float:
            if not is_limited:
                return 0.0
            return self._conditions.delay_s(tracked.server, request, now) / SLOW_PENALTY_S

        if self.domains.applies_to(request.service):
            work_s = self._work_times.get(request.service, DEFAULT_WORK_S)
            best = choose_plain_by_side(
                candidates, self.domains, self._rng, penalty, work_s, request, now
            )
            return Placement(best.server, "least-loaded", 0.0, weighed_at=now)
        best = choose_plain(candidates, self._failure_domain, self._rng, penalty, now)
        return Placement(best.server, "least-loaded", 0.0)

    def _draw_candidates(
        self,
        servers: list[TrackedServer],
        request: PlacementRequest,
        exclude: frozenset[str],
        now: float,
    ) -> list[TrackedServer]:
        """Return some of the candidates among many servers."""
        for factor in DRAW_FACTORS:
            candidates = self._candidates(
                self._draw(servers, request, factor, now), request, exclude, now
            )
            unpaused = sum(tracked.paused_until <= now for tracked in candidates)
            if unpaused >= MIN_DRAWN:
                return candidates
        candidates = self._candidates(servers, request, exclude, now)
        if len(candidates) <= MAX_EVALUATED:
            return candidates
        return self._rng.sample(candidates, MAX_EVALUATED)

    def _draw(
        self, servers: list[TrackedServer], request: PlacementRequest, factor: int, now: float
    ) -> list[TrackedServer]:
        if request.prompt_tokens:
            return self._engines.draw(request, servers, self._failure_domain, factor, now)
        group = self._groups.get(request.service)
        if group is None or group.servers is not servers:
            group = ServerGroup.split(servers, self._failure_domain)
            self._groups[request.service] = group
        return group.draw(self._rng, factor)

    def _candidates(
        self,
        servers: Iterable[TrackedServer],
        request: PlacementRequest,
        exclude: frozenset[str],
        now: float,
    ) -> list[TrackedServer]:
        """Return the servers that may get a request."""
        usable = [
            tracked
            for tracked in servers
            if not tracked.server.leaving
            and tracked.server.id not in exclude
            and request.software in ("", tracked.server.software)
        ]
        if self._brittle.servers:
            usable = [
                tracked
                for tracked in usable
                if not self._room_wait_s(tracked, request.urgency, now)
            ]
        if self._conditions.is_active:
            usable = [
                tracked
                for tracked in usable
                if not self._conditions.wait_s(tracked.server, request, now)
            ]
        if self._pauses or self._limits.servers:
            usable = [tracked for tracked in usable if not self.rest_s(tracked.server, now)]
            usable = [tracked for tracked in usable if self._is_allowed(tracked, now)] or usable
        unpaused = [tracked for tracked in usable if tracked.paused_until <= now]
        return unpaused or usable

    def request_pause(self, server: BackendServer, seconds: float, now: float) -> None:
        """Send a backend server no request for some seconds, as it asked for."""
        self._pauses = {key: pause for key, pause in self._pauses.items() if not pause.is_over(now)}
        key = (server.id, server.started_ms)
        self._pauses.setdefault(key, RequestedPause(now)).extend(now + seconds)

    def note_brittle(self, server: BackendServer, value: str, sent_at: float, now: float) -> None:
        """Note how many rejections in a second a server bears, as its response says.

        Args:
            server: The backend server.
            value: The number as stated; empty if the server is not brittle.
            sent_at: Monotonic time at which the request was sent, in seconds.
            now: Monotonic time in seconds.
        """
        self._brittle.note(server, value, sent_at, now)

    def record_rejected(self, server: BackendServer, now: float) -> None:
        """Record that a server has turned a request away."""
        tracked = self._tracked.get(server.id)
        if tracked is not None and self._brittle.servers:
            room = tracked.room(now)
            self._brittle.record_rejected(server, room, self._instances, now)

    def note_limit(self, server: BackendServer, limit: str, sent_at: float, now: float) -> bool:
        """Note the limit that a response names.

        Args:
            server: The backend server.
            limit: The limit as stated; empty for none.
            sent_at: Monotonic time at which the request was sent, in seconds.
            now: Monotonic time in seconds.

        Returns:
            Whether it differs from that of the response before.
        """
        self._limits.note(server, limit, sent_at, now)
        tracked = self._tracked.get(server.id)
        if tracked is None or tracked.named_limit == limit:
            return False
        tracked.named_limit = limit
        return True

    def rest_s(self, server: BackendServer, now: float) -> float:
        """Return the seconds for which a backend server must get no request; 0 if it takes some."""
        pause = self._pause_of(server)
        limited_s = self._limits.rest_s(server, now)
        return limited_s if pause is None else max(limited_s, pause.rest_s(now))

    def shortest_rest_s(self, request: PlacementRequest, now: float) -> float:
        """Return the seconds until the first of the resting servers takes a request."""
        rests = [
            max(
                self.rest_s(tracked.server, now),
                self._room_wait_s(tracked, request.urgency, now) if self._brittle.servers else 0.0,
                self._conditions.wait_s(tracked.server, request, now),
            )
            for tracked in self._by_service.get(request.service, ())
            if not tracked.server.leaving
        ]
        return min((rest_s for rest_s in rests if rest_s), default=0.0)

    def takes(self, server: BackendServer, request: PlacementRequest, now: float) -> bool:
        """Return whether this instance may send a request to a server now."""
        if self.rest_s(server, now) > 0 or self._conditions.wait_s(server, request, now) > 0:
            return False
        tracked = self._tracked.get(server.id)
        if tracked is None or not self._brittle.servers:
            return True
        return not self._room_wait_s(tracked, request.urgency, now)

    def _room_wait_s(self, tracked: TrackedServer, urgency: int, now: float) -> float:
        room = tracked.room(now)
        return self._brittle.wait_s(tracked.server, room, urgency, self._instances, now)

    def _is_allowed(self, tracked: TrackedServer, now: float) -> bool:
        pause = self._pause_of(tracked.server)
        return pause is None or pause.allows(tracked.in_flight, now)

    def _pause_of(self, server: BackendServer) -> RequestedPause | None:
        pause = self._pauses.get((server.id, server.started_ms))
        # The server may have asked before its start was known.
        return pause or self._pauses.get((server.id, UNKNOWN_START))

    def prefill_s(self, service: str, tokens: float) -> float:
        """Return the estimated prefill time of `tokens` at an engine of a service, in seconds."""
        return tokens / self._rate(service).tokens_per_s

    def start_attempt(self, placement: Placement, request: PlacementRequest, now: float) -> None:
        """Record that a request has been sent to the selected backend server."""
        if request.prompt_tokens:
            prefill_s = self._rate(request.service).seconds(placement.prefill_tokens)
            engines = self._short_prompt_engines(request.service)
            engines.started(is_short(request), prefill_s, now)
            self._engines.homes(request.service).record_sent(request, now)
        self.domains.record_sent(placement.server.failure_domain)
        self._limits.record_sent(placement.server, now)
        self._conditions.record_sent(placement.server, request, now)
        tracked = self._tracked.get(placement.server.id)
        if tracked is not None:
            tracked.on_start(request, placement.prefill_tokens, now)

    def record_first_token(self, placement: Placement, took_s: float) -> None:
        """Record the first token of a response, which ends the prefill.

        Args:
            placement: The placement of the request.
            took_s: Time in seconds since the request was sent.
        """
        server = placement.server
        if placement.weighed_at is not None:
            answered_at = placement.weighed_at + took_s
            self.domains.record_served(server.service, server.failure_domain, answered_at)
        tracked = self._tracked.get(placement.server.id)
        if tracked is None:
            return
        tracked.on_first_token(placement.prefill_tokens)
        if tracked.unread_tokens == 0:
            tokens = placement.prefill_tokens
            if tracked.speed.reports and tokens >= MIN_OBSERVED_TOKENS:
                self._learn_speed(tracked, took_s * MIN_OBSERVED_TOKENS / tokens, FIRST_TOKEN_NOISE)
            self._rate(placement.server.service).observe(tokens, tracked.speed.usual_time_s(took_s))

    def record_response(self, placement: Placement, took_s: float) -> None:
        """Record a complete response of a server that is not a model engine.

        Args:
            placement: The placement of the request.
            took_s: Time in seconds since the request was sent.
        """
        tracked = self._tracked.get(placement.server.id)
        if tracked is None:
            return
        if self.domains.applies_to(tracked.server.service) and tracked.has_free_slots:
            self._learn_work(tracked, took_s)
        if tracked.speed.reports and tracked.has_free_slots:
            self._learn_speed(tracked, took_s)

    def _learn_work(self, tracked: TrackedServer, took_s: float) -> None:
        """Learn how long the work of a request of a service takes at a server of usual speed."""
        service = tracked.server.service
        work_s = tracked.speed.usual_time_s(took_s)
        known_s = self._work_times.get(service, work_s)
        self._work_times[service] = known_s + WORK_SMOOTHING * (work_s - known_s)

    def _learn_speed(self, tracked: TrackedServer, seconds: float, noise: float = 0.0) -> None:
        """Compare the time of some work at a server with the usual time of its service."""
        if tracked.speed.ignores_response():
            return
        service = tracked.server.service
        tracked.speed.on_response(self._usual_times.log_ratio(service, seconds), noise)
        self._usual_times.observe(service, tracked.speed.usual_time_s(seconds))

    def finish_attempt(
        self,
        placement: Placement,
        request: PlacementRequest,
        outcome: PlacementOutcome,
        prompt_read: bool,
        now: float,
    ) -> None:
        """Record the end of an attempt.

        Args:
            placement: The placement of the request.
            request: The request.
            outcome: Outcome of the attempt.
            prompt_read: Whether `record_first_token` was called for the attempt.
            now: Monotonic time in seconds.
        """
        if request.prompt_tokens:
            self._short_prompt_engines(request.service).finished(is_short(request), now)
        elif outcome is PlacementOutcome.DONE and placement.weighed_at is not None:
            server = placement.server
            self.domains.record_served(server.service, server.failure_domain, now)
        tracked = self._tracked.get(placement.server.id)
        if tracked is None:
            return
        if not prompt_read:
            tracked.on_first_token(placement.prefill_tokens)
        tracked.on_end(request, outcome, now)

    def apply_load_report(self, id: str, load: ReportedLoad, now: float) -> None:
        """Record the load reported by a backend server."""
        tracked = self._tracked.get(id)
        if tracked is not None:
            tracked.on_report(load, now, self._rng.random())
            self._engines.homes(tracked.server.service).on_report(load)
            if self._shares_reports_of(tracked.server.service):
                self.reports.record_own(id, load, now)
            if load.slowdown_percent is not None:
                self.domains.note_reporting(tracked.server.service)

    def note_unreadable_load(self, id: str, value: str) -> None:
        """Note that a backend server reported a load of which no figure can be used."""
        tracked = self._tracked.get(id)
        if tracked is not None:
            tracked.speed.on_unreadable(value)

    def _short_prompt_engines(self, service: str) -> ShortPromptEngines:
        return self._engines.short_prompts(service)

    def _rate(self, service: str) -> PrefillRate:
        return self._rates.setdefault(service, PrefillRate())


def _build_own_limits() -> NamedLimits:
    """Return limits that are shared with no other instance."""
    ranking = InstanceRanking("")
    ranking.set_others(())
    return NamedLimits(SharedRecords("", (LIMITS,)), ranking)


def _build_own_brittle_servers() -> BrittleServers:
    """Return brittle servers that no other instance hears of."""
    ranking = InstanceRanking("")
    ranking.set_others(())
    return BrittleServers(SharedRecords("", (BRITTLE,)), ranking)

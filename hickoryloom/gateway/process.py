"""Gateway process: builds, connects and runs its components."""

from __future__ import annotations

import json
import random
import uuid
from collections.abc import Mapping
from typing import Any

import gevent
import logbook

from hickoryloom.catalog import Catalog, CatalogFollower
from hickoryloom.clock import Clock, SystemClock
from hickoryloom.contention import Contention, CustomerRates
from hickoryloom.datagrams import DatagramPort
from hickoryloom.discovery import Discovery
from hickoryloom.duties import DutyClient
from hickoryloom.evacuations import EvacuatedServers, EvacuationFollower
from hickoryloom.evidence import (
    EvidenceExchange,
    InstanceRanking,
    InstanceStanding,
    SharedRecords,
)
from hickoryloom.gateway.app import ProxyApp
from hickoryloom.gateway.budget import DEFAULT_INSTANCES, SharedRetryBudget
from hickoryloom.gateway.context import GatewayContext
from hickoryloom.gateway.peer_attempts import UNABLE_REASONS
from hickoryloom.gateway.ports import Dialect
from hickoryloom.gateway.settings import GatewaySettings
from hickoryloom.handover import (
    HandOverClient,
    HandOverPeer,
    HandOverPeers,
    HandOverReceiver,
    is_handed_over,
    new_token,
)
from hickoryloom.http import ConnectionLimits, Server, WriteWatch
from hickoryloom.leases import LeaseManager
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.metering import (
    COUNTS_PATH,
    CountsCustody,
    InstanceCounts,
    MeterTask,
    UsageMeter,
    UsageReporter,
)
from hickoryloom.metrics import MetricsRecorder
from hickoryloom.origins import (
    ORIGIN_TOPICS,
    ListedVersions,
    OriginJournals,
    OriginKeepers,
    SoftwareVersions,
    StreamOrigins,
    VersionLists,
)
from hickoryloom.peerviews import PEER_VIEW_PATH, PeerViewServer, PeerViewTask
from hickoryloom.placing import (
    BRITTLE,
    COLD,
    LIMITS,
    BrittleServers,
    ColdServers,
    NamedLimits,
    Placer,
    ServerConditions,
)
from hickoryloom.quarantine import QUARANTINE_TOPICS, Quarantine
from hickoryloom.reach import REACH_TOPICS, EndWitness, Reach, ReachProbe
from hickoryloom.scaling import Scaler
from hickoryloom.sharing import VIEW_PATH, Peer, ViewFollower, ViewServer
from hickoryloom.shutdown import StopStep, run_stop_steps
from hickoryloom.store import CallBudget, CallKind, PlatformClient
from hickoryloom.upstream import BufferBudget, ConnectionPool, buffer_limit_bytes

__all__ = ["Gateway", "build_gateway"]

log = logbook.Logger("hickoryloom.gateway")

STORE_CALL_TIMEOUT_S = 1.0
"""Ten times the response time of a slow store. Also limits the wait on a connection that stays open
without delivering a response."""

STORE_RETRY_MAX_S = 0.5
"""Longest pause between probes of an unavailable store, well below the age up to which a view is
trusted."""

STORE_PROBE_TIMEOUT_S = 0.4
"""Time after which an unanswered probe of an unavailable store no longer delays the next one: twice
the response time of a slow store, so that a store that was silent is noticed within a second of
its return."""

MANY_INSTANCES = 8
"""Number of other instances from which listings after an outage are spread. Fewer cost the store
less than the delay costs callers."""

LISTING_SPREAD_S = 1.0
"""Longest delay of a listing after an outage, in the second half of which listings are spread.
Meanwhile an instance uses the registrations that it knew, or those of a reader."""

BALANCER_REMOVAL_S = 2.6
"""Time until the load balancer stops sending requests: it checks readiness once a second and
removes an instance after two failed checks."""

STOP_MARGIN_S = 0.7
"""Time reserved at the end of a shutdown for the last answers and the final usage counts."""

EXIT_MARGIN_S = 0.25
"""Part of that in which nothing is waited for, so that the process ends before it is killed, also
on half a core."""

OPEN_POLL_S = 0.02

DUTIES_LEASE = "duties"
MAX_LEASE_CANDIDATES = 6
"""Maximum number of gateways that compete for the lease. More candidates would only read it more
often."""

CANDIDATE_READ_FACTOR = 1.2
"""Interval at which candidates read the lease, as a multiple of its duration: about the time
after which the lease of a dead holder can be taken over."""

HAND_OVER_HEADER_BYTES = 2048
"""Room for the headers that instances add to a request that they hand over."""

SWEEP_INTERVAL_S = 1.0
"""Interval for closing idle connections that their backend servers are about to close."""


class Gateway:
    """Serves callers and competes for the lease under which usage is reported and servers ordered.

    Args:
        settings: Settings of the process.
        dialect: Wire formats of the environment.
        clock: Source of time.
        rng: Random number generator.
    """

    def __init__(
        self, settings: GatewaySettings, dialect: Dialect, clock: Clock, rng: random.Random
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._rng = rng
        self._incarnation = f"{settings.instance}-{uuid.uuid4().hex[:8]}"
        self._stopping = False
        self._instances = DEFAULT_INSTANCES
        self._counted_instances = 0
        self._retry_budgets: dict[str, SharedRetryBudget] = {}
        self._metrics = MetricsRecorder()
        self._client = self._build_client(rng)
        self._catalog = CatalogFollower(
            self._client,
            dialect.catalog.key,
            dialect.catalog.read,
            clock,
            settings.revoke_s,
            settings.apply_s,
        )
        self._discovery = Discovery(
            self._client,
            dialect.registrations.prefix,
            dialect.registrations.read,
            clock,
            settings.catch_up_s,
            settings.leave_s,
        )
        identity = settings.operators or self._incarnation
        self._ranking = InstanceRanking(identity)
        self._datagrams = DatagramPort(settings.operators)
        records = SharedRecords(
            self._incarnation,
            (*QUARANTINE_TOPICS, LIMITS, BRITTLE, COLD, *ORIGIN_TOPICS, *REACH_TOPICS),
        )
        self._evidence = EvidenceExchange(
            self._datagrams, clock, rng, records, lambda: self._peer_views.is_needed
        )
        self._quarantine = Quarantine(settings.instance, records, self._ranking)
        self._keepers = OriginKeepers(identity)
        listed = ListedVersions(self._incarnation, rng, self._ranking.rank)
        self._version_lists = VersionLists(
            self._client, clock, listed, self._catalog.view.age, self._registrations_age_s
        )
        self._journals = OriginJournals(
            self._client,
            clock,
            self._version_lists,
            self._incarnation,
            settings.operators,
            lambda: self._client.budget.rate(CallKind.WRITE),
            self._ranking.rank,
        )
        self._origins = StreamOrigins(
            clock,
            self._datagrams,
            self._keepers,
            SoftwareVersions(records, listed),
            self._discovery.find,
            self._catalog.view.age,
            self._version_lists,
            self._journals,
        )
        self._discovery.subscribe(self._origins.set_servers)
        self._reach = Reach(settings.operators, records)
        self._limits = NamedLimits(records, self._ranking)
        self._brittle = BrittleServers(records, self._ranking)
        self._evacuations = EvacuationFollower(
            self._client,
            dialect.evacuations.prefix,
            dialect.evacuations.read,
            clock,
            settings.evacuation_s,
            settings.catch_up_s,
        )
        self._evacuated = EvacuatedServers(self._evacuations.state)
        self._standing = InstanceStanding()
        self._cold = ColdServers(
            settings.warm_up_overrun,
            settings.warm_up_tolerance,
            records,
            self._ranking,
            self._standing,
        )
        conditions = ServerConditions((self._evacuated, self._cold), clock)
        self._evacuations.subscribe_ended(self._cold.on_evacuation_ended)
        self._placer = Placer(
            settings.failure_domain,
            rng,
            self._limits,
            self._brittle,
            conditions,
            settings.spreads_prompts,
            settings.weighs_failure_domains,
        )
        self._discovery.subscribe(self._placer.set_servers)
        self._catalog.subscribe(self._apply_catalog)
        self._buffers = BufferBudget(
            buffer_limit_bytes(settings.memory_bytes), settings.bounds_memory
        )
        self._write_watch = WriteWatch(clock) if settings.bounds_memory else None
        self._connections = ConnectionPool(clock, dialect.backends.id_header)
        self._probe = ReachProbe(
            self._reach,
            self._connections,
            self._open_addresses,
            clock,
            rng,
            self._health_path,
        )
        self._hand_overs = HandOverClient(
            HandOverPeers(settings.operators, self._reach.is_cut_off_at, rng),
            ConnectionPool(clock, id_header=""),
            UNABLE_REASONS,
        )
        self._token = new_token()
        self._meter = UsageMeter(clock, settings.usage_window_s or 60.0)
        self._contention = Contention(CustomerRates(), rng, settings.shares_room)
        self._view_server = ViewServer(
            self._incarnation,
            clock,
            self._catalog,
            self._discovery,
            self._placer,
            self._evacuations,
            self._contention,
        )
        self._view_follower = ViewFollower(
            self._incarnation,
            settings.failure_domain,
            clock,
            rng,
            self._catalog,
            self._discovery,
            self._placer,
            must_read=lambda: self._view_server.is_followed,
            contention=self._contention,
            evacuations=self._evacuations,
        )
        self._peer_view_server = PeerViewServer(
            clock,
            self._catalog,
            self._discovery,
            lambda: self._evidence.known_directly,
            self._evidence.hear,
            lambda: self._counted_instances,
        )
        self._peer_views = PeerViewTask(
            settings.operators,
            clock,
            rng,
            self._catalog,
            self._discovery,
            lambda: self._evidence.peers,
            self._evidence.hear_of,
            self._learn_instances,
        )
        self._custody = CountsCustody(self._client, lambda: self._evidence.peers, rng)
        self._meter_task = MeterTask(
            self._client,
            clock,
            self._meter,
            self._incarnation,
            settings.operators,
            settings.failure_domain,
            self._token,
            self._set_instances,
            self._custody,
            lambda sent_at: self._standing.confirm_listing(sent_at, clock.monotonic()),
        )
        self._client.subscribe_return(self._on_store_return)
        context = GatewayContext(
            clock=clock,
            rng=rng,
            catalog=self._catalog,
            discovery=self._discovery,
            placer=self._placer,
            cold=self._cold,
            connections=self._connections,
            backends=dialect.backends,
            meter=self._meter,
            metrics=self._metrics,
            retries=self._retry_budget,
            quarantine=self._quarantine,
            origins=self._origins,
            reach=self._reach,
            witness=EndWitness(
                self._connections,
                lambda: self._placer.services,
                self._placer.usable_addresses,
                self._is_registered,
                clock,
                rng,
            ),
            hand_overs=self._hand_overs,
            instance=settings.instance,
            buffers=self._buffers,
            contention=self._contention,
            evacuated=self._evacuated,
        )
        receiver = HandOverReceiver(settings.operators, self._token)
        self._app = ProxyApp(context, dialect.callers, receiver)
        self._proxy_server = Server(self._app, settings.listen, self._write_watch, "callers")
        self._readiness_server = Server(self._serve_operators, settings.readiness)
        self._operators_server = (
            Server(self._serve_operators, settings.operators, self._write_watch, "operators")
            if settings.operators
            else None
        )
        self._operators_app: Any = None
        self._sweeper = TaskLoop(self._sweep, "sweep", log)
        self._usage_reporter: UsageReporter | None = None
        self._duties = self._build_duties() if settings.duties else None

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses by name."""
        return {
            "listen": self._proxy_server.address,
            "readiness": self._readiness_server.address,
        }

    def unready_reasons(self) -> list[str]:
        """Return the reasons why the load balancer should send no requests to this instance."""
        reasons = []
        if self._stopping:
            reasons.append("stopping")
        if not self._catalog.catalog.version:
            reasons.append("no configuration")
        elif (
            not self._catalog.view.ready_for_callers(self._clock.monotonic())
            # Public routes are still served, and a load balancer without any instance would take
            # seconds to add them again after the store's return.
            and not self._peer_views.others_are_overdue
        ):
            reasons.append("cut off from the store")
        # The configuration is read some milliseconds before the registrations.
        if not self._discovery.is_known:
            reasons.append("no registrations of backend servers")
        return reasons

    def status(self) -> dict[str, object]:
        """Return the status of this process for operators."""
        age_s = self._catalog.view.age(self._clock.monotonic())
        return {
            "role": "gateway",
            "instance": self._settings.instance,
            "incarnation": self._incarnation,
            "failure_domain": self._settings.failure_domain,
            "ready": not self.unready_reasons(),
            "reasons": self.unready_reasons(),
            "version": self._catalog.catalog.version,
            "view_age_s": min(age_s, 1e9),
            "reader": self._view_follower.reader,
            "backend_servers": len(self._discovery.servers),
            "services_unreachable": self._reach.unreachable,
            "open_requests": self._proxy_server.active,
            "instances": self._instances,
            **self._evacuation_status(),
            "others_overdue": self._peer_views.others_are_overdue,
        }

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Apply the settings that can change at run time."""
        self._settings = settings
        self._catalog.set_bounds(settings.revoke_s, settings.apply_s)
        self._evacuations.set_bounds(settings.evacuation_s, settings.catch_up_s)
        now = self._clock.monotonic()
        self._client.budget.set_rates(settings.store_writes_per_s, settings.store_reads_per_s, now)
        for budget in self._retry_budgets.values():
            budget.ratio = settings.retry_ratio
            budget.slack = settings.retry_slack
            budget.window_s = settings.retry_window_s

    def start(self) -> None:
        """Bind the servers, start following the store, and serve requests."""
        if self._write_watch is not None:
            self._write_watch.start()
        self._proxy_server.start()
        self._catalog.start()
        self._discovery.start()
        self._version_lists.start()
        self._journals.start()
        self._evacuations.start()
        self._readiness_server.start()
        if self._operators_server is not None:
            self._operators_server.start()
        self._datagrams.start()
        self._evidence.start()
        self._meter_task.start()
        self._view_follower.start()
        self._peer_views.start()
        self._sweeper.start()
        self._probe.start()
        if self._duties is not None:
            self._duties.start()

    def stop(self) -> None:
        """Shut down gracefully within `stop_s`.

        Fails readiness checks, releases the lease, completes the requests in progress, and writes
        the final usage counts.
        """
        run_stop_steps(self._stop_steps(), self._clock, log, self._describe_open)
        log_event(log, "stopped", **self._describe_open())

    def _stop_steps(self) -> tuple[StopStep, ...]:
        """Return the steps of a stop, with times in seconds since the request to stop."""
        ends_s = max(0.0, self._settings.stop_s - STOP_MARGIN_S)
        exits_s = max(0.0, self._settings.stop_s - EXIT_MARGIN_S)
        refused_s = min(BALANCER_REMOVAL_S, ends_s)
        exits_at = self._clock.monotonic() + exits_s
        return (
            StopStep("draining", self._drain, until_s=refused_s),
            StopStep("duties-stopped", self._stop_duties, until_s=exits_s, in_background=True),
            StopStep("requests-refused", self._app.stop_admitting, refused_s, ends_s),
            StopStep("requests-ended", self._wait_for_requests, until_s=ends_s),
            # What still runs can't change the usage counts from here on.
            StopStep("requests-given-up", self._app.end_requests, until_s=exits_s),
            StopStep(
                "requests-answered",
                lambda: self._proxy_server.finish(exits_at - self._clock.monotonic()),
                until_s=exits_s,
                in_background=True,
            ),
            StopStep("evidence-sent", self._stop_evidence, until_s=exits_s),
            StopStep("counts-written", lambda: self._meter_task.stop(exits_at), until_s=exits_s),
            StopStep("hand-overs-answered", self._finish_operators, until_s=exits_s),
        )

    def _drain(self) -> None:
        self._stopping = True
        self._proxy_server.drain()

    def _stop_duties(self) -> None:
        if self._duties is not None:
            self._duties.stop()

    def _wait_for_requests(self) -> None:
        """Wait for all requests of callers, and those that other instances have handed over."""
        while self._app.open_requests or not self._proxy_server.wait_quiet(OPEN_POLL_S):
            gevent.sleep(OPEN_POLL_S)

    def _stop_evidence(self) -> None:
        self._evidence.stop()
        self._datagrams.stop()

    def _finish_operators(self) -> None:
        if self._operators_server is not None:
            self._operators_server.finish(EXIT_MARGIN_S)

    def _describe_open(self) -> dict[str, object]:
        """Return what callers still have at this process, for the log."""
        operators = self._operators_server
        return {
            "open_requests": self._proxy_server.active,
            "reading": self._proxy_server.reading,
            "unread": self._proxy_server.unread,
            "handed_over": operators.active if operators is not None else None,
        }

    def _serve_operators(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serve operators and other instances; also readiness checks on their own port.

        The web framework is imported on the first call, so that it doesn't delay serving callers.
        """
        if is_handed_over(environ):
            return self._app.serve_handed_over(environ, start_response)
        if environ.get("PATH_INFO") == VIEW_PATH:
            return self._view_server(environ, start_response)
        if environ.get("PATH_INFO") == PEER_VIEW_PATH:
            return self._peer_view_server(environ, start_response)
        if environ.get("PATH_INFO") == COUNTS_PATH:
            return self._custody(environ, start_response)
        if self._operators_app is None:
            from hickoryloom.http.admin import build_admin_app

            self._operators_app = build_admin_app(
                self.unready_reasons, self.status, self._render_metrics
            )
        return self._operators_app(environ, start_response)

    def _build_client(self, rng: random.Random) -> PlatformClient:
        settings = self._settings
        budget = CallBudget(
            self._clock.monotonic(),
            writes_per_s=settings.store_writes_per_s,
            reads_per_s=settings.store_reads_per_s,
        )
        return PlatformClient(
            settings.store,
            self._clock,
            budget,
            rng,
            codec=self._dialect.objects,
            call_timeout_s=STORE_CALL_TIMEOUT_S,
            retry_max_s=STORE_RETRY_MAX_S,
            probe_timeout_s=STORE_PROBE_TIMEOUT_S,
            # Requests with a key are refused until the catalog has been read.
            urgent_keys=(self._dialect.catalog.key,),
        )

    def _build_duties(self) -> _Duties:
        settings = self._settings
        lease_manager = LeaseManager(
            DUTIES_LEASE,
            self._client,
            self._clock,
            self._incarnation,
            settings.lease_s,
            read_interval_s=settings.lease_s * CANDIDATE_READ_FACTOR,
            is_candidate=lambda: self._meter_task.rank < MAX_LEASE_CANDIDATES,
            instance=settings.instance,
            era=lambda: self._client.era,
            wall=self._meter.wall,
        )
        duty_client = DutyClient(settings.duties, lease_manager)
        tasks: list[UsageReporter | Scaler] = []
        if settings.reports_usage and settings.usage_window_s:
            self._usage_reporter = UsageReporter(
                self._client,
                self._clock,
                self._meter,
                duty_client,
                self._dialect.usage,
                settings.instance,
                settings.usage_window_s,
                lambda: self._meter_task.write_interval_s,
                settings.usage_late_s,
                lambda: self._client.era,
            )
            tasks.append(self._usage_reporter)
        if settings.orders_servers:
            tasks.append(
                Scaler(
                    self._client,
                    self._clock,
                    self._meter.wall,
                    self._catalog,
                    self._discovery,
                    duty_client,
                    self._dialect.scaling,
                    settings.instance,
                    self._placer.prefill_s,
                    evacuated=lambda: self._evacuations.domains,
                    is_cold=lambda server: self._cold.is_cold(server, self._clock.monotonic()),
                    mean_speed=self._placer.mean_speed,
                )
            )
        return _Duties(lease_manager, duty_client, tasks)

    def _registrations_age_s(self, now: float) -> float:
        """Return the age of the registrations that this process read from the store itself."""
        confirmed_at = self._discovery.confirmed_at
        if confirmed_at is None or not self._discovery.follows_store:
            return float("inf")
        return now - confirmed_at

    def _apply_catalog(self, catalog: Catalog) -> None:
        self._version_lists.set_services(
            target.service
            for route in catalog.routes
            if route.resumable
            for target in route.targets
        )
        self._cold.set_services(catalog.services, self._clock.monotonic())
        self._placer.memory.set_limits(
            {
                service.name: service.engine.memory_tokens
                for service in catalog.services.values()
                if service.engine is not None
            }
        )
        limits = catalog.limits
        self._proxy_server.limits = ConnectionLimits(
            limits.header_bytes, limits.header_timeout_s, limits.idle_timeout_s
        )
        if self._operators_server is not None:
            self._operators_server.limits = ConnectionLimits(
                limits.header_bytes + HAND_OVER_HEADER_BYTES,
                limits.header_timeout_s,
                limits.idle_timeout_s,
            )

    def _set_instances(self, live: Mapping[str, InstanceCounts]) -> None:
        count = max(1, len(live))
        self._instances = self._counted_instances = count
        self._view_follower.set_peers(
            Peer(key, counts.address, counts.failure_domain)
            for key, counts in live.items()
            if counts.address
        )
        self._hand_overs.peers.set_peers(
            HandOverPeer(counts.address, counts.failure_domain, counts.token)
            for counts in live.values()
        )
        self._journals.note_processes(all(counts.journals for counts in live.values()))
        identities = [counts.address or key for key, counts in live.items()]
        self._ranking.set_others(identities)
        # Others that read the list now do not know an instance that is missing from it.
        if self._meter_task.counted_at is not None and self._incarnation in live:
            self._standing.confirm_view(
                identities,
                self._meter_task.counted_at,
                self._meter_task.count_valid_s,
                self._clock.monotonic(),
            )
        self._keepers.set_others(counts.address for counts in live.values() if counts.address)
        self._evidence.set_peers(counts.address for counts in live.values() if counts.address)
        # Right after an outage, few instances have written their counts, but all have been heard.
        processes = max(count, len(self._evidence.peers) + 1)
        self._client.budget.set_processes(processes, self._clock.monotonic())
        self._placer.set_instances(count)
        for budget in self._retry_budgets.values():
            budget.instances = count

    def _on_store_return(self) -> None:
        """Read the configuration at once, and spread the listings of many instances."""
        self._catalog.read_now()
        # An instance that has counted the others and has no readers is one itself.
        may_wait = not self._counted_instances or self._view_follower.has_readers
        if may_wait and len(self._evidence.peers) >= MANY_INSTANCES:
            spread_s = LISTING_SPREAD_S * (1 + self._rng.random()) / 2
            self._discovery.hold_listing(self._clock.monotonic() + spread_s)
            self._view_follower.retry_readers()
        self._discovery.read_now()

    def _learn_instances(self, count: int) -> None:
        """Set the share of the call budget by another instance's count until there is one."""
        if not self._counted_instances:
            self._client.budget.set_processes(count, self._clock.monotonic())

    def _is_registered(self, id: str, started_ms: int) -> bool:
        server = self._discovery.find(id)
        return server is not None and server.started_ms == started_ms

    def _open_addresses(self, service: str) -> dict[str, str]:
        """Return the addresses of a service's usable servers outside evacuated domains, by id."""
        addresses = self._placer.usable_addresses(service)
        evacuated = self._evacuations.domains
        for server in self._discovery.servers if evacuated else ():
            if server.failure_domain in evacuated:
                addresses.pop(server.id, None)
        return addresses

    def _health_path(self, service: str) -> str:
        """Return the path of a service's health checks; empty if it is unknown."""
        known = self._catalog.catalog.services.get(service)
        return known.health_path if known is not None else ""

    def _running_in(self, domain: str) -> int:
        """Return the number of this instance's requests at the servers of a failure domain."""
        return sum(
            self._placer.in_flight_at(server.id)
            for server in self._discovery.servers
            if server.failure_domain == domain
        )

    def _evacuation_status(self) -> dict[str, object]:
        """Return the status of the evacuations; empty if the settings have no bound for them."""
        if not self._evacuations.is_enabled:
            return {}
        now = self._clock.monotonic()
        return {
            "evacuations": {
                evacuation.domain: {
                    "for_s": round(now - evacuation.noticed_at, 3),
                    "read": evacuation.read,
                    "requests_running": self._running_in(evacuation.domain),
                }
                for evacuation in self._evacuations.state.evacuations
            },
            "evacuations_view_age_s": min(self._evacuations.state.age(now), 1e9),
            "requests_diverted": self._evacuated.diverted,
            "requests_refused_evacuated": self._evacuated.refused,
        }

    def _evacuation_gauges(self) -> dict[str, float]:
        """Return the metrics of the evacuations; empty if the settings have no bound for them."""
        if not self._evacuations.is_enabled:
            return {}
        now = self._clock.monotonic()
        gauges: dict[str, float] = {
            "evacuated_domains": len(self._evacuations.domains),
            "evacuations_view_age_seconds": min(self._evacuations.state.age(now), 1e9),
            "evacuation_diverted_requests": self._evacuated.diverted,
            "evacuation_refused_requests": self._evacuated.refused,
        }
        for evacuation in self._evacuations.state.evacuations:
            label = f"{{failure_domain={json.dumps(evacuation.domain)}}}"
            gauges[f"evacuated_seconds{label}"] = now - evacuation.noticed_at
            gauges[f"requests_in_evacuated_domain{label}"] = self._running_in(evacuation.domain)
        return gauges

    def _retry_budget(self, service: str) -> SharedRetryBudget:
        if service not in self._retry_budgets:
            settings = self._settings
            self._retry_budgets[service] = SharedRetryBudget(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
                self._instances,
            )
        return self._retry_budgets[service]

    def _sweep(self) -> float:
        self._connections.close_expired()
        self._hand_overs.close_expired()
        self._origins.refresh()
        self._cold.refresh(self._clock.monotonic())
        return SWEEP_INTERVAL_S

    def _render_metrics(self) -> str:
        return self._metrics.render(
            {
                "version": self._catalog.catalog.version,
                "view_age_seconds": min(self._catalog.view.age(self._clock.monotonic()), 1e9),
                "backend_servers": len(self._discovery.servers),
                "open_requests": self._proxy_server.active,
                "requests_at_backend_servers": self._placer.in_flight,
                "backend_connections_idle": self._connections.idle,
                "instances": self._instances,
                "prompt_parts_quarantined": self._quarantine.parts,
                "requests_quarantined": self._quarantine.requests,
                "stream_origins": self._origins.kept,
                "stream_versions_held": self._version_lists.held_versions,
                "backend_servers_limited": self._limits.servers,
                "backend_servers_brittle": self._brittle.servers,
                "backend_servers_cold": self._cold.servers,
                "cold_turns": self._cold.turns,
                "cold_turns_awaited": self._cold.waiting,
                "cold_turns_too_late": self._cold.refused,
                "requests_without_engine_memory": self._placer.memory.without_room,
                "requests_larger_than_engine_memory": self._placer.memory.too_large,
                "backend_servers_slow": self._placer.slow_servers(self._clock.monotonic()),
                "load_reports_received": self._placer.reports.received,
                "load_reports_used": self._placer.reports.used,
                **self._placer.domains.gauges(),
                "services_unreachable": len(self._reach.unreachable),
                **self._contention.metrics(self._clock.monotonic()),
                "held_bytes": self._buffers.held_bytes,
                "held_bytes_limit": self._buffers.limit_bytes,
                "requests_given_up": self._buffers.given_up,
                "requests_without_memory": self._buffers.refused,
                "streams_read_ahead": self._buffers.read_ahead,
                "callers_not_reading": (
                    self._write_watch.disconnected if self._write_watch is not None else 0
                ),
                "final_counts_held": self._custody.held,
                "store_era": self._client.era,
                "store_era_changes": self._client.era_changes,
                "usage_late_requests": (
                    self._usage_reporter.late_requests if self._usage_reporter else 0
                ),
                **self._evacuation_gauges(),
                **self._proxy_server.ends.gauges(),
            }
        )


class _Duties:
    """The lease, and the tasks that run only while this process holds it."""

    def __init__(
        self,
        lease_manager: LeaseManager,
        duty_client: DutyClient,
        tasks: list[UsageReporter | Scaler],
    ) -> None:
        self._lease_manager = lease_manager
        self._duty_client = duty_client
        self._tasks = tasks

    def start(self) -> None:
        self._lease_manager.start()
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        for task in self._tasks:
            task.stop()
        self._lease_manager.stop()
        self._duty_client.close()


def build_gateway(settings: GatewaySettings, dialect: Dialect) -> Gateway:
    """Build a gateway with the system clock and a randomly seeded generator."""
    return Gateway(settings, dialect, SystemClock(), random.Random())

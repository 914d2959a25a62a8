"""A gateway process: builds the slices, joins them and runs them."""

from __future__ import annotations

import random
import uuid
from typing import Any

import gevent
import logbook

from hickoryloom.catalog import Catalog, CatalogFollower
from hickoryloom.clock import Clock, SystemClock
from hickoryloom.discovery import Discovery
from hickoryloom.duties import DutyCaller
from hickoryloom.gateway.app import CallerApp
from hickoryloom.gateway.attempts import GatewayParts
from hickoryloom.gateway.budget import UNKNOWN_INSTANCES, RetryWindow
from hickoryloom.gateway.ports import Dialect
from hickoryloom.gateway.settings import GatewaySettings
from hickoryloom.http import ConnectionLimits, Server
from hickoryloom.leases import LeaseKeeper
from hickoryloom.logs import log_event
from hickoryloom.loops import TaskLoop
from hickoryloom.metering import MeterTask, UsageMeter, UsageReporter
from hickoryloom.metrics import MetricsRecorder
from hickoryloom.placing import Placer
from hickoryloom.scaling import Scaler
from hickoryloom.store import CallBudget, PlatformClient
from hickoryloom.upstream import Connections

__all__ = ["Gateway", "build_gateway"]

log = logbook.Logger("hickoryloom.gateway")

STORE_CALL_TIMEOUT_S = 1.0
"""Ten times what a slow store takes; an open connection that fell silent costs no more."""

STORE_RETRY_MAX_S = 0.5
"""Longest pause between probes of a store that is away, well below the age of a trusted view."""

CONNECT_TIMEOUT_S = 0.4
"""A hundred round trips; a backend server that takes longer is down or cut off."""

UNACKNOWLEDGED_S = 0.8
"""A backend server that acknowledges nothing for so long is down or cut off."""

BALANCER_NOTICES_S = 2.6
"""The balancer asks once a second and takes an instance out after two misses."""

STOP_MARGIN_S = 0.7
"""Time kept free at the end of a stop for the last writes."""

DUTIES_LEASE = "duties"
CANDIDATES = 6
"""Instances that stand for the lease: more of them only read it more often."""

CANDIDATE_READ_PART = 1.2
"""Candidates read the lease as often as a dead holder's can be taken, parts of its duration."""

SWEEP_EVERY_S = 1.0
"""Pause between looks for kept connections that their backend servers are about to close."""


class Gateway:
    """Serves callers, and stands ready to hold the lease of the duties.

    Args:
        settings: Settings of the process.
        dialect: How the outside is spoken to.
        clock: Source of time.
        rng: Source of random numbers.
    """

    def __init__(
        self, settings: GatewaySettings, dialect: Dialect, clock: Clock, rng: random.Random
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._clock = clock
        self._incarnation = f"{settings.instance}-{uuid.uuid4().hex[:8]}"
        self._stopping = False
        self._instances = UNKNOWN_INSTANCES
        self._budgets: dict[str, RetryWindow] = {}
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
        )
        self._placer = Placer(settings.failure_domain, rng)
        self._discovery.subscribe(self._placer.set_servers)
        self._catalog.subscribe(self._apply_catalog)
        self._connections = Connections(
            clock, dialect.backends.id_header, CONNECT_TIMEOUT_S, UNACKNOWLEDGED_S
        )
        self._meter = UsageMeter(clock, settings.usage_window_s or 60.0)
        self._meter_task = MeterTask(
            self._client, clock, self._meter, self._incarnation, self._set_instances
        )
        parts = GatewayParts(
            clock=clock,
            rng=rng,
            catalog=self._catalog,
            discovery=self._discovery,
            placer=self._placer,
            connections=self._connections,
            backends=dialect.backends,
            meter=self._meter,
            metrics=self._metrics,
            retries=self._retries,
        )
        self._app = CallerApp(parts, dialect.callers)
        self._caller_server = Server(self._app, settings.listen)
        self._readiness_server = Server(self._serve_operators, settings.readiness)
        self._operators_server = (
            Server(self._serve_operators, settings.operators) if settings.operators else None
        )
        self._operators_app: Any = None
        self._sweeper = TaskLoop(self._sweep, "sweep", log)
        self._duties = self._build_duties() if settings.duties else None

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses by name."""
        return {
            "listen": self._caller_server.address,
            "readiness": self._readiness_server.address,
        }

    def why_not_ready(self) -> list[str]:
        """Return the reasons why the balancer should send nothing here."""
        reasons = []
        if self._stopping:
            reasons.append("stopping")
        if not self._catalog.catalog.version:
            reasons.append("no configuration")
        elif not self._catalog.view.fit_for_callers(self._clock.monotonic()):
            reasons.append("cut off from the store")
        return reasons

    def status(self) -> dict[str, object]:
        """Return what operators see of this process."""
        age_s = self._catalog.view.age(self._clock.monotonic())
        return {
            "role": "gateway",
            "instance": self._settings.instance,
            "incarnation": self._incarnation,
            "failure_domain": self._settings.failure_domain,
            "ready": not self.why_not_ready(),
            "reasons": self.why_not_ready(),
            "version": self._catalog.catalog.version,
            "view_age_s": min(age_s, 1e9),
            "backend_servers": len(self._discovery.servers),
            "open_requests": self._caller_server.active,
            "instances": self._instances,
        }

    def apply_settings(self, settings: GatewaySettings) -> None:
        """Put settings in force that may change while the process runs."""
        self._settings = settings
        self._catalog.set_bounds(settings.revoke_s, settings.apply_s)
        now = self._clock.monotonic()
        self._client.budget.set_rates(settings.store_writes_per_s, settings.store_reads_per_s, now)
        for budget in self._budgets.values():
            budget.ratio = settings.retry_ratio
            budget.slack = settings.retry_slack
            budget.window_s = settings.retry_window_s

    def start(self) -> None:
        """Bind, follow the store, and serve."""
        self._caller_server.start()
        self._catalog.start()
        self._discovery.start()
        self._readiness_server.start()
        if self._operators_server is not None:
            self._operators_server.start()
        self._meter_task.start()
        self._sweeper.start()
        if self._duties is not None:
            self._duties.start()

    def stop(self) -> None:
        """Tell the balancer, finish every request that was read, hand over duties and counts."""
        began = self._clock.monotonic()
        self._stopping = True
        self._caller_server.drain()
        if self._duties is not None:
            self._duties.stop()
        gevent.sleep(BALANCER_NOTICES_S)
        self._caller_server.stop_accepting()
        self._app.stop_admitting()
        self._caller_server.close_idle()
        end = began + self._settings.stop_s - STOP_MARGIN_S
        self._caller_server.wait_idle(max(0.0, end - self._clock.monotonic()))
        self._meter_task.stop()
        log_event(log, "stopped", open_requests=self._caller_server.active)

    def _serve_operators(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serve the balancer and operators; their framework is loaded after callers are served."""
        if self._operators_app is None:
            from hickoryloom.http.admin import build_admin_app

            self._operators_app = build_admin_app(
                self.why_not_ready, self.status, self._render_metrics
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
        )

    def _build_duties(self) -> _Duties:
        settings = self._settings
        keeper = LeaseKeeper(
            DUTIES_LEASE,
            self._client,
            self._clock,
            self._incarnation,
            settings.lease_s,
            read_s=settings.lease_s * CANDIDATE_READ_PART,
            stands=lambda: self._meter_task.rank < CANDIDATES,
        )
        caller = DutyCaller(settings.duties, keeper)
        tasks: list[UsageReporter | Scaler] = []
        if settings.reports_usage and settings.usage_window_s:
            tasks.append(
                UsageReporter(
                    self._client,
                    self._clock,
                    self._meter,
                    caller,
                    self._dialect.usage,
                    settings.instance,
                    settings.usage_window_s,
                    lambda: self._meter_task.write_every_s,
                )
            )
        if settings.orders_servers:
            tasks.append(
                Scaler(
                    self._client,
                    self._clock,
                    self._meter.wall,
                    self._catalog,
                    self._discovery,
                    caller,
                    self._dialect.scaling,
                    settings.instance,
                    self._placer.prefill_s,
                )
            )
        return _Duties(keeper, caller, tasks)

    def _apply_catalog(self, catalog: Catalog) -> None:
        limits = catalog.limits
        self._caller_server.limits = ConnectionLimits(
            limits.header_bytes, limits.header_timeout_s, limits.idle_timeout_s
        )

    def _set_instances(self, number: int) -> None:
        self._instances = number
        self._placer.set_instances(number)
        for budget in self._budgets.values():
            budget.instances = number

    def _retries(self, service: str) -> RetryWindow:
        if service not in self._budgets:
            settings = self._settings
            self._budgets[service] = RetryWindow(
                settings.retry_ratio,
                settings.retry_slack,
                settings.retry_window_s,
                self._instances,
            )
        return self._budgets[service]

    def _sweep(self) -> float:
        self._connections.drop_idle()
        return SWEEP_EVERY_S

    def _render_metrics(self) -> str:
        return self._metrics.render(
            {
                "version": self._catalog.catalog.version,
                "view_age_seconds": min(self._catalog.view.age(self._clock.monotonic()), 1e9),
                "backend_servers": len(self._discovery.servers),
                "open_requests": self._caller_server.active,
                "requests_at_backend_servers": self._placer.in_flight,
                "backend_connections_idle": self._connections.idle,
                "instances": self._instances,
            }
        )


class _Duties:
    """The lease and the tasks that act under it."""

    def __init__(
        self, keeper: LeaseKeeper, caller: DutyCaller, tasks: list[UsageReporter | Scaler]
    ) -> None:
        self._keeper = keeper
        self._caller = caller
        self._tasks = tasks

    def start(self) -> None:
        self._keeper.start()
        for task in self._tasks:
            task.start()

    def stop(self) -> None:
        for task in self._tasks:
            task.stop()
        self._keeper.stop()
        self._caller.close()


def build_gateway(settings: GatewaySettings, dialect: Dialect) -> Gateway:
    """Build a gateway with the machine's clock and a seed of the system's."""
    return Gateway(settings, dialect, SystemClock(), random.Random())

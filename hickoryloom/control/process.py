"""Builds a control process from its settings."""

from __future__ import annotations

import uuid
from typing import Any

import cattrs

from hickoryloom.clock import Clock, SystemClock
from hickoryloom.config import Settings
from hickoryloom.configuration import ConfigurationFollower
from hickoryloom.control.presence import ROLE, ControlPresence
from hickoryloom.fleet import DemandCollector, FleetPlan, FleetTask
from hickoryloom.http import Server
from hickoryloom.http.admin import build_admin_app
from hickoryloom.leases import LeaseManager
from hickoryloom.membership import Presence
from hickoryloom.store import PlatformClient
from hickoryloom.usage import UsageReporter

__all__ = ["Control", "build_control"]

WATCH_TIMEOUT_S = 4.0
FLEET_DUTY = "fleet"
USAGE_DUTY = "usage"
PLATFORM_TIMEOUT_S = 30.0


class Control:
    """A candidate for the leases `fleet` and `usage`, with the tasks that run under them.

    Args:
        settings: Settings of the process.
        clock: Source of time.
    """

    def __init__(self, settings: Settings, clock: Clock) -> None:
        self._settings = settings
        self._clock = clock
        self._incarnation = f"{settings.instance}-control-{uuid.uuid4().hex[:12]}"
        self._client = PlatformClient(settings.platform, clock)
        self._follower = ConfigurationFollower(
            self._client, clock, settings.failure_domain, watch_timeout_s=WATCH_TIMEOUT_S
        )
        self._leases = {
            duty: LeaseManager(duty, self._client, clock, self._incarnation, settings.lease_s)
            for duty in (FLEET_DUTY, USAGE_DUTY)
        }
        self._demand_collector = DemandCollector(self._client, clock, settings.peer_secret)
        self._fleet = FleetTask(
            self._client,
            clock,
            self._leases[FLEET_DUTY],
            self._follower,
            self._demand_collector,
            self._incarnation,
            settings.backend_credential,
        )
        self._reporter = UsageReporter(
            self._client, clock, self._leases[USAGE_DUTY], self._incarnation, settings.window_s
        )
        app = build_admin_app(self._not_ready_reasons, self.status)
        self._server = Server(app, settings.admin_listen)
        self._presence: ControlPresence | None = None
        self._stopping = False

    @property
    def incarnation(self) -> str:
        """Unique id of this run of the process."""
        return self._incarnation

    @property
    def admin_address(self) -> str:
        """Address `host:port` of the admin interface."""
        return self._server.address

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses by name."""
        return {"admin": self.admin_address, "incarnation": self._incarnation}

    def start(self) -> None:
        """Bind the admin port, start the tasks and compete for the leases."""
        self._server.start()
        self._presence = self._build_presence()
        self._presence.start()
        self._follower.start()
        for lease in self._leases.values():
            lease.start()
        self._fleet.start()
        self._reporter.start()

    def stop(self) -> None:
        """Stop the tasks, then release the leases so that a successor can take over immediately."""
        self._stopping = True
        self._fleet.stop()
        self._reporter.stop()
        for lease in self._leases.values():
            lease.stop()
        if self._presence is not None:
            self._presence.stop()
        self._follower.stop()
        self._server.close()
        self._client.close()

    def status(self) -> dict[str, Any]:
        """Return the status as a JSON document."""
        reasons = self._not_ready_reasons()
        return {
            "incarnation": self._incarnation,
            "role": ROLE,
            "failure_domain": self._settings.failure_domain,
            "generation": self._follower.snapshot.generation,
            "ready": not reasons,
            "reasons": reasons,
            "leases": {duty: self._lease_status(lease) for duty, lease in self._leases.items()},
            "fleet": {name: _plan_status(plan) for name, plan in self._fleet.plans.items()},
            "demand_from": self._demand_collector.fresh_entries,
            "last_window_reported": max(self._reporter.reported, default=None),
        }

    def _build_presence(self) -> ControlPresence:
        presence = Presence(
            self._incarnation,
            self.admin_address,
            self._settings.failure_domain,
            role=ROLE,
            admin=self.admin_address,
        )
        lease = self._leases[FLEET_DUTY]
        return ControlPresence(
            self._client, self._clock, presence, lambda: lease.current_grant() is not None
        )

    def _lease_status(self, lease: LeaseManager) -> dict[str, Any]:
        record, grant = lease.record, lease.current_grant()
        return {
            "holder": record.holder if record else "",
            "term": record.term if record else 0,
            "held_here": grant is not None,
            "left_s": grant.until - self._clock.monotonic() if grant else 0.0,
        }

    def _not_ready_reasons(self) -> list[str]:
        if self._stopping:
            return ["stopping"]
        last_response_at = self._client.last_response_at
        if last_response_at is None:
            return ["the platform has not answered yet"]
        if self._clock.monotonic() - last_response_at > PLATFORM_TIMEOUT_S:
            return ["the platform does not answer"]
        return []


def build_control(settings: Settings) -> Control:
    """Build a control process without starting it."""
    return Control(settings, SystemClock())


def _plan_status(plan: FleetPlan) -> dict[str, Any]:
    targets = [
        {"failure_domain": site.failure_domain, "cheap": site.cheap, "servers": count}
        for site, count in plan.targets.items()
    ]
    return {"need": cattrs.unstructure(plan.need), "targets": targets}

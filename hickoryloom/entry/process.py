"""The entry process: builds, connects and runs its components."""

from __future__ import annotations

import random
import uuid
from collections.abc import Iterable
from typing import Any

import attrs
import falcon
import gevent
import logbook

from hickoryloom.admission import Admission
from hickoryloom.claims import Claims
from hickoryloom.clock import Clock, SystemClock
from hickoryloom.config import Settings
from hickoryloom.configuration import ConfigurationFollower, ConfigurationPeers, Snapshot
from hickoryloom.entry.accounting import Accounting
from hickoryloom.entry.app import PEER_PORT_KEY, build_caller_app
from hickoryloom.entry.decisions import DecisionLog, add_explain_route
from hickoryloom.entry.hand_over import UNABLE_REASONS, EntryHandOvers
from hickoryloom.entry.messages import ClassSummary
from hickoryloom.entry.request_handler import EntryComponents
from hickoryloom.evidence import (
    AgedRecord,
    InstanceRanking,
    Record,
    SharedRecords,
    record_with_age,
    record_with_time,
)
from hickoryloom.fleet import DemandMeter, add_demand_routes
from hickoryloom.handover import (
    HandOverClient,
    HandOverPeer,
    HandOverPeers,
    HandOverReceiver,
    is_handed_over,
)
from hickoryloom.http import Server
from hickoryloom.http.admin import build_admin_app
from hickoryloom.keys import OpenCalls, ViewGuard, WithdrawalTask
from hickoryloom.logs import log_event
from hickoryloom.membership import Heartbeat, Membership, Peer
from hickoryloom.metrics import Attainment, Measure, MetricsRecorder
from hickoryloom.quarantine import QUARANTINE_TOPICS, Quarantine
from hickoryloom.reach import REACH_TOPICS, Reach, ReachProbe
from hickoryloom.relay import Relay
from hickoryloom.routing import BackendDirectory, BackendView, Router
from hickoryloom.shutdown import StopStep, run_stop_steps
from hickoryloom.store import PlatformClient
from hickoryloom.upstream import ConnectionPool
from hickoryloom.usage import UsageCounter

__all__ = ["Entry", "build_entry"]

FIRST_GENERATION_WAIT_S = 5.0
FIRST_GENERATION_POLL_S = 0.02
UNKNOWN_AGE_S = 1e9

HANDED_OVER_WAIT_S = 30.0
"""Longest wait at a planned stop for calls that other entries have handed over."""

MAX_EVIDENCE_RECORDS = 50
"""Records in one heartbeat, about 5 KB."""

log = logbook.Logger("hickoryloom.entry")


class Entry:
    """Serves callers; every instance runs one such process for each core granted to it.

    Args:
        settings: Settings of the process.
        clock: Source of time.
        rng: Source of random numbers.
    """

    def __init__(self, settings: Settings, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._incarnation = f"{settings.instance}-{uuid.uuid4().hex[:12]}"
        self._stopping = False
        self._peer_app = falcon.App()
        self._peer_server = _bind_server(self._serve_peer, settings.peer_listen)
        self._metrics = MetricsRecorder()
        self._decisions = DecisionLog()
        admin_app = build_admin_app(self.unready_reasons, self.status, self._render_metrics)
        add_explain_route(admin_app, self._decisions)
        self._admin_server = _bind_server(admin_app, settings.admin_listen)
        self._settings = attrs.evolve(
            settings,
            peer_listen=self._peer_server.address,
            admin_listen=self._admin_server.address,
        )
        self._client = PlatformClient(settings.platform, clock)
        self._follower = ConfigurationFollower(self._client, clock, settings.failure_domain, rng)
        self._configuration_peers = ConfigurationPeers(
            self._follower,
            clock,
            settings.seeds,
            settings.peer_secret,
            rng,
            self._own_address,
        )
        self._membership = Membership(
            self._settings, self._incarnation, clock, self._client, self._build_heartbeat
        )
        self._view_guard = ViewGuard(self._follower)
        self._open_calls = OpenCalls(lambda key_hash: key_hash in self._follower.snapshot.keys)
        self._withdrawals = WithdrawalTask(
            self._follower, self._view_guard, self._open_calls, clock
        )
        self._admission = Admission(self._incarnation, clock, rng)
        self._router = Router(clock, rng, settings.failure_domain)
        self._directory = BackendDirectory(
            self._client, clock, rng, self._router.apply_load_report, self._router.apply_cache_event
        )
        self._ranking = InstanceRanking(self._own_address)
        self._evidence = SharedRecords(self._incarnation, (*QUARANTINE_TOPICS, *REACH_TOPICS))
        quarantine = Quarantine(self._incarnation, self._evidence, self._ranking)
        self._reach = Reach(self._own_address, self._evidence)
        self._relay = Relay(
            self._router,
            clock,
            settings.backend_credential,
            quarantine=quarantine,
            reach=self._reach,
        )
        self._probe = ReachProbe(
            self._reach, self._relay.connections, self._router.usable_addresses, clock, rng
        )
        self._hand_overs = HandOverClient(
            HandOverPeers(self._own_address, self._reach.is_cut_off_at, rng),
            ConnectionPool(clock, id_header=""),
            UNABLE_REASONS,
        )
        self._claims = Claims(self._client, clock, self._incarnation, self._is_live)
        self._usage = UsageCounter(
            self._client,
            clock,
            self._incarnation,
            settings.window_s,
            self._membership.peers,
            settings.failure_domain,
            settings.peer_secret,
        )
        self._demand = DemandMeter(self._incarnation)
        self._accounting = Accounting(
            clock, self._metrics, self._usage, self._decisions, self._demand
        )
        self._caller_app = build_caller_app(self._build_components())
        self._api_server = _bind_server(self._caller_app, settings.listen)
        self._connect_components()

    @property
    def incarnation(self) -> str:
        """Unique id of this run of the process."""
        return self._incarnation

    @property
    def addresses(self) -> dict[str, str]:
        """Bound addresses for callers, peers and operators."""
        return {
            "listen": self._api_server.address,
            "peer": self._peer_server.address,
            "admin": self._admin_server.address,
        }

    @property
    def open_requests(self) -> int:
        """Number of requests that are running or queued."""
        return self._admission.waiting + self._admission.in_flight

    def unready_reasons(self) -> list[str]:
        """Return the reasons why the load balancer should not route here; empty when ready."""
        reasons = []
        if self._stopping:
            reasons.append("stopping")
        if not self._follower.snapshot.generation:
            reasons.append("no configuration")
        elif not self._view_guard.ready(self._clock.monotonic()):
            reasons.append("cut off from the platform and from peers")
        return reasons

    def status(self) -> dict[str, object]:
        """Return the status of this entry for operators."""
        freshness = self._follower.freshness
        return {
            "role": "entry",
            "instance": self._settings.instance,
            "incarnation": self._incarnation,
            "failure_domain": self._settings.failure_domain,
            "addresses": self.addresses,
            "ready": not self.unready_reasons(),
            "reasons": self.unready_reasons(),
            "generation": self._follower.snapshot.generation,
            "platform_age_s": _finite_age_s(freshness.age(self._clock.monotonic())),
            "peers": [peer.heartbeat.incarnation for peer in self._membership.peers()],
            "pools": self._pool_status(),
            "attainment": {
                name: {**attrs.asdict(counts), "rate": round(counts.rate, 4)}
                for name, counts in sorted(self._metrics.attainment.items())
            },
            "open_requests": self.open_requests,
            "open_attempts": self._relay.open_requests,
            "open_calls": len(self._open_calls),
            "open_claims": self._claims.active,
        }

    def summarize_class(self, name: str) -> ClassSummary:
        """Return latency and target attainment of one request class at this entry."""
        return ClassSummary(
            self._metrics.attainment.get(name, Attainment()),
            self._metrics.quantile_s(name, Measure.FIRST_TOKEN, 0.95),
            self._metrics.quantile_s(name, Measure.ANSWER, 0.95),
        )

    def start(self) -> None:
        """Serve peers and operators, then callers once there is a configuration.

        The wait for it ends after `FIRST_GENERATION_WAIT_S` in any case.
        """
        self._peer_server.start()
        self._admin_server.start()
        self._follower.start()
        self._configuration_peers.start()
        self._wait_for_first_generation()
        self._membership.start()
        self._withdrawals.start()
        self._directory.start()
        self._usage.start()
        self._claims.start()
        self._probe.start()
        self._api_server.start()

    def stop(self) -> None:
        """Shut down gracefully: notify the load balancer, finish requests, hand over state."""
        steps = (
            StopStep("draining", self._drain),
            # Without a limit: a planned stop interrupts no request.
            StopStep(
                "requests-ended",
                lambda: self._api_server.finish(None),
                from_s=self._settings.drain_s,
            ),
            StopStep("hand-overs-ended", lambda: self._peer_server.wait_quiet(HANDED_OVER_WAIT_S)),
            StopStep("outcomes-written", self._claims.stop),
            StopStep("usage-written", self._usage.stop),
            StopStep("peers-notified", self._membership.stop),
            StopStep("tasks-stopped", self._stop_tasks),
        )
        run_stop_steps(steps, self._clock, log, self._describe_open)

    def _drain(self) -> None:
        self._stopping = True
        self._api_server.drain()

    def _describe_open(self) -> dict[str, object]:
        """Return what callers still have at this process, for the log."""
        return {
            "open_requests": self._api_server.active,
            "reading": self._api_server.reading,
            "unread": self._api_server.unread,
            "handed_over": self._peer_server.active,
        }

    def _stop_tasks(self) -> None:
        self._withdrawals.stop()
        self._probe.stop()
        self._directory.stop()
        self._configuration_peers.stop()
        self._follower.stop()
        self._admission.stop()
        self._relay.stop()
        for server in (self._api_server, self._peer_server, self._admin_server):
            server.close()

    def _build_components(self) -> EntryComponents:
        return EntryComponents(
            clock=self._clock,
            follower=self._follower,
            view_guard=self._view_guard,
            open_calls=self._open_calls,
            admission=self._admission,
            claims=self._claims,
            relay=self._relay,
            accounting=self._accounting,
            reach=self._reach,
            hand_overs=EntryHandOvers(self._hand_overs, self._clock, self._settings.instance),
            receiver=HandOverReceiver(self._own_address, self._settings.peer_secret),
        )

    def _serve_peer(self, environ: dict[str, Any], start_response: Any) -> Any:
        """Serve another entry: what it hands over, or the routes for peers."""
        if is_handed_over(environ):
            environ[PEER_PORT_KEY] = True
            return self._caller_app(environ, start_response)
        return self._peer_app(environ, start_response)

    def _connect_components(self) -> None:
        self._membership.add_routes(self._peer_app)
        self._configuration_peers.add_routes(self._peer_app)
        self._usage.add_routes(self._peer_app)
        add_demand_routes(
            self._peer_app,
            lambda: self._demand.demand(self._clock.monotonic()),
            self._directory.mark_leaving,
            self._settings.peer_secret,
        )
        self._follower.subscribe(self._apply_snapshot)
        self._directory.subscribe(self._apply_views)
        self._membership.subscribe(self._apply_peers)
        self._admission.on_heartbeat_needed(self._membership.request_exchange)
        self._evidence.on_change = self._request_evidence_exchange

    def _apply_snapshot(self, old: Snapshot, new: Snapshot) -> None:
        self._directory.set_snapshot(new)
        self._admission.set_snapshot(new)
        self._accounting.set_classes(new.classes)
        log_event(log, "configuration-in-force", generation=new.generation)

    def _apply_views(self, views: Iterable[BackendView]) -> None:
        known = tuple(views)
        self._router.set_views(known)
        self._admission.set_backends(known)

    def _apply_peers(self, peers: tuple[Peer, ...]) -> None:
        self._admission.set_peers(peers, self._membership.missing)
        self._directory.apply_peers(peers)
        self._ranking.set_others(peer.heartbeat.address for peer in peers)
        self._hand_overs.peers.set_peers(
            HandOverPeer(
                peer.heartbeat.address, peer.heartbeat.failure_domain, self._settings.peer_secret
            )
            for peer in peers
            if not peer.heartbeat.stopping
        )
        now = self._clock.monotonic()
        for peer in peers:
            # The age was stated when the heartbeat was sent.
            received = (
                record_with_time(sent, peer.received_at) for sent in peer.heartbeat.evidence
            )
            self._evidence.merge(received, now)
        self._configuration_peers.set_peers(peers, self._membership.missing)

    def _build_heartbeat(self) -> Heartbeat:
        freshness = self._follower.freshness
        return Heartbeat(
            incarnation=self._incarnation,
            address=self._own_address,
            failure_domain=self._settings.failure_domain,
            generation=freshness.generation,
            revision=freshness.revision,
            platform_age_s=_finite_age_s(freshness.age(self._clock.monotonic())),
            pools=self._admission.summaries(),
            leaving=self._directory.leaving,
            stopping=self._stopping,
            evidence=self._latest_evidence(),
        )

    @property
    def _own_address(self) -> str:
        return self._settings.advertise or self._peer_server.address

    def _latest_evidence(self) -> tuple[AgedRecord, ...]:
        now = self._clock.monotonic()
        latest = self._evidence.latest(MAX_EVIDENCE_RECORDS, now)
        return tuple(record_with_age(record, now) for record in latest)

    def _request_evidence_exchange(self, record: Record) -> None:
        if self._evidence.is_own(record):
            self._membership.request_exchange()

    def _is_live(self, incarnation: str) -> bool:
        """Return whether an entry is live, or silent without being known to have ended."""
        known = {peer.heartbeat.incarnation for peer in self._membership.peers()}
        return incarnation in known or incarnation in self._membership.missing

    def _wait_for_first_generation(self) -> None:
        with gevent.Timeout(FIRST_GENERATION_WAIT_S, False):
            while not self._follower.snapshot.generation:
                gevent.sleep(FIRST_GENERATION_POLL_S)

    def _pool_status(self) -> dict[str, dict[str, int]]:
        summaries = self._admission.summaries()
        pools = {}
        for name in sorted(self._follower.snapshot.pools):
            views = [view for view in self._directory.views if view.pool == name]
            summary = summaries.get(name)
            pools[name] = {
                "backend_servers": len(views),
                "leaving": sum(1 for view in views if view.leaving),
                "slots": sum(view.slots for view in views if not view.leaving),
                "in_flight": summary.in_flight if summary else 0,
                "waiting": sum(summary.backlog.values()) if summary else 0,
            }
        return pools

    def _render_metrics(self) -> str:
        return self._metrics.render(
            {
                "generation": self._follower.snapshot.generation,
                "open_requests": self.open_requests,
                "open_attempts": self._relay.open_requests,
                "open_calls": len(self._open_calls),
                "requests_in_flight": self._admission.in_flight,
                "requests_waiting": self._admission.waiting,
                "peers": len(self._membership.peers()),
                "backend_connections": self._relay.connections.in_use,
            }
        )


def _finite_age_s(age_s: float) -> float:
    """Replace an unknown (infinite) age by a very long one, since JSON has no infinity."""
    return min(age_s, UNKNOWN_AGE_S)


def _bind_server(app: Any, address: str) -> Server:
    server = Server(app, address)
    server.bind()
    return server


def build_entry(settings: Settings) -> Entry:
    """Build an entry with the system clock and a system-seeded random number generator.

    Raises:
        OSError: An address can't be bound.
    """
    return Entry(settings, SystemClock(), random.Random())

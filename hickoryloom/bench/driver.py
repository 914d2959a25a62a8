"""Discrete-event simulation of entries, engines, load reports and heartbeats under one policy.

The simulation uses no sockets and no processes. Each entry runs the production decision logic on
a manual clock, and an engine is a number of slots with a fixed speed. To add an experiment, put a
JSON file into `bench/experiments` (`hickoryloom.bench.experiment` declares its fields); to add a
policy, see `hickoryloom.bench.policies`; to add a measure, see `hickoryloom.bench.measures`.
"""

from __future__ import annotations

import heapq
import random
import zlib
from collections.abc import Callable

import attrs

from hickoryloom.admission import Admitted, Request
from hickoryloom.admission.decisions import Decision, Preempt, Refuse, Start
from hickoryloom.admission.queued_request import QueuedRequest
from hickoryloom.bench.engine import Engine, Job
from hickoryloom.bench.exchange import HeartbeatExchange
from hickoryloom.bench.experiment import ClassLoad, Experiment, Loss, PoolLoad
from hickoryloom.bench.journal import Journal, Submission
from hickoryloom.bench.policies import POLICIES, EntryContext, Policy
from hickoryloom.bench.workload import Arrival, build_arrivals
from hickoryloom.clock import ManualClock
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing import AttemptEnd, AttemptOutcome, BackendView, Choice, LoadReport
from hickoryloom.verdict import Verdict

__all__ = ["Driver"]

REPORT_PERIOD_S = 0.5
DRAIN_S = 60.0
RETRY_DELAY_S = 1.0


@attrs.define(eq=False)
class _Entry:
    name: str
    policy: Policy
    next_wake_at: float = float("inf")
    pressure_epochs: int = 0


@attrs.define(eq=False)
class _ActiveRequest:
    """A submission that has not ended yet."""

    record: Submission
    arrival: Arrival
    request: Request
    entry: _Entry
    queued_request: QueuedRequest | None = None
    admitted: Admitted | None = None
    job: Job | None = None
    engine: Engine | None = None
    choice: Choice | None = None
    sent_at: float = 0.0
    submission_number: int = 0


class Driver:
    """Runs one experiment under one policy.

    Args:
        experiment: The experiment to run.
        policy: Name of the policy.
    """

    def __init__(self, experiment: Experiment, policy: str) -> None:
        self.journal = Journal(experiment)
        self._experiment = experiment
        self._clock = ManualClock()
        self._rng = random.Random(experiment.seed + 1)
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0
        self._pools = {pool.name: pool for pool in experiment.pools}
        self._engines = self._build_engines()
        self._active_requests: dict[str, _ActiveRequest] = {}
        self.exchange = HeartbeatExchange(
            self._clock.monotonic,
            self._schedule_after,
            self._rng,
            experiment.delay_s,
            experiment.loss,
        )
        self._entries = [self._build_entry(policy, n) for n in range(experiment.entries)]

    def run(self) -> Journal:
        """Run the simulation to its end and return the journal."""
        for arrival in build_arrivals(self._experiment):
            self._schedule_at(arrival.at, lambda a=arrival: self._on_arrival(a, 0))  # type: ignore[misc]
        for loss in self._experiment.losses:
            self._schedule_at(loss.at_s, lambda loss=loss: self._apply_loss(loss))  # type: ignore[misc]
        self._schedule_after(0.0, self._send_load_reports)
        end = self._experiment.duration_s + DRAIN_S
        while self._events and self._events[0][0] <= end:
            at, _, action = heapq.heappop(self._events)
            self._clock.now = max(self._clock.now, at)
            action()
        self.journal.messages = self.exchange.messages
        return self.journal

    def _schedule_at(self, at: float, action: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, action))

    def _schedule_after(self, delay: float, action: Callable[[], None]) -> None:
        self._schedule_at(self._clock.now + delay, action)

    def _build_engines(self) -> dict[str, Engine]:
        engines: dict[str, Engine] = {}
        slow = list(self._experiment.slow)
        for pool in self._experiment.pools:
            for group in pool.groups:
                for _ in range(group.count):
                    name = f"{pool.name}-{group.domain}-{len(engines)}"
                    view = BackendView(name, "", group.domain, pool.name, group.cheap, pool.slots)
                    token_s = (slow.pop(0) if slow else 1.0) / pool.tokens_per_s
                    engines[name] = Engine(
                        view,
                        group.price,
                        token_s,
                        self._schedule_at,
                        self._on_first_token,
                        self._on_job_done,
                    )
        return engines

    def _build_entry(self, policy: str, number: int) -> _Entry:
        name = f"entry-{number}"
        rng = random.Random(self._experiment.seed * 1000 + number)
        context = EntryContext(self._experiment, number, name, self._clock, rng)
        entry = _Entry(name, POLICIES[policy](context))
        entry.policy.admission.set_snapshot(self._experiment.snapshot(), 0.0)
        self._set_views(entry)
        if entry.policy.exchanges_heartbeats:
            admission = entry.policy.admission
            self.exchange.add(
                name,
                lambda: admission.summaries(self._clock.now),
                lambda peers: self._apply(entry, admission.set_peers(peers, self._clock.now)),
            )
        return entry

    def _set_views(self, entry: _Entry) -> None:
        views = [engine.view for engine in self._engines.values() if engine.alive]
        entry.policy.router.set_views(views)
        self._apply(entry, entry.policy.admission.set_backends(views, self._clock.now))

    def _send_load_reports(self) -> None:
        self._schedule_after(REPORT_PERIOD_S, self._send_load_reports)
        measured_at = self._clock.now
        reports = {
            name: LoadReport(engine.running, engine.waiting, 1.0, measured_at)
            for name, engine in self._engines.items()
            if engine.alive
        }
        self._schedule_after(self._experiment.report_lag_s, lambda: self._apply_reports(reports))

    def _apply_reports(self, reports: dict[str, LoadReport]) -> None:
        for entry in self._entries:
            for name, report in reports.items():
                entry.policy.router.apply_load_report(name, report)

    def _on_arrival(
        self, arrival: Arrival, submission_number: int, delivered_before: int = 0
    ) -> None:
        now = self._clock.now
        entry = self._entries[(arrival.entry + submission_number) % len(self._entries)]
        request = self._request(arrival, submission_number, now, delivered_before)
        record = self.journal.open_submission(arrival, request, submission_number, delivered_before)
        active = _ActiveRequest(
            record, arrival, request, entry, submission_number=submission_number
        )
        self._active_requests[request.id] = active
        patience = self._experiment.patience * arrival.request_class.first_token_ms / 1000
        self._schedule_after(patience, lambda: self._on_patience_expired(active))
        decider = self._decider(entry, request)
        if decider is entry:
            self._submit(active, decider)
        else:
            self.exchange.messages += 2
            self._schedule_after(self._experiment.delay_s, lambda: self._submit(active, decider))

    def _max_wait_s(self, request_class: ClassLoad, delivered_before: int) -> float:
        """Return the longest wait; a resumed request has already delivered its first token."""
        first_token_s = request_class.first_token_ms / 1000
        if not delivered_before:
            return first_token_s
        return request_class.answer_ms / 1000 or self._experiment.patience * first_token_s

    def _request(
        self, arrival: Arrival, submission_number: int, now: float, delivered_before: int
    ) -> Request:
        request_class = arrival.request_class
        prompt_s = request_class.prompt_tokens / self._pools[request_class.pool].prompt_tokens_per_s
        return Request(
            id=f"{arrival.number}-{submission_number}-{self._sequence}",
            customer=arrival.customer.name,
            service=request_class.pool,
            pool=request_class.pool,
            request_class=request_class.name,
            tier=request_class.tier,
            idempotent=True,
            arrived=now,
            deadline=now + self._max_wait_s(request_class, delivered_before) - prompt_s,
            prompt_tokens=request_class.prompt_tokens,
            prefix_hash=arrival.prefix,
            stream=True,
        )

    def _decider(self, entry: _Entry, request: Request) -> _Entry:
        if not entry.policy.dispatcher:
            return entry
        return self._entries[zlib.crc32(request.pool.encode()) % len(self._entries)]

    def _submit(self, active: _ActiveRequest, decider: _Entry) -> None:
        admission = decider.policy.admission
        active.queued_request = admission.submit(active.request, self._clock.now)
        self._apply(decider, admission.dispatch(active.request.pool, self._clock.now))

    def _apply(self, entry: _Entry, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                self._start(self._active_requests[decision.admitted.request.id], decision.admitted)
            elif isinstance(decision, Refuse):
                active = self._active_requests[decision.queued_request.request.id]
                self._refuse(active, decision.refused.retry_after_s, decision)
            elif isinstance(decision, Preempt):
                preempted = self._active_requests.get(decision.admitted.request.id)
                if preempted is not None:
                    self._preempt(preempted)
        self._notify_peers(entry)
        self._schedule_wake(entry)

    def _notify_peers(self, entry: _Entry) -> None:
        if not entry.policy.exchanges_heartbeats:
            return
        admission = entry.policy.admission
        epochs, exchange_wanted = admission.pressure_epochs(), admission.needs_peer_exchange()
        if epochs != entry.pressure_epochs or exchange_wanted:
            self.exchange.request_exchange(entry.name)
        entry.pressure_epochs = epochs

    def _schedule_wake(self, entry: _Entry) -> None:
        at = entry.policy.admission.next_wake()
        if at < entry.next_wake_at:
            entry.next_wake_at = at
            self._schedule_at(at, lambda: self._wake(entry, at))

    def _wake(self, entry: _Entry, at: float) -> None:
        if entry.next_wake_at == at:
            entry.next_wake_at = float("inf")
            self._apply(entry, entry.policy.admission.dispatch_due(self._clock.now))

    def _start(self, active: _ActiveRequest, admitted: Admitted) -> None:
        active.admitted = admitted
        self.journal.record_start(active.record, admitted, self._clock.now)
        self._send(active, frozenset())

    def _send(self, active: _ActiveRequest, tried: frozenset[str]) -> None:
        now = self._clock.now
        choice = active.entry.policy.router.choose(active.request, tried)
        engine = None if choice is None else self._engines[choice.backend.id]
        if choice is None or engine is None:
            self._end(active, whole=False)
            self._schedule_retry(active, RETRY_DELAY_S)
            return
        if not engine.alive:
            self._send(active, tried | {choice.backend.id})
            return
        active.choice, active.engine = choice, engine
        active.sent_at = active.entry.policy.router.start_attempt(choice, active.request)
        request_class = active.arrival.request_class
        prompt_tokens = request_class.prompt_tokens + active.record.delivered
        priority = active.request.tier if active.entry.policy.engine_priorities else 0
        active.job = Job(
            active,
            priority,
            prompt_tokens / self._pools[request_class.pool].prompt_tokens_per_s,
            active.arrival.tokens - active.record.delivered,
        )
        engine.submit(active.job, now)

    def _on_first_token(self, job: Job) -> None:
        active: _ActiveRequest = job.owner
        if active.choice is not None:
            active.entry.policy.router.record_first_token(active.choice, active.sent_at)

    def _finish_engine_attempt(self, active: _ActiveRequest, end: AttemptEnd) -> None:
        if active.choice is None:
            return
        outcome = AttemptOutcome(end, active.sent_at, self._clock.now)
        active.entry.policy.router.finish_attempt(active.choice, active.request, outcome)
        active.choice = None

    def _on_job_done(self, job: Job) -> None:
        active: _ActiveRequest = job.owner
        self._record_tokens(active)
        self._end(active, whole=True)

    def _record_tokens(self, active: _ActiveRequest) -> None:
        if active.job is None or active.engine is None:
            return
        now = self._clock.now
        first_token_at = active.engine.first_token_at(active.job)
        tokens = active.engine.generated(active.job, now)
        cheap = active.engine.view.cheap
        self.journal.record_tokens(active.record, tokens, first_token_at if tokens else None, cheap)
        active.job = None

    def _end(self, active: _ActiveRequest, whole: bool) -> None:
        now = self._clock.now
        self._active_requests.pop(active.request.id, None)
        self.journal.record_end(active.record, whole, now)
        outcome = Outcome(
            Verdict.RAN,
            whole,
            output_tokens=active.record.delivered,
            first_token_at=active.record.first_token_at,
            finished_at=now,
        )
        self._finish_engine_attempt(active, AttemptEnd.DONE if whole else AttemptEnd.ABANDONED)
        if active.admitted is None:
            return
        decider = self._decider(active.entry, active.request)
        admitted = active.admitted
        if decider is active.entry:
            self._finish(decider, admitted, outcome)
        else:
            self.exchange.messages += 1
            delay = self._experiment.delay_s
            self._schedule_after(delay, lambda: self._finish(decider, admitted, outcome))

    def _finish(self, decider: _Entry, admitted: Admitted, outcome: Outcome) -> None:
        self._apply(decider, decider.policy.admission.finish(admitted, outcome, self._clock.now))

    def _refuse(self, active: _ActiveRequest, retry_after_s: float, decision: Refuse) -> None:
        self._active_requests.pop(active.request.id, None)
        self.journal.record_refusal(active.record, decision.refused, self._clock.now)
        self._schedule_retry(active, retry_after_s)

    def _schedule_retry(self, active: _ActiveRequest, after_s: float) -> None:
        if active.submission_number < self._experiment.retries:
            arrival, submission_number = active.arrival, active.submission_number + 1
            self._schedule_after(after_s, lambda: self._on_arrival(arrival, submission_number))

    def _on_patience_expired(self, active: _ActiveRequest) -> None:
        if active.request.id not in self._active_requests or active.record.delivered:
            return
        now = self._clock.now
        if active.job is not None and active.engine is not None:
            first_token_at = active.engine.first_token_at(active.job)
            if first_token_at is not None and first_token_at <= now:
                return
        decider = self._decider(active.entry, active.request)
        if active.admitted is None:
            if active.queued_request is not None:
                decider.policy.admission.withdraw(active.queued_request, now)
            self._active_requests.pop(active.request.id)
            self.journal.record_abandonment(active.record, now)
        else:
            self._stop_job(active)
            self._end(active, whole=False)
        self._schedule_retry(active, RETRY_DELAY_S)

    def _stop_job(self, active: _ActiveRequest) -> None:
        job, engine = active.job, active.engine
        self._record_tokens(active)
        if job is not None and engine is not None:
            engine.cancel(job, self._clock.now)

    def _preempt(self, active: _ActiveRequest) -> None:
        self._stop_job(active)
        resumable = active.arrival.request_class.resumable
        delivered = active.record.delivered if resumable else 0
        self.journal.record_preemption(active.record)
        self._schedule_after(0.0, lambda: self._resume_or_retry(active, delivered))

    def _resume_or_retry(self, active: _ActiveRequest, delivered: int) -> None:
        self._end(active, whole=False)
        if active.arrival.request_class.resumable:
            arrival, submission_number = active.arrival, active.submission_number
            self._on_arrival(arrival, submission_number, delivered)
        else:
            self._schedule_retry(active, RETRY_DELAY_S)

    def _apply_loss(self, loss: Loss) -> None:
        for engine in self._engines.values():
            in_domain = loss.domain in ("", engine.view.failure_domain)
            if engine.alive and in_domain and (engine.view.cheap or not loss.cheap_only):
                self._crash(engine)
        for entry in self._entries:
            self._set_views(entry)

    def _crash(self, engine: Engine) -> None:
        now = self._clock.now
        self.journal.record_server_loss(engine.view.id, now)
        lost_jobs = engine.crash()
        for job in lost_jobs:
            active: _ActiveRequest = job.owner
            self._record_tokens(active)
        for job in lost_jobs:
            active = job.owner
            self._finish_engine_attempt(active, AttemptEnd.FAILED)
            self._send(active, frozenset((engine.view.id,)))

    def pool_of(self, name: str) -> PoolLoad:
        """Return a pool of the experiment by name."""
        return self._pools[name]

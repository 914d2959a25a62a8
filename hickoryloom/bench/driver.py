"""Hands arrivals, answers, load reports and peers' words to a policy on a clock of its own.

No sockets, no processes: the decision logic of each entry is the real one, and engines are
slots with a fixed speed. To add an experiment, put a JSON file into `bench/experiments`
(`hickoryloom.bench.experiment` declares its fields); to add a policy, see
`hickoryloom.bench.policies`; to add a measure, see `hickoryloom.bench.measures`.
"""

from __future__ import annotations

import heapq
import random
import zlib
from collections.abc import Callable

import attrs

from hickoryloom.admission import Admitted, Request
from hickoryloom.admission.decisions import Decision, Preempt, Refuse, Start
from hickoryloom.admission.waiting import Waiting
from hickoryloom.bench.engine import Engine, Job
from hickoryloom.bench.exchange import Exchange
from hickoryloom.bench.experiment import ClassLoad, Experiment, Loss, PoolLoad
from hickoryloom.bench.journal import Journal, Try
from hickoryloom.bench.policies import POLICIES, EntryContext, Policy
from hickoryloom.bench.workload import Arrival, build_arrivals
from hickoryloom.clock import ManualClock
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing import AttemptEnd, AttemptOutcome, BackendView, Choice, LoadReport
from hickoryloom.verdict import Verdict

__all__ = ["Driver"]

REPORT_PERIOD_S = 0.5
DRAIN_S = 60.0
LEFT_RETRY_S = 1.0


@attrs.define(eq=False)
class _Entry:
    name: str
    policy: Policy
    wake_at: float = float("inf")
    epochs: int = 0


@attrs.define(eq=False)
class _Attempt:
    """One try of one caller, while it is under way."""

    record: Try
    arrival: Arrival
    request: Request
    entry: _Entry
    waiting: Waiting | None = None
    admitted: Admitted | None = None
    job: Job | None = None
    engine: Engine | None = None
    choice: Choice | None = None
    sent_at: float = 0.0
    tries: int = 0


class Driver:
    """Runs one experiment under one policy.

    Args:
        experiment: What happens.
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
        self._open: dict[str, _Attempt] = {}
        self.exchange = Exchange(
            self._clock.monotonic, self._after, self._rng, experiment.delay_s, experiment.loss
        )
        self._entries = [self._build_entry(policy, n) for n in range(experiment.entries)]

    def run(self) -> Journal:
        """Run to the end and return what happened."""
        for arrival in build_arrivals(self._experiment):
            self._at(arrival.at, lambda a=arrival: self._arrive(a, 0))  # type: ignore[misc]
        for loss in self._experiment.losses:
            self._at(loss.at_s, lambda found=loss: self._lose(found))  # type: ignore[misc]
        self._after(0.0, self._report_load)
        end = self._experiment.duration_s + DRAIN_S
        while self._events and self._events[0][0] <= end:
            at, _, call = heapq.heappop(self._events)
            self._clock.now = max(self._clock.now, at)
            call()
        self.journal.messages = self.exchange.messages
        return self.journal

    def _at(self, at: float, call: Callable[[], None]) -> None:
        self._sequence += 1
        heapq.heappush(self._events, (at, self._sequence, call))

    def _after(self, delay: float, call: Callable[[], None]) -> None:
        self._at(self._clock.now + delay, call)

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
                        view, group.price, token_s, self._at, self._first, self._job_done
                    )
        return engines

    def _build_entry(self, policy: str, number: int) -> _Entry:
        name = f"entry-{number}"
        rng = random.Random(self._experiment.seed * 1000 + number)
        context = EntryContext(self._experiment, number, name, self._clock, rng)
        entry = _Entry(name, POLICIES[policy](context))
        entry.policy.admission.set_snapshot(self._experiment.snapshot(), 0.0)
        self._set_views(entry)
        if entry.policy.exchanges:
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

    def _report_load(self) -> None:
        self._after(REPORT_PERIOD_S, self._report_load)
        measured = self._clock.now
        reports = {
            name: LoadReport(engine.running, engine.waiting, 1.0, measured)
            for name, engine in self._engines.items()
            if engine.alive
        }
        self._after(self._experiment.report_lag_s, lambda: self._take_reports(reports))

    def _take_reports(self, reports: dict[str, LoadReport]) -> None:
        for entry in self._entries:
            for name, report in reports.items():
                entry.policy.router.report(name, report)

    def _arrive(self, arrival: Arrival, tries: int, begun: int = 0) -> None:
        now = self._clock.now
        entry = self._entries[(arrival.entry + tries) % len(self._entries)]
        request = self._request(arrival, tries, now, begun)
        record = self.journal.begin(arrival, request, tries, begun)
        attempt = _Attempt(record, arrival, request, entry, tries=tries)
        self._open[request.id] = attempt
        patience = self._experiment.patience * arrival.request_class.first_token_ms / 1000
        self._after(patience, lambda: self._lose_patience(attempt))
        decider = self._decider(entry, request)
        if decider is entry:
            self._submit(attempt, decider)
        else:
            self.exchange.messages += 2
            self._after(self._experiment.delay_s, lambda: self._submit(attempt, decider))

    def _wait_s(self, found: ClassLoad, begun: int) -> float:
        """Return how long a request may wait; one that goes on has shown its first token."""
        first_s = found.first_token_ms / 1000
        if not begun:
            return first_s
        return found.answer_ms / 1000 or self._experiment.patience * first_s

    def _request(self, arrival: Arrival, tries: int, now: float, begun: int) -> Request:
        found = arrival.request_class
        prompt_s = found.prompt_tokens / self._pools[found.pool].prompt_tokens_per_s
        return Request(
            id=f"{arrival.number}-{tries}-{self._sequence}",
            customer=arrival.customer.name,
            service=found.pool,
            pool=found.pool,
            request_class=found.name,
            tier=found.tier,
            idempotent=True,
            arrived=now,
            deadline=now + self._wait_s(found, begun) - prompt_s,
            prompt_tokens=found.prompt_tokens,
            prefix_hash=arrival.prefix,
            stream=True,
        )

    def _decider(self, entry: _Entry, request: Request) -> _Entry:
        if not entry.policy.dispatcher:
            return entry
        return self._entries[zlib.crc32(request.pool.encode()) % len(self._entries)]

    def _submit(self, attempt: _Attempt, decider: _Entry) -> None:
        admission = decider.policy.admission
        attempt.waiting = admission.submit(attempt.request, self._clock.now)
        self._apply(decider, admission.dispatch(attempt.request.pool, self._clock.now))

    def _apply(self, entry: _Entry, decisions: list[Decision]) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                self._start(self._open[decision.admitted.request.id], decision.admitted)
            elif isinstance(decision, Refuse):
                attempt = self._open[decision.waiting.request.id]
                self._refuse(attempt, decision.refused.retry_after_s, decision)
            elif isinstance(decision, Preempt):
                running = self._open.get(decision.admitted.request.id)
                if running is not None:
                    self._preempt(running)
        self._tell_peers(entry)
        self._set_wake(entry)

    def _tell_peers(self, entry: _Entry) -> None:
        if not entry.policy.exchanges:
            return
        admission = entry.policy.admission
        epochs, wants = admission.pressure_epochs(), admission.wants_word()
        if epochs != entry.epochs or wants:
            self.exchange.send_now(entry.name)
        entry.epochs = epochs

    def _set_wake(self, entry: _Entry) -> None:
        at = entry.policy.admission.next_wake()
        if at < entry.wake_at:
            entry.wake_at = at
            self._at(at, lambda: self._wake(entry, at))

    def _wake(self, entry: _Entry, at: float) -> None:
        if entry.wake_at == at:
            entry.wake_at = float("inf")
            self._apply(entry, entry.policy.admission.dispatch_due(self._clock.now))

    def _start(self, attempt: _Attempt, admitted: Admitted) -> None:
        attempt.admitted = admitted
        self.journal.started(attempt.record, admitted, self._clock.now)
        self._send(attempt, frozenset())

    def _send(self, attempt: _Attempt, tried: frozenset[str]) -> None:
        now = self._clock.now
        choice = attempt.entry.policy.router.choose(attempt.request, tried)
        engine = None if choice is None else self._engines[choice.backend.id]
        if choice is None or engine is None:
            self._end(attempt, whole=False)
            self._come_back(attempt, LEFT_RETRY_S)
            return
        if not engine.alive:
            self._send(attempt, tried | {choice.backend.id})
            return
        attempt.choice, attempt.engine = choice, engine
        attempt.sent_at = attempt.entry.policy.router.started(choice, attempt.request)
        found = attempt.arrival.request_class
        prompt = found.prompt_tokens + attempt.record.delivered
        priority = attempt.request.tier if attempt.entry.policy.engine_priorities else 0
        attempt.job = Job(
            attempt,
            priority,
            prompt / self._pools[found.pool].prompt_tokens_per_s,
            attempt.arrival.tokens - attempt.record.delivered,
        )
        engine.submit(attempt.job, now)

    def _first(self, job: Job) -> None:
        attempt: _Attempt = job.owner
        if attempt.choice is not None:
            attempt.entry.policy.router.first_token(attempt.choice, attempt.sent_at)

    def _close_choice(self, attempt: _Attempt, end: AttemptEnd) -> None:
        if attempt.choice is None:
            return
        outcome = AttemptOutcome(end, attempt.sent_at, self._clock.now)
        attempt.entry.policy.router.finished(attempt.choice, attempt.request, outcome)
        attempt.choice = None

    def _job_done(self, job: Job) -> None:
        attempt: _Attempt = job.owner
        self._take_tokens(attempt)
        self._end(attempt, whole=True)

    def _take_tokens(self, attempt: _Attempt) -> None:
        if attempt.job is None or attempt.engine is None:
            return
        now = self._clock.now
        first = attempt.engine.first_token_at(attempt.job)
        tokens = attempt.engine.generated(attempt.job, now)
        cheap = attempt.engine.view.cheap
        self.journal.tokens(attempt.record, tokens, first if tokens else None, cheap)
        attempt.job = None

    def _end(self, attempt: _Attempt, whole: bool) -> None:
        now = self._clock.now
        self._open.pop(attempt.request.id, None)
        self.journal.ended(attempt.record, whole, now)
        outcome = Outcome(
            Verdict.RAN,
            whole,
            output_tokens=attempt.record.delivered,
            first_token_at=attempt.record.first_token_at,
            finished_at=now,
        )
        self._close_choice(attempt, AttemptEnd.DONE if whole else AttemptEnd.ABANDONED)
        if attempt.admitted is None:
            return
        decider = self._decider(attempt.entry, attempt.request)
        admitted = attempt.admitted
        if decider is attempt.entry:
            self._finish(decider, admitted, outcome)
        else:
            self.exchange.messages += 1
            delay = self._experiment.delay_s
            self._after(delay, lambda: self._finish(decider, admitted, outcome))

    def _finish(self, decider: _Entry, admitted: Admitted, outcome: Outcome) -> None:
        self._apply(decider, decider.policy.admission.finish(admitted, outcome, self._clock.now))

    def _refuse(self, attempt: _Attempt, retry_after_s: float, decision: Refuse) -> None:
        self._open.pop(attempt.request.id, None)
        self.journal.refused(attempt.record, decision.refused, self._clock.now)
        self._come_back(attempt, retry_after_s)

    def _come_back(self, attempt: _Attempt, after_s: float) -> None:
        if attempt.tries < self._experiment.retries:
            arrival, tries = attempt.arrival, attempt.tries + 1
            self._after(after_s, lambda: self._arrive(arrival, tries))

    def _lose_patience(self, attempt: _Attempt) -> None:
        if attempt.request.id not in self._open or attempt.record.delivered:
            return
        now = self._clock.now
        if attempt.job is not None and attempt.engine is not None:
            first = attempt.engine.first_token_at(attempt.job)
            if first is not None and first <= now:
                return
        decider = self._decider(attempt.entry, attempt.request)
        if attempt.admitted is None:
            if attempt.waiting is not None:
                decider.policy.admission.withdraw(attempt.waiting, now)
            self._open.pop(attempt.request.id)
            self.journal.left(attempt.record, now)
        else:
            self._stop_job(attempt)
            self._end(attempt, whole=False)
        self._come_back(attempt, LEFT_RETRY_S)

    def _stop_job(self, attempt: _Attempt) -> None:
        job, engine = attempt.job, attempt.engine
        self._take_tokens(attempt)
        if job is not None and engine is not None:
            engine.cancel(job, self._clock.now)

    def _preempt(self, attempt: _Attempt) -> None:
        self._stop_job(attempt)
        resumable = attempt.arrival.request_class.resumable
        delivered = attempt.record.delivered if resumable else 0
        self.journal.preempted(attempt.record)
        self._after(0.0, lambda: self._yield_slot(attempt, delivered))

    def _yield_slot(self, attempt: _Attempt, delivered: int) -> None:
        self._end(attempt, whole=False)
        if attempt.arrival.request_class.resumable:
            arrival, tries = attempt.arrival, attempt.tries
            self._arrive(arrival, tries, delivered)
        else:
            self._come_back(attempt, LEFT_RETRY_S)

    def _lose(self, loss: Loss) -> None:
        for engine in self._engines.values():
            in_domain = loss.domain in ("", engine.view.failure_domain)
            if engine.alive and in_domain and (engine.view.cheap or not loss.cheap_only):
                self._crash(engine)
        for entry in self._entries:
            self._set_views(entry)

    def _crash(self, engine: Engine) -> None:
        now = self._clock.now
        self.journal.server_lost(engine.view.id, now)
        lost = engine.crash()
        for job in lost:
            attempt: _Attempt = job.owner
            self._take_tokens(attempt)
        for job in lost:
            attempt = job.owner
            self._close_choice(attempt, AttemptEnd.FAILED)
            self._send(attempt, frozenset((engine.view.id,)))

    def pool_of(self, name: str) -> PoolLoad:
        """Return a pool of the experiment by name."""
        return self._pools[name]

"""Accounting for each request: usage, metrics, one log line and the decision log."""

from __future__ import annotations

from collections.abc import Mapping

import logbook

from hickoryloom.admission import Admitted, Refused, Request
from hickoryloom.clock import Clock
from hickoryloom.configuration import RequestClass
from hickoryloom.entry.decisions import DecisionLog
from hickoryloom.fleet import DemandMeter
from hickoryloom.logs import log_event
from hickoryloom.metrics import Measure, MetricsRecorder
from hickoryloom.relay import Outcome
from hickoryloom.usage import UsageCounter, UsageKey, UsageTotals
from hickoryloom.verdict import Verdict

__all__ = ["Accounting"]

log = logbook.Logger("hickoryloom.entry")

MS_PER_S = 1000.0


class Accounting:
    """Records the course and the outcome of each request.

    Args:
        clock: Source of time.
        metrics: Histograms and counters.
        usage: Counter of billable usage.
        decisions: Decision log for operators.
        demand: Measures demand, by which servers are ordered.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: MetricsRecorder,
        usage: UsageCounter,
        decisions: DecisionLog,
        demand: DemandMeter,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._usage = usage
        self._decisions = decisions
        self._demand = demand
        self._classes: Mapping[str, RequestClass] = {}

    def set_classes(self, classes: Mapping[str, RequestClass]) -> None:
        """Set the request classes, whose targets determine attainment."""
        self._classes = classes

    def record_arrival(self, request: Request) -> None:
        """Record that a request has arrived for admission."""
        self._demand.record_arrival(request.arrived, request.pool, request.tier)

    def record_start(self, admitted: Admitted) -> None:
        """Record that a request was admitted."""
        request = admitted.request
        self._demand.record_start(admitted.started, request.pool, request.tier)
        wait_s = admitted.started - request.arrived
        self._metrics.record(request.request_class, request.customer, Measure.QUEUE_WAIT, wait_s)
        self._decisions.add(
            request.id,
            "admitted",
            request_class=request.request_class,
            tier=request.tier,
            wait_ms=round(wait_s * MS_PER_S, 1),
            reserved=admitted.reserved,
            estimated_tokens=admitted.estimated_tokens,
        )

    def record_refusal(self, request: Request, refused: Refused) -> None:
        """Record that a request was refused or cancelled."""
        self._metrics.count_refusal(
            request.request_class, refused.reason.value, refused.verdict.value
        )
        self._decisions.add(
            request.id,
            "refused",
            reason=refused.reason.value,
            verdict=refused.verdict.value,
            retry_after_s=refused.retry_after_s,
        )
        log_event(
            log,
            "request-refused",
            request_id=request.id,
            customer=request.customer,
            request_class=request.request_class,
            reason=refused.reason.value,
            verdict=refused.verdict.value,
            retry_after_s=refused.retry_after_s,
        )

    def record_end(self, request: Request, admitted: Admitted | None, outcome: Outcome) -> None:
        """Record the outcome of a request; called once for each request."""
        targets_met = outcome.complete and self._meets_targets(request, outcome)
        self._record_demand(request, admitted, targets_met)
        if admitted is None or outcome.verdict is Verdict.NOT_RUN:
            return
        self._count_usage(request, outcome)
        self._record_durations(request, outcome)
        self._metrics.count_tokens(
            request.request_class, outcome.output_tokens, outcome.wasted_tokens
        )
        if outcome.complete:
            self._metrics.count_response(request.request_class, targets_met)
        self._decisions.add(
            request.id,
            "ended",
            backend=outcome.backend_id,
            verdict=outcome.verdict.value,
            whole=outcome.complete,
            attempts=outcome.attempts,
            resumed=outcome.resumed,
        )
        log_event(
            log,
            "request-ended",
            request_id=request.id,
            customer=request.customer,
            request_class=request.request_class,
            backend=outcome.backend_id,
            verdict=outcome.verdict.value,
            whole=outcome.complete,
            output_tokens=outcome.output_tokens,
            wasted_tokens=outcome.wasted_tokens,
            attempts=outcome.attempts,
            resumed=outcome.resumed,
            seconds=outcome.finished_at - request.arrived,
        )

    def _record_demand(
        self, request: Request, admitted: Admitted | None, targets_met: bool
    ) -> None:
        now = self._clock.monotonic()
        if admitted is None:
            self._demand.record_refusal(now, request.pool, request.tier)
            return
        busy_s = now - admitted.started
        self._demand.record_end(now, request.pool, request.tier, busy_s, targets_met)

    def _count_usage(self, request: Request, outcome: Outcome) -> None:
        if not request.customer:
            return
        key = UsageKey(request.customer, request.service, request.request_class)
        totals = UsageTotals(1, outcome.prompt_tokens, outcome.output_tokens)
        self._usage.add(key, totals, request.id)

    def _record_durations(self, request: Request, outcome: Outcome) -> None:
        name, customer = request.request_class, request.customer
        if outcome.first_token_at is not None:
            first_token_s = outcome.first_token_at - request.arrived
            self._metrics.record(name, customer, Measure.FIRST_TOKEN, first_token_s)
        if outcome.output_tokens > 1:
            self._metrics.record(name, customer, Measure.TOKEN_GAP, outcome.worst_gap_s)
        if outcome.complete:
            answer_s = outcome.finished_at - request.arrived
            self._metrics.record(name, customer, Measure.ANSWER, answer_s)

    def _meets_targets(self, request: Request, outcome: Outcome) -> bool:
        targets = self._classes.get(request.request_class)
        if targets is None:
            return True
        if outcome.first_token_at is not None:
            first_token_s = outcome.first_token_at - request.arrived
            if first_token_s * MS_PER_S > targets.first_token_ms:
                return False
            if _mean_gap_s(outcome) * MS_PER_S > targets.token_gap_ms:
                return False
        answer_ms = (outcome.finished_at - request.arrived) * MS_PER_S
        return not targets.answer_ms or answer_ms <= targets.answer_ms


def _mean_gap_s(outcome: Outcome) -> float:
    if outcome.first_token_at is None or outcome.output_tokens < 2:
        return 0.0
    return (outcome.finished_at - outcome.first_token_at) / (outcome.output_tokens - 1)

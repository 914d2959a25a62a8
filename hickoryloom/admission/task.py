"""Admission as callers meet it: blocks a greenlet until its request is started or refused."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable

import gevent
import logbook
from gevent.event import AsyncResult, Event
from result import Err, Ok, Result

from hickoryloom.admission.decisions import Decision, Preempt, Refuse, Start
from hickoryloom.admission.messages import Admitted, RefusalReason, Refused, Request
from hickoryloom.admission.state import AdmissionState
from hickoryloom.admission.waiting import Waiting
from hickoryloom.clock import Clock
from hickoryloom.configuration import Snapshot
from hickoryloom.logs import log_event
from hickoryloom.membership.messages import Peer, PoolSummary
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing.messages import BackendView
from hickoryloom.verdict import Verdict

__all__ = ["Admission"]

LEFT_RETRY_S = 1.0
LONGEST_SLEEP_S = 60.0

log = logbook.Logger("hickoryloom.admission")

Answer = Result[Admitted, Refused]


class Admission:
    """Admits requests by tier, reserve, customer and deadline, in step with the peers.

    Args:
        incarnation: This entry.
        clock: Source of monotonic time.
        rng: Source of jitter for Retry-After.
    """

    def __init__(self, incarnation: str, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._state = AdmissionState(incarnation, rng)
        self._answers: dict[Waiting, AsyncResult] = {}
        self._preempt_callbacks: dict[str, Callable[[], None]] = {}
        self._urgent_callbacks: list[Callable[[], None]] = []
        self._epochs = 0
        self._wake = Event()
        self._timer: gevent.Greenlet | None = None
        self._timer_at = float("inf")

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return sum(pool.waiting for pool in self._state.pools.values())

    @property
    def in_flight(self) -> int:
        """Requests that hold a slot."""
        return sum(pool.in_flight for pool in self._state.pools.values())

    def admit(self, request: Request, cancelled: Event | None = None) -> Answer:
        """Block until `request` may start or is refused.

        Args:
            request: An authenticated request.
            cancelled: Set when the caller left or its key was withdrawn; the request then leaves
                its queue and is refused as not run.
        """
        now = self._clock.monotonic()
        waiting = self._state.submit(request, now)
        answer: AsyncResult = AsyncResult()
        self._answers[waiting] = answer
        self._apply(self._state.dispatch(request.pool, now))
        if not answer.ready() and cancelled is not None:
            return self._wait_cancellable(waiting, answer, cancelled)
        try:
            return answer.get()
        except BaseException:
            self._drop(waiting)
            raise

    def finish(self, admitted: Admitted, outcome: Outcome) -> None:
        """Free the slot of an admitted request and learn from its outcome; repeats do nothing."""
        self._preempt_callbacks.pop(admitted.request.id, None)
        self._apply(self._state.finish(admitted, outcome, self._clock.monotonic()))

    def on_preempt(self, admitted: Admitted, callback: Callable[[], None]) -> None:
        """Call `callback` once if `admitted` must give its slot to a higher tier.

        The callback must not block; the slot is free once `finish` is called.
        """
        self._preempt_callbacks[admitted.request.id] = callback

    def on_urgent(self, callback: Callable[[], None]) -> None:
        """Call `callback` when peers should be told at once, as by `Membership.send_now`."""
        self._urgent_callbacks.append(callback)

    def set_snapshot(self, snapshot: Snapshot) -> None:
        """Put a configuration in force."""
        self._apply(self._state.set_snapshot(snapshot, self._clock.monotonic()))

    def set_backends(self, views: Iterable[BackendView]) -> None:
        """Take in the known backend servers; capacity is the slots of those not leaving."""
        self._apply(self._state.set_backends(views, self._clock.monotonic()))

    def apply_peers(self, peers: Collection[Peer], missing: Collection[str] | None = None) -> None:
        """Take in the peers as membership knows them.

        Args:
            peers: Live peers.
            missing: Incarnations that are silent and not known to have ended.
        """
        self._apply(self._state.set_peers(peers, self._clock.monotonic(), missing))

    def summaries(self) -> dict[str, PoolSummary]:
        """Return this entry's demand by pool, for its heartbeat."""
        return self._state.summaries(self._clock.monotonic())

    def stop(self) -> None:
        """End the timer; requests that wait stay as they are."""
        if self._timer is not None:
            self._timer.kill(block=False)
            self._timer = None

    def _wait_cancellable(self, waiting: Waiting, answer: AsyncResult, cancelled: Event) -> Answer:
        def leave(_event: Event) -> None:
            if not answer.ready():
                self._drop(waiting)
                answer.set(Err(_left()))

        cancelled.rawlink(leave)
        try:
            return answer.get()
        except BaseException:
            self._drop(waiting)
            raise
        finally:
            cancelled.unlink(leave)

    def _drop(self, waiting: Waiting) -> None:
        self._answers.pop(waiting, None)
        now = self._clock.monotonic()
        self._state.withdraw(waiting, now)
        self._apply(self._state.dispatch(waiting.request.pool, now))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._carry_out(decision)
        self._tell_peers()
        self._set_timer()

    def _carry_out(self, decision: Decision) -> None:
        if isinstance(decision, Start):
            _log_start(decision)
            self._resolve(decision.waiting, Ok(decision.admitted))
        elif isinstance(decision, Refuse):
            _log_refusal(decision)
            self._resolve(decision.waiting, Err(decision.refused))
        elif isinstance(decision, Preempt):
            request = decision.admitted.request
            log_event(log, "preempt", request_id=request.id, request_class=request.request_class)
            callback = self._preempt_callbacks.pop(request.id, None)
            if callback is not None:
                callback()

    def _resolve(self, waiting: Waiting, answer: Answer) -> None:
        pending = self._answers.pop(waiting, None)
        if pending is not None:
            pending.set(answer)

    def _tell_peers(self) -> None:
        epochs = self._state.pressure_epochs()
        wants = self._state.wants_word()
        urgent = epochs != self._epochs or wants
        self._epochs = epochs
        if urgent:
            for callback in self._urgent_callbacks:
                callback()

    def _set_timer(self) -> None:
        at = self._state.next_wake()
        if at == float("inf") and self._timer is None:
            return
        if self._timer is None:
            self._timer = gevent.spawn(self._run_timer)
        if at < self._timer_at:
            self._wake.set()

    def _run_timer(self) -> None:
        while True:
            self._wake.clear()
            now = self._clock.monotonic()
            self._timer_at = self._state.next_wake()
            self._wake.wait(min(max(0.0, self._timer_at - now), LONGEST_SLEEP_S))
            now = self._clock.monotonic()
            if now >= self._timer_at:
                self._apply(self._state.dispatch_due(now))


def _left() -> Refused:
    return Refused(RefusalReason.CALLER_LEFT, Verdict.NOT_RUN, LEFT_RETRY_S, "the caller left")


def _log_start(decision: Start) -> None:
    request = decision.waiting.request
    log_event(
        log,
        "start",
        request_id=request.id,
        request_class=request.request_class,
        tier=request.tier,
        pool=request.pool,
        reserved=decision.admitted.reserved,
        waited_s=decision.admitted.started - request.arrived,
    )


def _log_refusal(decision: Refuse) -> None:
    request = decision.waiting.request
    log_event(
        log,
        "refuse",
        request_id=request.id,
        customer=request.customer,
        request_class=request.request_class,
        tier=request.tier,
        pool=request.pool,
        reason=decision.refused.reason.value,
        verdict=decision.refused.verdict.value,
        retry_after_s=decision.refused.retry_after_s,
    )

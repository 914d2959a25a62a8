"""The blocking interface of admission: a greenlet waits until its request starts or is refused."""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable

import gevent
import logbook
from gevent.event import AsyncResult, Event
from result import Err, Ok, Result

from hickoryloom.admission.decisions import Decision, Preempt, Refuse, Start
from hickoryloom.admission.messages import Admitted, RefusalReason, Refused, Request
from hickoryloom.admission.queued_request import QueuedRequest
from hickoryloom.admission.state import AdmissionState
from hickoryloom.clock import Clock
from hickoryloom.configuration import Snapshot
from hickoryloom.logs import log_event
from hickoryloom.membership.messages import Peer, PoolSummary
from hickoryloom.relay.messages import Outcome
from hickoryloom.routing.messages import BackendView
from hickoryloom.verdict import Verdict

__all__ = ["Admission"]

CALLER_DISCONNECTED_RETRY_S = 1.0
MAX_SLEEP_S = 60.0

log = logbook.Logger("hickoryloom.admission")

AdmitResult = Result[Admitted, Refused]


class Admission:
    """Admits requests by tier, reserve, customer limit and deadline, coordinated with the peers.

    Args:
        incarnation: This entry's incarnation.
        clock: Source of monotonic time.
        rng: Source of jitter for Retry-After.
    """

    def __init__(self, incarnation: str, clock: Clock, rng: random.Random) -> None:
        self._clock = clock
        self._state = AdmissionState(incarnation, rng)
        self._pending_results: dict[QueuedRequest, AsyncResult] = {}
        self._preempt_callbacks: dict[str, Callable[[], None]] = {}
        self._urgent_callbacks: list[Callable[[], None]] = []
        self._pressure_epochs = 0
        self._wake = Event()
        self._timer: gevent.Greenlet | None = None
        self._timer_at = float("inf")

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a slot."""
        return sum(pool.waiting for pool in self._state.pools.values())

    @property
    def in_flight(self) -> int:
        """Number of requests that hold a slot."""
        return sum(pool.in_flight for pool in self._state.pools.values())

    def admit(self, request: Request, cancelled: Event | None = None) -> AdmitResult:
        """Block until `request` may start or is refused.

        Args:
            request: An authenticated request.
            cancelled: Set when the caller disconnects or its API key is withdrawn. The request is
                then removed from its queue and refused as not run.
        """
        now = self._clock.monotonic()
        queued_request = self._state.submit(request, now)
        pending: AsyncResult = AsyncResult()
        self._pending_results[queued_request] = pending
        self._apply(self._state.dispatch(request.pool, now))
        if not pending.ready() and cancelled is not None:
            return self._wait_cancellable(queued_request, pending, cancelled)
        try:
            return pending.get()
        except BaseException:
            self._drop(queued_request)
            raise

    def finish(self, admitted: Admitted, outcome: Outcome) -> None:
        """Release the slot of an admitted request and update the estimates from its outcome.

        Repeated calls have no effect.
        """
        self._preempt_callbacks.pop(admitted.request.id, None)
        self._apply(self._state.finish(admitted, outcome, self._clock.monotonic()))

    def on_preempt(self, admitted: Admitted, callback: Callable[[], None]) -> None:
        """Register a callback that is called once if `admitted` has to release its slot.

        The callback must not block. The slot is released when `finish` is called.
        """
        self._preempt_callbacks[admitted.request.id] = callback

    def on_heartbeat_needed(self, callback: Callable[[], None]) -> None:
        """Register a callback for when a heartbeat should be sent at once.

        `Membership.request_exchange` is a suitable callback.
        """
        self._urgent_callbacks.append(callback)

    def set_snapshot(self, snapshot: Snapshot) -> None:
        """Apply a new configuration."""
        self._apply(self._state.set_snapshot(snapshot, self._clock.monotonic()))

    def set_backends(self, views: Iterable[BackendView]) -> None:
        """Update the backend servers; the slots of those that are not leaving are the capacity."""
        self._apply(self._state.set_backends(views, self._clock.monotonic()))

    def set_peers(self, peers: Collection[Peer], missing: Collection[str] | None = None) -> None:
        """Update the peers from the membership.

        Args:
            peers: Live peers.
            missing: Incarnations that are silent and not known to have ended; None to keep each
                silent peer as missing for a fixed time.
        """
        self._apply(self._state.set_peers(peers, self._clock.monotonic(), missing))

    def summaries(self) -> dict[str, PoolSummary]:
        """Return this entry's summary of each pool, for its heartbeat."""
        return self._state.summaries(self._clock.monotonic())

    def stop(self) -> None:
        """Stop the timer; queued requests are not affected."""
        if self._timer is not None:
            self._timer.kill(block=False)
            self._timer = None

    def _wait_cancellable(
        self, queued_request: QueuedRequest, pending: AsyncResult, cancelled: Event
    ) -> AdmitResult:
        def on_cancelled(_event: Event) -> None:
            if not pending.ready():
                self._drop(queued_request)
                pending.set(Err(_caller_left()))

        cancelled.rawlink(on_cancelled)
        try:
            return pending.get()
        except BaseException:
            self._drop(queued_request)
            raise
        finally:
            cancelled.unlink(on_cancelled)

    def _drop(self, queued_request: QueuedRequest) -> None:
        self._pending_results.pop(queued_request, None)
        now = self._clock.monotonic()
        self._state.withdraw(queued_request, now)
        self._apply(self._state.dispatch(queued_request.request.pool, now))

    def _apply(self, decisions: list[Decision]) -> None:
        for decision in decisions:
            self._execute(decision)
        self._notify_peers()
        self._set_timer()

    def _execute(self, decision: Decision) -> None:
        if isinstance(decision, Start):
            _log_start(decision)
            self._resolve(decision.queued_request, Ok(decision.admitted))
        elif isinstance(decision, Refuse):
            _log_refusal(decision)
            self._resolve(decision.queued_request, Err(decision.refused))
        elif isinstance(decision, Preempt):
            request = decision.admitted.request
            log_event(log, "preempt", request_id=request.id, request_class=request.request_class)
            callback = self._preempt_callbacks.pop(request.id, None)
            if callback is not None:
                callback()

    def _resolve(self, queued_request: QueuedRequest, result: AdmitResult) -> None:
        pending = self._pending_results.pop(queued_request, None)
        if pending is not None:
            pending.set(result)

    def _notify_peers(self) -> None:
        epochs = self._state.pressure_epochs()
        exchange_wanted = self._state.needs_peer_exchange()
        urgent = epochs != self._pressure_epochs or exchange_wanted
        self._pressure_epochs = epochs
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
            self._wake.wait(min(max(0.0, self._timer_at - now), MAX_SLEEP_S))
            now = self._clock.monotonic()
            if now >= self._timer_at:
                self._apply(self._state.dispatch_due(now))


def _caller_left() -> Refused:
    return Refused(
        RefusalReason.CALLER_DISCONNECTED,
        Verdict.NOT_RUN,
        CALLER_DISCONNECTED_RETRY_S,
        "the caller left",
    )


def _log_start(decision: Start) -> None:
    request = decision.queued_request.request
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
    request = decision.queued_request.request
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

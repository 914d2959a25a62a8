"""Detects stalled connections by querying the engine over a new connection."""

from __future__ import annotations

import gevent
from gevent.pool import Pool

from hickoryloom.admission.messages import RefusalReason
from hickoryloom.relay.attempt import Attempt
from hickoryloom.relay.attempts import Attempts, RelayContext
from hickoryloom.upstream import FailureCause

__all__ = ["Watchdog"]

CHECK_INTERVAL_S = 0.25
MAX_CONCURRENT_PROBES = 64


class Watchdog:
    """Checks all open requests periodically, which avoids a timer per stream event.

    Args:
        context: What all requests of the relay share.
        service_timeout_s: Seconds without a byte after which a call to a service is aborted.
        caller_timeout_s: Seconds after which the request of a caller that reads nothing is
            cancelled.
    """

    def __init__(
        self, context: RelayContext, service_timeout_s: float, caller_timeout_s: float
    ) -> None:
        self._context = context
        self._service_timeout_s = service_timeout_s
        self._caller_timeout_s = caller_timeout_s
        self._probes = Pool(MAX_CONCURRENT_PROBES)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start checking; does nothing if already started."""
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop checking."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._probes.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            now = self._context.clock.monotonic()
            for attempts in list(self._context.open.values()):
                if attempts.current is not None:
                    self._check_caller(attempts, attempts.current, now)
                    self._check_backend(attempts.current, attempts.for_engine, now)
            self._context.connections.close_expired()

    def _check_caller(self, attempts: Attempts, attempt: Attempt, now: float) -> None:
        """Cancel a request whose caller has not read for longer than the timeout."""
        exchange = attempt.exchange
        if (
            exchange is None
            or exchange.wait_started_at is not None
            or exchange.last_wait_started_at is None
        ):
            return
        if now - exchange.last_wait_started_at > self._caller_timeout_s:
            attempts.cancel(RefusalReason.CALLER_DISCONNECTED)

    def _check_backend(self, attempt: Attempt, for_engine: bool, now: float) -> None:
        exchange = attempt.exchange
        since = exchange.wait_started_at if exchange is not None else None
        if exchange is None or since is None:
            return
        if not for_engine:
            if now - since > self._service_timeout_s:
                exchange.interrupt(FailureCause.TIMED_OUT)
            return
        if not self._probes.full() and attempt.stall_detector.is_probe_due(since, now):
            self._probes.spawn(self._probe, attempt)

    def _probe(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        assert exchange is not None
        status = self._context.engine.status(exchange.address, attempt.id)
        if attempt.stall_detector.record_probe(
            exchange.wait_started_at, status, attempt.next_position
        ):
            exchange.interrupt(FailureCause.TIMED_OUT)

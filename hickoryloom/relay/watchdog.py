"""Finds connections that went silent, by asking the engine over a new one."""

from __future__ import annotations

import gevent
from gevent.pool import Pool

from hickoryloom.admission.messages import RefusalReason
from hickoryloom.relay.attempt import Attempt
from hickoryloom.relay.attempts import Attempts, RelayParts
from hickoryloom.upstream import FailureCause

__all__ = ["Watchdog"]

CHECK_INTERVAL_S = 0.25
MAX_OPEN_PROBES = 64


class Watchdog:
    """Looks through all open requests now and then, so that no event pays for a timer.

    Args:
        parts: What all requests share.
        service_timeout_s: Seconds without a byte after which a plain service is given up.
        caller_timeout_s: Seconds without asking for more after which a caller is given up.
    """

    def __init__(
        self, parts: RelayParts, service_timeout_s: float, caller_timeout_s: float
    ) -> None:
        self._parts = parts
        self._service_timeout_s = service_timeout_s
        self._caller_timeout_s = caller_timeout_s
        self._probes = Pool(MAX_OPEN_PROBES)
        self._task: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begin to look, unless it does already."""
        if self._task is None:
            self._task = gevent.spawn(self._run)

    def stop(self) -> None:
        """Stop looking."""
        if self._task is not None:
            self._task.kill()
            self._task = None
        self._probes.kill()

    def _run(self) -> None:
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            now = self._parts.clock.monotonic()
            for attempts in list(self._parts.open.values()):
                if attempts.current is not None:
                    self._check_caller(attempts, attempts.current, now)
                    self._check(attempts.current, attempts.for_engine, now)
            self._parts.connections.drop_idle()

    def _check_caller(self, attempts: Attempts, attempt: Attempt, now: float) -> None:
        """Give a request up whose caller has not asked for more for too long."""
        exchange = attempt.exchange
        if exchange is None or exchange.waiting_since is not None or exchange.waited_at is None:
            return
        if now - exchange.waited_at > self._caller_timeout_s:
            attempts.cancel(RefusalReason.CALLER_LEFT)

    def _check(self, attempt: Attempt, for_engine: bool, now: float) -> None:
        exchange = attempt.exchange
        since = exchange.waiting_since if exchange is not None else None
        if exchange is None or since is None:
            return
        if not for_engine:
            if now - since > self._service_timeout_s:
                exchange.interrupt(FailureCause.SILENT)
            return
        if not self._probes.full() and attempt.silence.wants_probe(since, now):
            self._probes.spawn(self._probe, attempt)

    def _probe(self, attempt: Attempt) -> None:
        exchange = attempt.exchange
        assert exchange is not None
        status = self._parts.engine.status(exchange.address, attempt.id)
        if attempt.silence.condemns(exchange.waiting_since, status, attempt.next_position):
            exchange.interrupt(FailureCause.SILENT)

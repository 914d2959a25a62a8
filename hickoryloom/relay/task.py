"""The relay: forwards calls and owns the connections to backend servers."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err, Result

from hickoryloom.admission.messages import Admitted, RefusalReason, Refused, Request
from hickoryloom.clock import Clock
from hickoryloom.evidence import InstanceRanking, SharedRecords
from hickoryloom.http import Call
from hickoryloom.quarantine import QUARANTINE_TOPICS, Quarantine
from hickoryloom.reach import REACH_TOPICS, EndWitness, Reach
from hickoryloom.relay.assembly import StreamAssembler
from hickoryloom.relay.attempt import Attempt
from hickoryloom.relay.attempts import Attempts, ReadmitCallback, RelayContext
from hickoryloom.relay.buffered import BufferedResponse
from hickoryloom.relay.engine import EngineControl
from hickoryloom.relay.headers import caller_response_headers
from hickoryloom.relay.response import RelayedResponse
from hickoryloom.relay.stream import StreamedResponse
from hickoryloom.relay.watchdog import Watchdog
from hickoryloom.upstream import BufferBudget, ConnectionPool, is_event_stream

if TYPE_CHECKING:
    from hickoryloom.routing import Router

__all__ = ["Relay"]

SERVICE_TIMEOUT_S = 30.0
CALLER_TIMEOUT_S = 60.0


class Relay:
    """Forwards calls to backend servers and returns their responses.

    Args:
        router: Chooses backend servers.
        clock: Source of time.
        credential: Bearer token with which entries authenticate to backend servers.
        service_timeout_s: Seconds without a byte after which a call to a service is aborted.
        caller_timeout_s: Seconds after which the request of a caller that reads nothing is
            cancelled.
        quarantine: Holds back prompts that crash backend servers; None for one of this relay
            alone.
        buffers: Memory for buffered responses; None for the default limit.
        reach: Which pools can't be reached; None for what this relay alone sees.
    """

    def __init__(
        self,
        router: Router,
        clock: Clock,
        credential: str = "",
        service_timeout_s: float = SERVICE_TIMEOUT_S,
        caller_timeout_s: float = CALLER_TIMEOUT_S,
        quarantine: Quarantine | None = None,
        buffers: BufferBudget | None = None,
        reach: Reach | None = None,
    ) -> None:
        self._router = router
        self._clock = clock
        self._connections = ConnectionPool(clock)
        engine = EngineControl(credential)
        self._context = RelayContext(
            router,
            clock,
            self._connections,
            engine,
            credential,
            quarantine or _build_local_quarantine(),
            reach or Reach("", SharedRecords("", REACH_TOPICS)),
            EndWitness(
                self._connections,
                lambda: router.pools,
                router.usable_addresses,
                lambda id, started: router.is_registered(id),
                clock,
                random.Random(),
            ),
            buffers or BufferBudget(),
        )
        self._watchdog = Watchdog(self._context, service_timeout_s, caller_timeout_s)

    @property
    def open_requests(self) -> int:
        """Number of requests that have not ended."""
        return len(self._context.open)

    @property
    def connections(self) -> ConnectionPool:
        """Connections to backend servers, exposed for their counters."""
        return self._connections

    @property
    def buffers(self) -> BufferBudget:
        """Memory that buffered responses take, exposed for its counter."""
        return self._context.buffers

    def open(
        self, admitted: Admitted, call: Call, may_send: Callable[[], bool] | None = None
    ) -> Result[RelayedResponse, Refused]:
        """Forward a call to a backend server and wait for the first bytes of its response.

        Args:
            admitted: The admitted request.
            call: The HTTP call, without the caller's key.
            may_send: Checked immediately before the first byte of each attempt, without yielding
                in between. If it returns False, nothing is sent, the attempt counts as not run, and
                the request is refused. None to always send.

        Returns:
            The response, which must be closed in the end, or a refusal with the verdict.
        """
        self._watchdog.start()
        request = admitted.request
        attempts = Attempts(self._context, request, call, may_send)
        try:
            return self._open(attempts, request, call)
        except BaseException:
            attempts.abandon()
            attempts.close()
            raise

    def cancel(self, request_id: str, reason: RefusalReason) -> None:
        """Cancel a request immediately, even while `open` waits for the first bytes."""
        attempts = self._context.open.get(request_id)
        if attempts is not None:
            attempts.cancel(reason)

    def preempt(self, request_id: str, readmit: ReadmitCallback) -> None:
        """Interrupt a request on its backend server; it continues once it is readmitted.

        Args:
            request_id: The request; ignored if it has ended.
            readmit: Called in the request's own greenlet with the number of tokens delivered so
                far; blocks until the request is readmitted, and returns None or a refusal.
        """
        attempts = self._context.open.get(request_id)
        if attempts is not None:
            attempts.preempt(readmit)

    def stop(self) -> None:
        """Stop the watchdog and close idle connections."""
        self._watchdog.stop()
        self._connections.close_idle()

    def _open(
        self, attempts: Attempts, request: Request, call: Call
    ) -> Result[RelayedResponse, Refused]:
        first_attempt = attempts.begin(call.body)
        if isinstance(first_attempt, Err):
            attempts.close()
            return first_attempt
        response = self._build_response(attempts, first_attempt.ok_value, request, call)
        return response.prefetch().map(lambda _: response)

    def _build_response(
        self, attempts: Attempts, attempt: Attempt, request: Request, call: Call
    ) -> StreamedResponse | BufferedResponse:
        exchange = attempt.exchange
        assert exchange is not None
        streams = is_event_stream(exchange.header("content-type"))
        if not (attempts.for_engine and exchange.status == 200 and streams):
            return BufferedResponse(attempts, request, call, self._clock)
        headers = caller_response_headers(exchange.headers)
        assembler = StreamAssembler(request.id)
        return StreamedResponse(attempts, assembler, call, headers, self._router, self._clock)


def _build_local_quarantine() -> Quarantine:
    """Return a quarantine that shares nothing with other instances."""
    return Quarantine("", SharedRecords("", QUARANTINE_TOPICS), InstanceRanking(""))

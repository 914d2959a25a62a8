"""The relay: opens answers, and owns the connections to backend servers."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from result import Err, Result

from hickoryloom.admission.messages import Admitted, RefusalReason, Refused, Request
from hickoryloom.clock import Clock
from hickoryloom.http import Call
from hickoryloom.relay.assembly import AnswerAssembly
from hickoryloom.relay.attempt import Attempt
from hickoryloom.relay.attempts import Attempts, Readmit, RelayParts
from hickoryloom.relay.buffered import WholeAnswer
from hickoryloom.relay.engine import EngineControl
from hickoryloom.relay.headers import answer_headers
from hickoryloom.relay.response import Answer
from hickoryloom.relay.stream import StreamAnswer
from hickoryloom.relay.watchdog import Watchdog
from hickoryloom.upstream import Connections

if TYPE_CHECKING:
    from hickoryloom.routing import Router

__all__ = ["Relay"]

EVENT_STREAM = "text/event-stream"
SERVICE_TIMEOUT_S = 30.0
CALLER_TIMEOUT_S = 60.0


class Relay:
    """Passes calls to backend servers and their answers back.

    Args:
        router: Chooses backend servers.
        clock: Source of time.
        credential: The token that entries show to backend servers.
        service_timeout_s: Seconds without a byte after which a plain service is given up.
        caller_timeout_s: Seconds without asking for more after which a caller is given up.
    """

    def __init__(
        self,
        router: Router,
        clock: Clock,
        credential: str = "",
        service_timeout_s: float = SERVICE_TIMEOUT_S,
        caller_timeout_s: float = CALLER_TIMEOUT_S,
    ) -> None:
        self._router = router
        self._clock = clock
        self._connections = Connections(clock)
        engine = EngineControl(credential)
        self._parts = RelayParts(router, clock, self._connections, engine, credential)
        self._watchdog = Watchdog(self._parts, service_timeout_s, caller_timeout_s)

    @property
    def open_requests(self) -> int:
        """Requests that have not ended."""
        return len(self._parts.open)

    @property
    def connections(self) -> Connections:
        """Connections to backend servers, for counts."""
        return self._connections

    def open(
        self, admitted: Admitted, call: Call, may_send: Callable[[], bool] | None = None
    ) -> Result[Answer, Refused]:
        """Pass a call to a backend server and wait for the first bytes of its answer.

        Args:
            admitted: Leave to start the request.
            call: The call, without the caller's key.
            may_send: Asked right before the first byte of each attempt, with no yield between;
                when it says no, the request is refused as not run. None for always.

        Returns:
            The answer, which must be closed in the end, or a refusal with a true verdict.
        """
        self._watchdog.start()
        request = admitted.request
        attempts = Attempts(self._parts, request, call, may_send)
        try:
            return self._open(attempts, request, call)
        except BaseException:
            attempts.abandon()
            attempts.close()
            raise

    def cancel(self, request_id: str, reason: RefusalReason) -> None:
        """End a request at once, also while `open` waits for its first bytes."""
        attempts = self._parts.open.get(request_id)
        if attempts is not None:
            attempts.cancel(reason)

    def preempt(self, request_id: str, readmit: Readmit) -> None:
        """Take a request off its backend server at once; it goes on when it is readmitted.

        Args:
            request_id: The request; one that has ended is left alone.
            readmit: Called in the request's own greenlet with the tokens delivered so far; waits
                for leave to go on, and returns None or a refusal.
        """
        attempts = self._parts.open.get(request_id)
        if attempts is not None:
            attempts.preempt(readmit)

    def stop(self) -> None:
        """Close idle connections and stop looking after requests."""
        self._watchdog.stop()
        self._connections.close_idle()

    def _open(self, attempts: Attempts, request: Request, call: Call) -> Result[Answer, Refused]:
        begun = attempts.begin(call.body)
        if isinstance(begun, Err):
            attempts.close()
            return begun
        answer = self._build_answer(attempts, begun.ok_value, request, call)
        return answer.read_first().map(lambda _: answer)

    def _build_answer(
        self, attempts: Attempts, attempt: Attempt, request: Request, call: Call
    ) -> StreamAnswer | WholeAnswer:
        exchange = attempt.exchange
        assert exchange is not None
        streams = exchange.header("content-type").startswith(EVENT_STREAM)
        if not (attempts.for_engine and exchange.status == 200 and streams):
            return WholeAnswer(attempts, request, call, self._clock)
        headers = answer_headers(exchange.headers)
        assembly = AnswerAssembly(request.id)
        return StreamAnswer(attempts, assembly, call, headers, self._router, self._clock)

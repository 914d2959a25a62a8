"""Test callers that reuse connections while they are open and record the responses."""

from __future__ import annotations

import http.client
import itertools
import random
from typing import Any

import attrs
import gevent

from hickoryloom.clock import Clock
from hickoryloom.soak.instances import Instances
from hickoryloom.soak.messages import Answer, Call, CallKind
from hickoryloom.soak.operator import Operator
from hickoryloom.soak.ports import SoakSite
from hickoryloom.soak.record import Record

__all__ = ["PLANNED_WORK_STYLES", "STEADY", "CallerStyle", "Callers"]

THINK_TIME_S = (0.02, 0.25)
"""Range of a caller's think time between two requests."""

SOCKET_TIMEOUT_S = 6.0
"""Longest wait for any byte; longer than the time limit of a request."""

MAX_RETRY_DELAY_S = 1.0
DISCONNECT_FRACTION = 0.03
"""Fraction of the requests whose caller disconnects before the response."""

NEW_CONNECTION_FRACTION = 0.1
"""Fraction of the requests for which a caller replaces its open connection by a new one."""

WITHDRAWN_KEY_FRACTION = 0.1
"""Fraction of the requests that are sent with a withdrawn key."""

CALL_KINDS = (
    CallKind.ONCE,
    CallKind.ONCE,
    CallKind.READ,
    CallKind.STREAM,
    CallKind.STREAM,
    CallKind.EXTRA_ROUTE,
)

LONG_CALL_KINDS = (*CALL_KINDS, CallKind.LONG_STREAM, CallKind.LONG_STREAM)

IDLE_CLOSE_S = (2.4, 3.0)
"""Time after the request to stop around which idle connections are closed: the load balancer has
removed the instance, and a stop should take 3 s."""

LATE_STOP_S = (3.0, 4.8)
"""Time after the request to stop at which an instance shouldn't begin long requests any more."""

HOLD_CHECK_S = 0.02

RECONNECT_PAUSE_S = 0.05
"""Pause of a caller without think time after its connection has ended."""


@attrs.frozen
class CallerStyle:
    """How callers use their connections.

    Attributes:
        think_s: Range of the think time between two requests.
        hold_s: Range of the time between opening a connection and its first request.
        pieces: Number of pieces in which headers and body are sent.
        piece_pause_s: Pause between two pieces.
        new_connection_fraction: Fraction of the requests for which the connection is replaced.
        kinds: Kinds of requests to draw from.
        aim_s: Range of the time after the request to stop at which a connection that is held open
            at a stopping instance is used; None to use it regardless of stops.
    """

    think_s: tuple[float, float] = THINK_TIME_S
    hold_s: tuple[float, float] = (0.0, 0.0)
    pieces: int = 1
    piece_pause_s: float = 0.0
    new_connection_fraction: float = NEW_CONNECTION_FRACTION
    kinds: tuple[CallKind, ...] = CALL_KINDS
    aim_s: tuple[float, float] | None = None


STEADY = CallerStyle()
AT_CLOSE = CallerStyle(hold_s=(1.0, 4.0), new_connection_fraction=1.0, aim_s=IDLE_CLOSE_S)
LATE_IN_STOP = CallerStyle(
    hold_s=(1.0, 6.0),
    new_connection_fraction=1.0,
    kinds=(CallKind.LONG_STREAM,),
    aim_s=LATE_STOP_S,
)
PLANNED_WORK_STYLES = (
    # Most of these connections are open without a request, as those of a caller between bursts.
    *(AT_CLOSE,) * 16,
    *(LATE_IN_STOP,) * 4,
    CallerStyle(kinds=LONG_CALL_KINDS, new_connection_fraction=0.0),
    # Sends the next request in the moment in which the last response ends.
    CallerStyle(think_s=(0.0, 0.0), new_connection_fraction=0.0),
    # Keeps the processor of an instance busy, so that it reads late what has arrived.
    CallerStyle(think_s=(0.0, 0.0), kinds=(CallKind.LONG_PROMPT,), new_connection_fraction=0.2),
    CallerStyle(think_s=(0.0, 0.0), kinds=(CallKind.LONG_PROMPT,), new_connection_fraction=0.0),
    CallerStyle(pieces=6, piece_pause_s=0.04, new_connection_fraction=0.0),
    CallerStyle(hold_s=(0.2, 3.0), new_connection_fraction=1.0),
    # Leaves its connection idle for longer than the shortest limit on idle time.
    CallerStyle(think_s=(0.2, 2.5), kinds=LONG_CALL_KINDS, new_connection_fraction=0.0),
    CallerStyle(kinds=LONG_CALL_KINDS),
)


class _PacedConnection(http.client.HTTPConnection):
    """A connection that sends headers and body in pieces."""

    def __init__(self, address: str, style: CallerStyle) -> None:
        host, _, port = address.rpartition(":")
        super().__init__(host, int(port), timeout=SOCKET_TIMEOUT_S)
        self._style = style

    def send(self, data: Any) -> None:
        """Send bytes in the pieces and with the pauses of the caller's style."""
        size = -(-len(data) // self._style.pieces)
        for start in range(0, len(data), size):
            if start:
                gevent.sleep(self._style.piece_pause_s)
            super().send(data[start : start + size])


class Callers:
    """A group of callers, each with at most one request in flight.

    Args:
        site: Platform stand-in that builds the requests.
        instances: Instances that the load balancer sends new connections to.
        operator: Operator that knows the valid keys.
        record: Record to which requests and responses are added.
        clock: Time source.
        rng: Random number generator.
        styles: Styles of the callers, in turn.
    """

    def __init__(
        self,
        site: SoakSite,
        instances: Instances,
        operator: Operator,
        record: Record,
        clock: Clock,
        rng: random.Random,
        styles: tuple[CallerStyle, ...] = (STEADY,),
    ) -> None:
        self._styles = styles
        self._site = site
        self._instances = instances
        self._operator = operator
        self._record = record
        self._clock = clock
        self._rng = rng
        self._call_numbers = itertools.count(1)
        self._stopping = False
        self._tasks: list[gevent.Greenlet] = []

    def start(self, number: int) -> None:
        """Start the given number of callers."""
        self._tasks = [
            gevent.spawn(self._run_caller, style)
            for style in itertools.islice(itertools.cycle(self._styles), number)
        ]

    def stop(self) -> None:
        """Stop all callers once each has received its last response."""
        self._stopping = True
        gevent.joinall(self._tasks, raise_error=True)

    def _run_caller(self, style: CallerStyle) -> None:
        name, connection = "", None
        while not self._stopping:
            if connection is None or self._rng.random() < style.new_connection_fraction:
                if connection is not None:
                    connection.close()
                name, connection = self._connect(style)
            fresh = connection is not None and connection.sock is None
            if connection is None:
                gevent.sleep(THINK_TIME_S[1])
                continue
            if fresh and style.hold_s[1] and not self._hold(name, connection, style):
                connection = None
                continue
            answer, retry_delay_s = self._send_call(name, connection, fresh, style)
            if answer is None or answer.status == 0 or connection.sock is None:
                connection.close()
                connection = None
            pause_s = self._rng.uniform(*style.think_s)
            if connection is None:
                pause_s = max(pause_s, RECONNECT_PAUSE_S)
            if retry_delay_s or pause_s:
                gevent.sleep(retry_delay_s or pause_s)

    def _hold(self, name: str, connection: http.client.HTTPConnection, style: CallerStyle) -> bool:
        """Open a connection and leave it without a request; return False if that fails."""
        try:
            connection.connect()
        except OSError:
            # The instance has ended since its last readiness check.
            gevent.sleep(RECONNECT_PAUSE_S)
            return False
        end = self._clock.monotonic() + self._rng.uniform(*style.hold_s)
        aim_s = None if style.aim_s is None else self._rng.uniform(*style.aim_s)
        while self._clock.monotonic() < end:
            stopping_s = self._instances.stopping_for_s(name)
            if aim_s is not None and stopping_s is not None:
                gevent.sleep(max(0.0, aim_s - stopping_s))
                break
            gevent.sleep(HOLD_CHECK_S)
        return True

    def _connect(self, style: CallerStyle) -> tuple[str, http.client.HTTPConnection | None]:
        balancer_targets = self._instances.balancer_targets
        if not balancer_targets:
            return "", None
        name = self._rng.choice(sorted(balancer_targets))
        return name, _PacedConnection(balancer_targets[name], style)

    def _send_call(
        self, name: str, connection: http.client.HTTPConnection, fresh: bool, style: CallerStyle
    ) -> tuple[Answer | None, float]:
        """Send one request; return the response and the delay in its `Retry-After` header.

        The response is None if the caller disconnects early.
        """
        call = self._draw_call(name, fresh, style)
        method, target, headers, body = self._site.request(call)
        self._record.calls[call.id] = call
        disconnects = self._rng.random() < DISCONNECT_FRACTION
        if disconnects:
            with gevent.Timeout(0.05, False):
                self._exchange(call, connection, method, target, headers, body)
            return None, 0.0
        answer, retry_delay_s = self._exchange(call, connection, method, target, headers, body)
        self._record.answers[call.id] = answer
        return answer, retry_delay_s

    def _draw_call(self, name: str, fresh: bool, style: CallerStyle) -> Call:
        customer, key = self._rng.choice(self._operator.keys)
        withdrawn = sorted(self._record.withdrawn)
        if withdrawn and self._rng.random() < WITHDRAWN_KEY_FRACTION:
            key = self._rng.choice(withdrawn)
            customer = key.split("-")[1]
        id = f"{next(self._call_numbers):06d}{self._rng.getrandbits(40):010x}"
        kind = self._rng.choice(style.kinds)
        return Call(id, kind, customer, key, name, self._clock.monotonic(), fresh)

    def _exchange(
        self,
        call: Call,
        connection: http.client.HTTPConnection,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes,
    ) -> tuple[Answer, float]:
        status, received, whole, detail, retry_delay_s = 0, b"", False, "", 0.0
        refused = False
        try:
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            status = response.status
            retry_delay_s = min(float(response.getheader("Retry-After") or 0.0), MAX_RETRY_DELAY_S)
            received = response.read()
            whole = True
            if response.getheader("Connection", "").lower() == "close":
                connection.close()
        except http.client.IncompleteRead as error:
            received, detail = error.partial, "cut short"
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            refused = isinstance(error, ConnectionRefusedError)
            detail = f"{type(error).__name__}: {error}"
            connection.close()
        correct = self._site.is_correct(call, status, received, whole)
        ended = self._clock.monotonic()
        return Answer(call, status, ended, whole, correct, detail, refused), retry_delay_s

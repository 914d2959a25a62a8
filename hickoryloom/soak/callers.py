"""Test callers that reuse connections while they are open and record the responses."""

from __future__ import annotations

import http.client
import itertools
import random

import gevent

from hickoryloom.clock import Clock
from hickoryloom.soak.instances import Instances
from hickoryloom.soak.messages import Answer, Call, CallKind
from hickoryloom.soak.operator import Operator
from hickoryloom.soak.ports import SoakSite
from hickoryloom.soak.record import Record

__all__ = ["Callers"]

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


class Callers:
    """A group of callers, each with at most one request in flight.

    Args:
        site: Platform stand-in that builds the requests.
        instances: Instances that the load balancer sends new connections to.
        operator: Operator that knows the valid keys.
        record: Record to which requests and responses are added.
        clock: Time source.
        rng: Random number generator.
    """

    def __init__(
        self,
        site: SoakSite,
        instances: Instances,
        operator: Operator,
        record: Record,
        clock: Clock,
        rng: random.Random,
    ) -> None:
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
        self._tasks = [gevent.spawn(self._run_caller) for _ in range(number)]

    def stop(self) -> None:
        """Stop all callers once each has received its last response."""
        self._stopping = True
        gevent.joinall(self._tasks, raise_error=True)

    def _run_caller(self) -> None:
        name, connection = "", None
        while not self._stopping:
            if connection is None or self._rng.random() < NEW_CONNECTION_FRACTION:
                if connection is not None:
                    connection.close()
                name, connection = self._connect()
            fresh = connection is not None and connection.sock is None
            if connection is None:
                gevent.sleep(THINK_TIME_S[1])
                continue
            answer, retry_delay_s = self._send_call(name, connection, fresh)
            if answer is None or answer.status == 0 or connection.sock is None:
                connection.close()
                connection = None
            gevent.sleep(retry_delay_s or self._rng.uniform(*THINK_TIME_S))

    def _connect(self) -> tuple[str, http.client.HTTPConnection | None]:
        balancer_targets = self._instances.balancer_targets
        if not balancer_targets:
            return "", None
        name = self._rng.choice(sorted(balancer_targets))
        host, _, port = balancer_targets[name].rpartition(":")
        return name, http.client.HTTPConnection(host, int(port), timeout=SOCKET_TIMEOUT_S)

    def _send_call(
        self, name: str, connection: http.client.HTTPConnection, fresh: bool
    ) -> tuple[Answer | None, float]:
        """Send one request; return the response and the delay in its `Retry-After` header.

        The response is None if the caller disconnects early.
        """
        call = self._draw_call(name, fresh)
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

    def _draw_call(self, name: str, fresh: bool) -> Call:
        customer, key = self._rng.choice(self._operator.keys)
        withdrawn = sorted(self._record.withdrawn)
        if withdrawn and self._rng.random() < WITHDRAWN_KEY_FRACTION:
            key = self._rng.choice(withdrawn)
            customer = key.split("-")[1]
        id = f"{next(self._call_numbers):06d}{self._rng.getrandbits(40):010x}"
        kind = self._rng.choice(CALL_KINDS)
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
            detail = f"{type(error).__name__}: {error}"
            connection.close()
        correct = self._site.is_correct(call, status, received, whole)
        ended = self._clock.monotonic()
        return Answer(call, status, ended, whole, correct, detail), retry_delay_s

"""Callers that keep using open connections until these end, and note what they get."""

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

PAUSE_S = (0.02, 0.25)
"""Pause of a caller between two requests."""

PATIENCE_S = 6.0
"""Longest wait for any byte: longer than a request may be kept."""

RETURN_AT_MOST_S = 1.0
LEAVE_PART = 0.03
"""Part of the requests whose caller goes before the answer."""

FRESH_PART = 0.1
"""Part of the requests for which a caller opens a new connection though it has one."""

WITHDRAWN_PART = 0.1
"""Part of the requests that are sent with a key that was withdrawn before."""

KINDS = (
    CallKind.ONCE,
    CallKind.ONCE,
    CallKind.READ,
    CallKind.STREAM,
    CallKind.STREAM,
    CallKind.ROUTE_COMES_AND_GOES,
)


class Callers:
    """A number of callers, each with one request at a time.

    Args:
        site: Spells requests.
        instances: Tells where new connections go.
        operator: Tells keys.
        record: Takes requests and answers.
        clock: Source of time.
        rng: Source of random numbers.
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
        self._numbers = itertools.count(1)
        self._stopping = False
        self._tasks: list[gevent.Greenlet] = []

    def start(self, number: int) -> None:
        """Start so many callers."""
        self._tasks = [gevent.spawn(self._run) for _ in range(number)]

    def stop(self) -> None:
        """Let every caller get its last answer."""
        self._stopping = True
        gevent.joinall(self._tasks, raise_error=True)

    def _run(self) -> None:
        name, connection = "", None
        while not self._stopping:
            if connection is None or self._rng.random() < FRESH_PART:
                if connection is not None:
                    connection.close()
                name, connection = self._connect()
            fresh = connection is not None and connection.sock is None
            if connection is None:
                gevent.sleep(PAUSE_S[1])
                continue
            answer, pause_s = self._call(name, connection, fresh)
            if answer is None or answer.status == 0 or connection.sock is None:
                connection.close()
                connection = None
            gevent.sleep(pause_s or self._rng.uniform(*PAUSE_S))

    def _connect(self) -> tuple[str, http.client.HTTPConnection | None]:
        balanced = self._instances.balanced
        if not balanced:
            return "", None
        name = self._rng.choice(sorted(balanced))
        host, _, port = balanced[name].rpartition(":")
        return name, http.client.HTTPConnection(host, int(port), timeout=PATIENCE_S)

    def _call(
        self, name: str, connection: http.client.HTTPConnection, fresh: bool
    ) -> tuple[Answer | None, float]:
        """Send one request; return its answer and a pause asked for. A caller may leave."""
        call = self._draw(name, fresh)
        method, target, headers, body = self._site.request(call)
        self._record.calls[call.id] = call
        leaves = self._rng.random() < LEAVE_PART
        if leaves:
            with gevent.Timeout(0.05, False):
                self._exchange(call, connection, method, target, headers, body)
            return None, 0.0
        answer, pause_s = self._exchange(call, connection, method, target, headers, body)
        self._record.answers[call.id] = answer
        return answer, pause_s

    def _draw(self, name: str, fresh: bool) -> Call:
        customer, key = self._rng.choice(self._operator.keys)
        withdrawn = sorted(self._record.withdrawn)
        if withdrawn and self._rng.random() < WITHDRAWN_PART:
            key = self._rng.choice(withdrawn)
            customer = key.split("-")[1]
        id = f"{next(self._numbers):06d}{self._rng.getrandbits(40):010x}"
        kind = self._rng.choice(KINDS)
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
        status, got, whole, detail, pause_s = 0, b"", False, "", 0.0
        try:
            connection.request(method, target, body, headers)
            response = connection.getresponse()
            status = response.status
            pause_s = min(float(response.getheader("Retry-After") or 0.0), RETURN_AT_MOST_S)
            got = response.read()
            whole = True
            if response.getheader("Connection", "").lower() == "close":
                connection.close()
        except http.client.IncompleteRead as error:
            got, detail = error.partial, "cut short"
            connection.close()
        except (OSError, http.client.HTTPException) as error:
            detail = f"{type(error).__name__}: {error}"
            connection.close()
        right = self._site.is_right(call, status, got, whole)
        ended = self._clock.monotonic()
        return Answer(call, status, ended, whole, right, detail), pause_s

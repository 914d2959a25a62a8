"""The one client through which all calls to the platform go."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any
from urllib.parse import quote

import attrs
import gevent
import logbook
from result import Err, Ok, Result

from hickoryloom.clock import Clock
from hickoryloom.http import CallFailed, JsonAnswer, JsonClient
from hickoryloom.logs import log_event
from hickoryloom.store import responses
from hickoryloom.store.breaker import MAX_DELAY_S, BreakerState, CircuitBreaker
from hickoryloom.store.budget import CallBudget, CallKind, CallPriority
from hickoryloom.store.codec import ObjectCall, ObjectCodec, OwnCodec
from hickoryloom.store.messages import (
    ErrorKind,
    Listing,
    LiveBackend,
    PlatformError,
    ServerOrder,
    ServerRelease,
    UsageReport,
    Versioned,
    WatchBatch,
    WeightGrant,
)
from hickoryloom.verdict import Applied

__all__ = ["PlatformClient"]

CALL_TIMEOUT_S = 2.0
SOCKET_TIMEOUT_S = 60.0
"""Bound of one read of a socket, beyond any watch; each call has a bound of its own below it."""

CONNECTIONS = 16
PROCESS_PREFIX = "presence/"
URGENT_PREFIXES = ("leases/", "intents/")
BACKGROUND_PREFIXES = ("presence/", "status/")

log = logbook.Logger("hickoryloom.store")

Guard = Callable[[], bool]
Answered = Result[JsonAnswer, PlatformError]


@attrs.frozen
class _Call:
    method: str
    path: str
    kind: CallKind
    priority: CallPriority
    body: Any = None
    guard: Guard | None = None
    timeout_s: float = CALL_TIMEOUT_S

    @property
    def interface(self) -> str:
        """Part of the platform that may be down by itself."""
        head = self.path.strip("/").partition("/")[0].partition("?")[0]
        return "objects" if head in ("delete", "watch") else head


class PlatformClient:
    """Calls the platform within a call budget, behind one circuit breaker for each interface.

    Args:
        address: `host:port` of the platform.
        clock: Source of time.
        budget: The process's call budget; None for one of an equal share.
        random: Source of jitter; None for one seeded by the system.
        codec: How calls on objects are spelled; None for the project's own protocol.
        call_timeout_s: Seconds for one call on an object; a watch may take as much longer than
            it was asked to wait.
        retry_max_s: Longest pause between probes during an outage, in seconds.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        budget: CallBudget | None = None,
        random: Random | None = None,
        codec: ObjectCodec | None = None,
        call_timeout_s: float = CALL_TIMEOUT_S,
        retry_max_s: float = MAX_DELAY_S,
    ) -> None:
        self._codec: ObjectCodec = codec or OwnCodec()
        self._call_timeout_s = call_timeout_s
        self._watch_margin_s = call_timeout_s
        self._retry_max_s = retry_max_s
        self._clock = clock
        self._budget = budget or CallBudget(clock.monotonic())
        self._random = random or Random()
        self._breakers: dict[str, CircuitBreaker] = {}
        self._last_seen: float | None = None
        self._http = JsonClient(address, timeout_s=SOCKET_TIMEOUT_S, connections=CONNECTIONS)

    @property
    def last_seen(self) -> float | None:
        """Monotonic time of the last answer, in seconds; None before the first."""
        return self._last_seen

    @property
    def budget(self) -> CallBudget:
        """The process's call budget."""
        return self._budget

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def get(
        self, key: str, priority: CallPriority | None = None
    ) -> Result[Versioned[Any], PlatformError]:
        """Read one object; `ABSENT` when there is none."""
        call = self._object_call(self._codec.get(key), CallKind.READ, priority or _priority(key))
        return self._call(call).and_then(lambda answer: self._codec.read_object(key, answer))

    def list(
        self, prefix: str, priority: CallPriority | None = None
    ) -> Result[Listing, PlatformError]:
        """Read all objects whose key begins with `prefix`.

        A listing of all presence objects, one for each process, also sets the budget's share. One
        that comes in parts has the revision of its first part, so that a watch misses nothing.
        """
        listing = self._list_parts(prefix, priority or _priority(prefix))
        if listing.is_ok() and prefix == PROCESS_PREFIX:
            self._budget.set_processes(len(listing.unwrap().items), self._clock.monotonic())
        return listing

    def _list_parts(self, prefix: str, priority: CallPriority) -> Result[Listing, PlatformError]:
        items: tuple[Versioned[Any], ...] = ()
        revision: int | None = None
        begin = ""
        while True:
            call = self._object_call(self._codec.list(prefix, begin), CallKind.READ, priority)
            answer = self._call(call).and_then(
                lambda answer: self._codec.read_listing(prefix, answer)
            )
            if isinstance(answer, Err):
                return answer
            page = answer.ok_value
            items += page.listing.items
            revision = page.listing.revision if revision is None else revision
            if not page.next or page.next == begin:
                return Ok(Listing(revision, items))
            begin = page.next

    def create(
        self, key: str, value: Any, guard: Guard | None = None
    ) -> Result[Versioned[Any], PlatformError]:
        """Store a new object; `CONFLICT` when the key exists."""
        return self.update(key, value, 0, guard)

    def update(
        self,
        key: str,
        value: Any,
        if_version: int,
        guard: Guard | None = None,
        priority: CallPriority | None = None,
    ) -> Result[Versioned[Any], PlatformError]:
        """Replace an object's value; `CONFLICT` when its version is not `if_version`."""
        spelled = self._codec.update(key, value, if_version)
        call = self._object_call(spelled, CallKind.WRITE, priority or _priority(key), guard)
        stored = self._call(call).and_then(self._codec.read_version)
        return stored.map(lambda version: Versioned(key, version, value))

    def delete(
        self, key: str, if_version: int, priority: CallPriority | None = None
    ) -> Result[None, PlatformError]:
        """Delete an object; `CONFLICT` when its version is not `if_version`."""
        spelled = self._codec.delete(key, if_version)
        call = self._object_call(spelled, CallKind.WRITE, priority or _priority(key))
        return self._call(call).map(lambda _: None)

    def watch(self, prefix: str, since: int, timeout_s: float) -> Result[WatchBatch, PlatformError]:
        """Wait up to `timeout_s` seconds for changes after revision `since`."""
        if self._breaker("objects").state is not BreakerState.CLOSED:
            # The call may become the breaker's probe, and a probe must end soon.
            timeout_s = 0.0
        spelled = self._codec.watch(prefix, since, timeout_s)
        call = attrs.evolve(
            self._object_call(spelled, CallKind.WATCH, _priority(prefix)),
            timeout_s=timeout_s + self._watch_margin_s,
        )
        return self._call(call).and_then(lambda answer: self._codec.read_batch(prefix, answer))

    def _object_call(
        self,
        spelled: ObjectCall,
        kind: CallKind,
        priority: CallPriority,
        guard: Guard | None = None,
    ) -> _Call:
        return _Call(
            spelled.method,
            spelled.path,
            kind,
            priority,
            spelled.body,
            guard,
            timeout_s=self._call_timeout_s,
        )

    def live(self) -> Result[tuple[LiveBackend, ...], PlatformError]:
        """Read the lagging list of backend servers."""
        call = _Call("GET", "/live", CallKind.READ, CallPriority.NORMAL)
        return self._call(call).and_then(responses.read_backends)

    def order(self, order: ServerOrder, guard: Guard | None = None) -> Result[str, PlatformError]:
        """Order one backend server and return its id; idempotent by order id."""
        return self._send("/orders", order, guard).and_then(responses.read_backend_id)

    def release(
        self, release: ServerRelease, guard: Guard | None = None
    ) -> Result[None, PlatformError]:
        """Give one backend server back; idempotent by order id."""
        return self._send("/releases", release, guard).map(lambda _: None)

    def report(
        self, report: UsageReport, guard: Guard | None = None
    ) -> Result[None, PlatformError]:
        """Report the usage of one window; repeating the same figures is harmless."""
        return self._send("/usage", report, guard).map(lambda _: None)

    def weights(self, model: str) -> Result[WeightGrant, PlatformError]:
        """Ask leave to load a model; `REJECTED` with `retry_after_s` above the store's rate."""
        path = f"/weights/{quote(model, safe='')}"
        call = _Call("GET", path, CallKind.READ, CallPriority.NORMAL)
        return self._call(call).and_then(responses.read_grant)

    def _send(self, path: str, message: Any, guard: Guard | None) -> Answered:
        body = attrs.asdict(message)
        return self._call(_Call("POST", path, CallKind.WRITE, CallPriority.URGENT, body, guard))

    def _call(self, call: _Call) -> Answered:
        breaker = self._breaker(call.interface)
        refused = self._take(call, breaker)
        if refused is not None:
            return Err(refused)
        try:
            return self._exchange(call, breaker)
        finally:
            if call.kind is CallKind.WATCH:
                self._budget.end_watch()

    def _breaker(self, interface: str) -> CircuitBreaker:
        if interface not in self._breakers:
            self._breakers[interface] = CircuitBreaker(self._random, self._retry_max_s)
        return self._breakers[interface]

    def _take(self, call: _Call, breaker: CircuitBreaker) -> PlatformError | None:
        """Pay for a call and wait for its turn, or say why it may not be made."""
        now = self._clock.monotonic()
        blocked_s = breaker.wait_s(now)
        if blocked_s > 0:
            return responses.unavailable("the circuit breaker is open", blocked_s)
        wait_s = self._budget.take(call.kind, call.priority, now)
        if wait_s is None:
            retry_s = self._budget.retry_after_s(call.kind, call.priority, now)
            return PlatformError(
                ErrorKind.OVER_BUDGET, Applied.NOT_APPLIED, "over the call budget", retry_s
            )
        if wait_s > 0:
            gevent.sleep(wait_s)
        return None

    def _exchange(self, call: _Call, breaker: CircuitBreaker) -> Answered:
        now = self._clock.monotonic()
        if not breaker.begin(now):
            return Err(responses.unavailable("the circuit breaker is open", breaker.wait_s(now)))
        try:
            answer = self._http.call(
                call.method, call.path, call.body, timeout_s=call.timeout_s, guard=call.guard
            )
        except BaseException:
            breaker.withdrew(self._clock.monotonic())
            raise
        if answer.is_err():
            return Err(self._note_failure(call, breaker, answer.unwrap_err()))
        found = answer.unwrap()
        if self._codec.is_outage(found):
            detail = f"status {found.status}"
            return Err(self._note_failure(call, breaker, CallFailed(Applied.UNKNOWN, detail)))
        self._note_answer(call, breaker)
        return self._codec.judge(found)

    def _note_answer(self, call: _Call, breaker: CircuitBreaker) -> None:
        now = self._clock.monotonic()
        self._last_seen = now
        if breaker.succeeded():
            self._budget.drop_burst(now)
            log_event(log, "platform-back", interface=call.interface)

    def _note_failure(
        self, call: _Call, breaker: CircuitBreaker, failed: CallFailed
    ) -> PlatformError:
        applied = failed.applied if call.kind is CallKind.WRITE else Applied.NOT_APPLIED
        if failed.refused_by_guard:
            breaker.withdrew(self._clock.monotonic())
            return PlatformError(ErrorKind.REJECTED, Applied.NOT_APPLIED, failed.detail)
        breaker.failed(self._clock.monotonic())
        wait_s = breaker.wait_s(self._clock.monotonic())
        if wait_s > 0:
            log_event(
                log,
                "platform-call-failed",
                interface=call.interface,
                detail=failed.detail,
                retry_s=wait_s,
            )
        return PlatformError(ErrorKind.UNAVAILABLE, applied, failed.detail, wait_s)


def _priority(key: str) -> CallPriority:
    if key.startswith(URGENT_PREFIXES):
        return CallPriority.URGENT
    if key.startswith(BACKGROUND_PREFIXES):
        return CallPriority.BACKGROUND
    return CallPriority.NORMAL

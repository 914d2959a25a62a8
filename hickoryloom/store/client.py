"""Client for all calls to the platform."""

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
from hickoryloom.http import CallError, JsonClient, JsonResponse
from hickoryloom.logs import log_event
from hickoryloom.store import responses
from hickoryloom.store.availability import Availability
from hickoryloom.store.breaker import (
    MAX_DELAY_S,
    PROBE_TIMEOUT_S,
    BreakerState,
    CircuitBreaker,
)
from hickoryloom.store.budget import CallBudget, CallKind, CallPriority
from hickoryloom.store.codec import DefaultCodec, ObjectCall, ObjectCodec
from hickoryloom.store.eras import EraChange, StoreEra, split_version
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
"""Timeout of one socket read, longer than any watch; each call has its own shorter timeout."""

CONNECTIONS = 16
OBJECTS_INTERFACE = "objects"
PRESENCE_PREFIX = "presence/"
URGENT_PREFIXES = ("leases/", "intents/")
BACKGROUND_PREFIXES = ("presence/", "status/")

OUTDATED_VERSION = PlatformError(
    ErrorKind.CONFLICT, Applied.NOT_APPLIED, "the version belongs to an earlier era of the store"
)

log = logbook.Logger("hickoryloom.store")

Guard = Callable[[], bool]
CallResult = Result[JsonResponse, PlatformError]


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
        """Platform interface that the call uses; each one can fail independently."""
        head = self.path.strip("/").partition("/")[0].partition("?")[0]
        return OBJECTS_INTERFACE if head in ("delete", "watch") else head


class PlatformClient:
    """Calls the platform within a call budget, with one circuit breaker per interface.

    Args:
        address: `host:port` of the platform.
        clock: Clock to use.
        budget: Call budget of the process; None for a new one with the default share.
        random: Source of jitter; None for one seeded by the operating system.
        codec: Codec of the object store protocol; None for `DefaultCodec`.
        call_timeout_s: Timeout of one call on an object, in seconds; for a watch it is added to
            the requested wait.
        retry_max_s: Longest delay between probes during an outage, in seconds.
        probe_timeout_s: Seconds after which a probe without a response no longer blocks the next.
        urgent_keys: Prefixes of further keys whose calls have the highest priority.
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
        probe_timeout_s: float = PROBE_TIMEOUT_S,
        urgent_keys: tuple[str, ...] = (),
    ) -> None:
        self._probe_timeout_s = probe_timeout_s
        self._urgent_prefixes = (*URGENT_PREFIXES, *urgent_keys)
        self._on_return: list[Callable[[], None]] = []
        self._codec: ObjectCodec = codec or DefaultCodec()
        self._call_timeout_s = call_timeout_s
        self._watch_margin_s = call_timeout_s
        self._retry_max_s = retry_max_s
        self._clock = clock
        self._budget = budget or CallBudget(clock.monotonic())
        self._random = random or Random()
        self._breakers: dict[str, CircuitBreaker] = {}
        self._objects = Availability()
        self._era = StoreEra()
        self._last_response_at: float | None = None
        self._http = JsonClient(
            address,
            timeout_s=SOCKET_TIMEOUT_S,
            connections=CONNECTIONS,
            decode=self._codec.decode,
        )

    @property
    def last_response_at(self) -> float | None:
        """Monotonic time of the last response, in seconds; None before the first."""
        return self._last_response_at

    @property
    def objects_available_since(self) -> float | None:
        """Monotonic time of the first response on objects after their last outage, in seconds.

        Minus infinity without an earlier outage; None before the first response and during an
        outage.
        """
        return self._objects.since

    @property
    def era(self) -> int:
        """The latest era of the store that this process knows of; 0 if it is not known."""
        return self._era.current

    @property
    def era_changes(self) -> int:
        """Number of times that the store has returned from an older copy."""
        return self._era.changes

    def learn_era(self, era: int) -> None:
        """Record the era of the store that another instance has seen."""
        if self._era.observe(era) is EraChange.BEGUN:
            self._begin_era()

    def subscribe_return(self, listener: Callable[[], None]) -> None:
        """Call `listener` after the first response on objects that ends an outage."""
        self._on_return.append(listener)

    @property
    def budget(self) -> CallBudget:
        """Call budget of the process."""
        return self._budget

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def get(
        self, key: str, priority: CallPriority | None = None
    ) -> Result[Versioned[Any], PlatformError]:
        """Read one object; fails with `ABSENT` if it does not exist."""
        call = self._object_call(
            self._codec.get(key), CallKind.READ, priority or self._priority(key)
        )
        return self._call(call).and_then(lambda response: self._codec.read_object(key, response))

    def list(
        self, prefix: str, priority: CallPriority | None = None
    ) -> Result[Listing, PlatformError]:
        """Read all objects whose key begins with `prefix`.

        A listing of all presence objects, of which each process has one, also updates the number
        of processes that share the call budget. A listing of several pages has the revision of its
        first page, so that a watch from there misses no change.
        """
        listing = self._list_pages(prefix, priority or self._priority(prefix))
        if listing.is_ok() and prefix == PRESENCE_PREFIX:
            self._budget.set_processes(len(listing.unwrap().items), self._clock.monotonic())
        return listing

    def _list_pages(self, prefix: str, priority: CallPriority) -> Result[Listing, PlatformError]:
        items: tuple[Versioned[Any], ...] = ()
        unreadable = 0
        revision: int | None = None
        era = 0
        page_token = ""
        while True:
            call = self._object_call(self._codec.list(prefix, page_token), CallKind.READ, priority)
            result = self._call(call).and_then(
                lambda response: self._codec.read_listing(prefix, response)
            )
            if isinstance(result, Err):
                return result
            page = result.ok_value
            if revision is not None and split_version(page.listing.revision)[0] != era:
                detail = "the listing spans two eras of the store"
                return Err(PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, detail))
            era = split_version(page.listing.revision)[0]
            items += page.listing.items
            unreadable += page.listing.unreadable
            revision = page.listing.revision if revision is None else revision
            if not page.next_token:
                if unreadable:
                    log_event(log, "objects-unreadable", prefix=prefix, number=unreadable)
                return Ok(Listing(revision, items, unreadable))
            if page.next_token == page_token:
                detail = "the listing goes on with the page that it has just returned"
                return Err(PlatformError(ErrorKind.UNAVAILABLE, Applied.NOT_APPLIED, detail))
            page_token = page.next_token

    def create(
        self, key: str, value: Any, guard: Guard | None = None
    ) -> Result[Versioned[Any], PlatformError]:
        """Create an object; fails with `CONFLICT` if the key exists."""
        return self.update(key, value, 0, guard)

    def update(
        self,
        key: str,
        value: Any,
        if_version: int,
        guard: Guard | None = None,
        priority: CallPriority | None = None,
    ) -> Result[Versioned[Any], PlatformError]:
        """Replace an object's value; fails with `CONFLICT` if its version is not `if_version`."""
        if self._era.is_outdated(if_version):
            return Err(OUTDATED_VERSION)
        request = self._codec.update(key, value, if_version)
        call = self._object_call(request, CallKind.WRITE, priority or self._priority(key), guard)
        stored = self._call(call).and_then(self._codec.read_version)
        return stored.map(lambda version: Versioned(key, version, value))

    def delete(
        self, key: str, if_version: int, priority: CallPriority | None = None
    ) -> Result[None, PlatformError]:
        """Delete an object; fails with `CONFLICT` if its version is not `if_version`."""
        if self._era.is_outdated(if_version):
            return Err(OUTDATED_VERSION)
        request = self._codec.delete(key, if_version)
        call = self._object_call(request, CallKind.WRITE, priority or self._priority(key))
        return self._call(call).map(lambda _: None)

    def watch(self, prefix: str, since: int, timeout_s: float) -> Result[WatchBatch, PlatformError]:
        """Wait up to `timeout_s` seconds for changes after revision `since`.

        The batch is a reset if the revision belongs to an earlier era than the store's answer.
        """
        if self._era.is_outdated(since):
            return Ok(WatchBatch(0, (), reset=True))
        if self._breaker(OBJECTS_INTERFACE).state is not BreakerState.CLOSED:
            # The call may become the probe of the circuit breaker, which has to end quickly.
            timeout_s = 0.0
        request = self._codec.watch(prefix, since, timeout_s)
        call = attrs.evolve(
            self._object_call(request, CallKind.WATCH, self._priority(prefix)),
            timeout_s=timeout_s + self._watch_margin_s,
        )
        batch = self._call(call).and_then(lambda response: self._codec.read_batch(prefix, response))
        return batch.map(
            lambda found: WatchBatch(0, (), reset=True) if self._era.is_outdated(since) else found
        )

    def _priority(self, key: str) -> CallPriority:
        if key.startswith(self._urgent_prefixes):
            return CallPriority.URGENT
        if key.startswith(BACKGROUND_PREFIXES):
            return CallPriority.BACKGROUND
        return CallPriority.NORMAL

    def _object_call(
        self,
        request: ObjectCall,
        kind: CallKind,
        priority: CallPriority,
        guard: Guard | None = None,
    ) -> _Call:
        return _Call(
            request.method,
            request.path,
            kind,
            priority,
            request.body,
            guard,
            timeout_s=self._call_timeout_s,
        )

    def list_backends(self) -> Result[tuple[LiveBackend, ...], PlatformError]:
        """Read the live list of backend servers, which lags behind."""
        call = _Call("GET", "/live", CallKind.READ, CallPriority.NORMAL)
        return self._call(call).and_then(responses.read_backends)

    def order(self, order: ServerOrder, guard: Guard | None = None) -> Result[str, PlatformError]:
        """Order one backend server and return its id; the order id makes it idempotent."""
        return self._send("/orders", order, guard).and_then(responses.read_backend_id)

    def release(
        self, release: ServerRelease, guard: Guard | None = None
    ) -> Result[None, PlatformError]:
        """Release one backend server; the order id makes it idempotent."""
        return self._send("/releases", release, guard).map(lambda _: None)

    def report(
        self, report: UsageReport, guard: Guard | None = None
    ) -> Result[None, PlatformError]:
        """Report the usage of one window; sending the same figures again has no effect."""
        return self._send("/usage", report, guard).map(lambda _: None)

    def request_weights(self, model: str) -> Result[WeightGrant, PlatformError]:
        """Request permission to load a model.

        Fails with `REJECTED` and `retry_after_s` above the rate limit of the weight store.
        """
        path = f"/weights/{quote(model, safe='')}"
        call = _Call("GET", path, CallKind.READ, CallPriority.NORMAL)
        return self._call(call).and_then(responses.read_grant)

    def _send(self, path: str, message: Any, guard: Guard | None) -> CallResult:
        body = attrs.asdict(message)
        return self._call(_Call("POST", path, CallKind.WRITE, CallPriority.URGENT, body, guard))

    def _call(self, call: _Call) -> CallResult:
        breaker = self._breaker(call.interface)
        error = self._acquire(call, breaker)
        if error is not None:
            return Err(error)
        try:
            return self._exchange(call, breaker)
        finally:
            if call.kind is CallKind.WATCH:
                self._budget.release_watch()

    def _breaker(self, interface: str) -> CircuitBreaker:
        if interface not in self._breakers:
            self._breakers[interface] = CircuitBreaker(
                self._random, self._retry_max_s, self._probe_timeout_s
            )
        return self._breakers[interface]

    def _acquire(self, call: _Call, breaker: CircuitBreaker) -> PlatformError | None:
        """Reserve a call in the budget and wait for its start; return an error if it is refused."""
        now = self._clock.monotonic()
        blocked_s = breaker.wait_s(now)
        if blocked_s > 0:
            return responses.unavailable("the circuit breaker is open", blocked_s)
        wait_s = self._budget.acquire(call.kind, call.priority, now)
        if wait_s is None:
            retry_s = self._budget.retry_after_s(call.kind, call.priority, now)
            return PlatformError(
                ErrorKind.OVER_BUDGET, Applied.NOT_APPLIED, "over the call budget", retry_s
            )
        if wait_s > 0:
            gevent.sleep(wait_s)
        return None

    def _exchange(self, call: _Call, breaker: CircuitBreaker) -> CallResult:
        now = self._clock.monotonic()
        if not breaker.try_start(now):
            return Err(responses.unavailable("the circuit breaker is open", breaker.wait_s(now)))
        era_changes = self._era.changes
        try:
            result = self._http.call(
                call.method, call.path, call.body, timeout_s=call.timeout_s, guard=call.guard
            )
        except BaseException:
            breaker.record_cancelled(self._clock.monotonic())
            raise
        if result.is_err():
            return Err(self._record_failure(call, breaker, result.unwrap_err(), now))
        response = result.unwrap()
        if call.interface == OBJECTS_INTERFACE and not self._observe_era(response):
            breaker.record_cancelled(self._clock.monotonic())
            return Err(_outdated_answer(call))
        if self._codec.is_outage(response):
            detail = f"status {response.status}"
            failure = CallError(Applied.UNKNOWN, detail)
            return Err(self._record_failure(call, breaker, failure, now))
        self._record_response(call, breaker)
        if call.kind is CallKind.WRITE and self._era.changes != era_changes:
            return Err(_outdated_answer(call))
        return self._codec.check_status(response)

    def _observe_era(self, response: JsonResponse) -> bool:
        """Record the era that a response tells; return False if that era has ended."""
        change = self._era.observe(self._codec.read_era(response))
        if change is EraChange.BEGUN:
            self._begin_era()
        return change is not EraChange.ENDED

    def _begin_era(self) -> None:
        """Treat the loss of writes like an outage, after which registrations may be missing."""
        self._objects.restart(self._clock.monotonic())
        log_event(log, "store-era-begun", era=self._era.current)

    def _record_response(self, call: _Call, breaker: CircuitBreaker) -> None:
        now = self._clock.monotonic()
        self._last_response_at = now
        if call.interface == OBJECTS_INTERFACE:
            self._objects.record_response(now)
        if breaker.record_success():
            self._budget.drop_burst(now)
            log_event(log, "platform-back", interface=call.interface)
            if call.interface == OBJECTS_INTERFACE:
                for listener in self._on_return:
                    listener()

    def _record_failure(
        self, call: _Call, breaker: CircuitBreaker, failure: CallError, started_at: float
    ) -> PlatformError:
        applied = failure.applied if call.kind is CallKind.WRITE else Applied.NOT_APPLIED
        if failure.refused_by_guard:
            breaker.record_cancelled(self._clock.monotonic())
            return PlatformError(ErrorKind.REJECTED, Applied.NOT_APPLIED, failure.detail)
        breaker.record_failure(self._clock.monotonic(), started_at)
        if call.interface == OBJECTS_INTERFACE:
            self._objects.record_failure(started_at)
        wait_s = breaker.wait_s(self._clock.monotonic())
        if wait_s > 0:
            log_event(
                log,
                "platform-call-failed",
                interface=call.interface,
                detail=failure.detail,
                retry_s=wait_s,
            )
        return PlatformError(ErrorKind.UNAVAILABLE, applied, failure.detail, wait_s)


def _outdated_answer(call: _Call) -> PlatformError:
    """Return the error for an answer that a change of the era has made useless."""
    log_event(log, "store-answer-outdated", method=call.method, path=call.path)
    applied = Applied.UNKNOWN if call.kind is CallKind.WRITE else Applied.NOT_APPLIED
    detail = "the store has returned from an older copy"
    return PlatformError(ErrorKind.UNAVAILABLE, applied, detail)

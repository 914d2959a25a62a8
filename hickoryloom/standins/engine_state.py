"""State and fault switches of the engine stand-in."""

from __future__ import annotations

import time
from collections import Counter, OrderedDict, deque
from typing import Any

import attrs

from hickoryloom.standins.batch import Batch, EngineRequest, LoadHistory, PrefixCache

__all__ = ["EngineState", "EngineSwitches"]

MAX_REQUESTS = 5000
MAX_SEEN = 1000


@attrs.frozen
class EngineSwitches:
    """Speed and injected faults of an engine.

    Each `..._next` switch is the number of further requests to which the fault applies.

    Attributes:
        token_ms: Milliseconds between two generated tokens.
        prefill_us: Microseconds of prefill per uncached prompt token.
        slow: Factor by which prefill and token times are multiplied.
        load_lag_s: Seconds by which load reports lag behind the load.
        event_gap: Every `event_gap`-th cache event is dropped; 0 drops none.
        leaving: Whether load reports announce that the engine is going away.
        fencing: Whether orders with a stale fencing token are rejected.
        not_run_next: Rejected with status 503 and the `X-Not-Run` header, without being run.
        error_next: Run, but the response has status 500; applies to non-streamed requests only.
        late_next: Response delayed by `late_s`.
        late_s: Seconds by which `late_next` delays a response.
        cross_next: Response with the id and the text of the previous request.
        cut_next: Connection dropped; a stream breaks off at position `at_position`.
        silent_next: Stream that stalls from position `at_position` until it is cancelled.
        duplicate_next: Stream in which every event is sent twice.
        at_position: Token position at which `cut_next` and `silent_next` take effect.
        crash: Exits the process as soon as it is set.
    """

    token_ms: float = 20.0
    prefill_us: float = 100.0
    slow: float = 1.0
    load_lag_s: float = 0.5
    event_gap: int = 0
    leaving: bool = False
    fencing: bool = True
    not_run_next: int = 0
    error_next: int = 0
    late_next: int = 0
    late_s: float = 2.0
    cross_next: int = 0
    cut_next: int = 0
    silent_next: int = 0
    duplicate_next: int = 0
    at_position: int = 3
    crash: bool = False


class EngineState:
    """State of one engine stand-in.

    Args:
        model: Name of the model that is loaded at the start.
        slots: Number of requests that run concurrently.
        cached_prefixes: Maximum number of cached prompt prefixes.
        credential: Bearer token that requests must carry; empty to accept all requests.
        switches: Initial speed and faults.
    """

    def __init__(
        self,
        model: str,
        slots: int,
        cached_prefixes: int,
        credential: str,
        switches: EngineSwitches,
    ) -> None:
        self.switches = switches
        self.models = [model]
        self.batch = Batch(slots)
        self.cache = PrefixCache(cached_prefixes)
        self.credential = credential
        self.requests: OrderedDict[str, EngineRequest] = OrderedDict()
        self.counters: Counter[str] = Counter()
        self.received_requests: deque[dict[str, Any]] = deque(maxlen=MAX_SEEN)
        self.orders: list[dict[str, Any]] = []
        self.highest_fencing = 0
        self.previous_completion: tuple[str, list[str]] = ("none", ["none "])
        self.load = LoadHistory(time.monotonic, self._measure_load)

    def consume_switch(self, name: str) -> bool:
        """Decrement a `..._next` switch; return whether the fault applies to this request."""
        remaining = getattr(self.switches, name)
        if remaining > 0:
            self.switches = attrs.evolve(self.switches, **{name: remaining - 1})
        return remaining > 0

    def start_request(self, request_id: str, priority: int, position: int) -> EngineRequest:
        """Record a new request and return it."""
        request = EngineRequest(request_id, priority, position=position)
        self.requests[request_id] = request
        if len(self.requests) > MAX_REQUESTS:
            self.requests.popitem(last=False)
        self.counters["started"] += 1
        return request

    def wait(self, request: EngineRequest, seconds: float) -> None:
        """Wait `seconds` multiplied by the `slow` switch; a cancellation ends the wait."""
        request.cancelled.wait(seconds * self.switches.slow)

    def _measure_load(self) -> dict[str, Any]:
        return {
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "kv_free": 1.0 - self.batch.running / self.batch.slots,
            "leaving": self.switches.leaving,
            "models": list(self.models),
        }

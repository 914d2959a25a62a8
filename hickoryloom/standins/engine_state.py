"""State of the engine stand-in."""

from __future__ import annotations

import time
from collections import Counter, OrderedDict, deque
from typing import Any

import attrs

from hickoryloom.standins.batch import Batch, EngineRequest, LoadHistory, PrefixCache

__all__ = ["EngineState", "EngineSwitches"]

KEPT_REQUESTS = 5000
KEPT_SEEN = 1000


@attrs.frozen
class EngineSwitches:
    """Pace and faults of an engine. Each `..._next` counts requests that it still applies to.

    Attributes:
        token_ms: Milliseconds between two tokens.
        prefill_us: Microseconds for each prompt token that is not cached.
        slow: Factor on all times.
        load_lag_s: Seconds by which load reports lag.
        event_gap: Each so-manieth cache event is dropped, 0 for none.
        leaving: Whether it says that it will leave.
        fencing: Whether orders with an old fencing number are refused.
        not_run_next: Answered 503 with the not-run header.
        error_next: Answered 500 after the run.
        late_next: Answered only after `late_s`.
        late_s: Seconds of a late answer.
        cross_next: Answered with id and text of the request before.
        cut_next: Cut at event `at_position`.
        silent_next: Silent for good from event `at_position`.
        duplicate_next: Every event sent twice.
        at_position: Position of cuts and silences.
        crash: Whether the process ends at once.
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
    """One model engine.

    Args:
        model: Name of the model that it serves at first.
        slots: Requests that run side by side.
        cached_prefixes: Most prompt prefixes held.
        credential: Token that callers must show; empty for none.
        switches: Pace and faults at first.
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
        self.seen: deque[dict[str, Any]] = deque(maxlen=KEPT_SEEN)
        self.orders: list[dict[str, Any]] = []
        self.highest_fencing = 0
        self.previous: tuple[str, list[str]] = ("none", ["none "])
        self.load = LoadHistory(time.monotonic, self._measure)

    def take(self, name: str) -> bool:
        """Count a `..._next` switch down; return whether it applies to this request."""
        left = getattr(self.switches, name)
        if left > 0:
            self.switches = attrs.evolve(self.switches, **{name: left - 1})
        return left > 0

    def begin(self, request_id: str, priority: int, position: int) -> EngineRequest:
        """Enter a request."""
        request = EngineRequest(request_id, priority, position=position)
        self.requests[request_id] = request
        if len(self.requests) > KEPT_REQUESTS:
            self.requests.popitem(last=False)
        self.counters["started"] += 1
        return request

    def pause(self, request: EngineRequest, seconds: float) -> None:
        """Wait at the engine's pace, until a cancel at the latest."""
        request.cancelled.wait(seconds * self.switches.slow)

    def _measure(self) -> dict[str, Any]:
        return {
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "kv_free": 1.0 - self.batch.running / self.batch.slots,
            "leaving": self.switches.leaving,
            "models": list(self.models),
        }

"""Batch slots, prefix cache and requests of the engine stand-in."""

from __future__ import annotations

import heapq
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import Any

import attrs
from gevent.event import Event

__all__ = ["Batch", "EngineRequest", "LoadHistory", "PrefixCache"]

MAX_EVENTS = 1000


@attrs.define
class EngineRequest:
    """One request at the engine.

    Attributes:
        state: `running`, `done`, `cancelled` or `unknown`, as the interface tells it.
        position: Tokens produced, those of a resumed text included.
    """

    id: str
    priority: int
    state: str = "running"
    position: int = 0
    cancelled: Event = attrs.field(factory=Event)
    turn: Event = attrs.field(factory=Event)

    def cancel(self) -> None:
        """Stop it, whether it runs or waits for a slot."""
        self.cancelled.set()
        self.turn.set()


class Batch:
    """Slots that are given to waiting requests by priority, 1 first.

    Args:
        slots: Requests that run side by side.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._running = 0
        self._sequence = 0
        self._waiting: list[tuple[int, int, Event]] = []

    @property
    def slots(self) -> int:
        """Requests that run side by side."""
        return self._slots

    @property
    def running(self) -> int:
        """Requests that hold a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Requests that wait for a slot."""
        return len(self._waiting)

    def acquire(self, request: EngineRequest) -> bool:
        """Wait for a slot; return False when the request was cancelled first."""
        if self._running < self._slots and not self._waiting:
            self._running += 1
            return True
        self._sequence += 1
        entry = (request.priority, self._sequence, request.turn)
        heapq.heappush(self._waiting, entry)
        try:
            request.turn.wait()
        except BaseException:
            self._give_up(entry)
            raise
        if request.cancelled.is_set():
            self._give_up(entry)
        return not request.cancelled.is_set()

    def release(self) -> None:
        """Hand a slot on to the first waiting request."""
        if self._waiting:
            _, _, turn = heapq.heappop(self._waiting)
            turn.set()
            return
        self._running -= 1

    def _give_up(self, entry: tuple[int, int, Event]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
            return
        self.release()


class PrefixCache:
    """A bounded set of prompt prefixes; the least recently used is dropped first.

    Args:
        limit: Most prefixes held.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, str, bool]] = deque(maxlen=MAX_EVENTS)
        self._next = 1

    @property
    def size(self) -> int:
        """Prefixes held."""
        return len(self._prefixes)

    def use(self, prefix: str) -> bool:
        """Add a prefix and return whether it was there before."""
        hit = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not hit:
            self._note(prefix, True)
        if len(self._prefixes) > self._limit:
            dropped, _ = self._prefixes.popitem(last=False)
            self._note(dropped, False)
        return hit

    def events(self, since: int, gap: int) -> dict[str, Any]:
        """Return the events from number `since` on, every `gap`-th left out."""
        found = [event for event in self._events if event[0] >= since]
        kept = [event for event in found if not gap or event[0] % gap]
        return {
            "next": self._next,
            "events": [{"prefix_hash": prefix, "cached": cached} for _, prefix, cached in kept],
        }

    def _note(self, prefix: str, cached: bool) -> None:
        self._events.append((self._next, prefix, cached))
        self._next += 1


class LoadHistory:
    """Load reports that lag behind the load.

    Args:
        now: Monotonic clock, in seconds.
        measure: Returns the load as it is.
    """

    def __init__(self, now: Callable[[], float], measure: Callable[[], dict[str, Any]]) -> None:
        self._now = now
        self._measure = measure
        self._reports: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)

    def report(self, lag_s: float) -> dict[str, Any]:
        """Return the newest load that is at least `lag_s` old, with its age."""
        now = self._now()
        self._reports.append((now, self._measure()))
        old = [entry for entry in self._reports if entry[0] <= now - lag_s]
        time, load = old[-1] if old else self._reports[0]
        return {**load, "age_ms": int((now - time) * 1000)}

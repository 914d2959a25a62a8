"""Batch slots, prefix cache, load reports and requests of the engine stand-in."""

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
    """A request that the engine has accepted.

    Attributes:
        state: `running`, `done` or `cancelled`; the HTTP API reports `unknown` for other requests.
        position: Number of tokens produced, including those before a resume position.
        cancelled: Set when the request is cancelled.
        slot_granted: Set when the request is given a slot, or is cancelled while it waits for one.
    """

    id: str
    priority: int
    state: str = "running"
    position: int = 0
    cancelled: Event = attrs.field(factory=Event)
    slot_granted: Event = attrs.field(factory=Event)

    def cancel(self) -> None:
        """Cancel the request, whether it is running or waiting for a slot."""
        self.cancelled.set()
        self.slot_granted.set()


class Batch:
    """Assigns a fixed number of slots to requests by priority.

    Priority 1 is the highest; requests of equal priority are served in order of arrival.

    Args:
        slots: Number of requests that run concurrently.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._running = 0
        self._sequence = 0
        self._waiting: list[tuple[int, int, Event]] = []

    @property
    def slots(self) -> int:
        """Number of requests that can run concurrently."""
        return self._slots

    @property
    def running(self) -> int:
        """Number of requests that occupy a slot."""
        return self._running

    @property
    def waiting(self) -> int:
        """Number of requests waiting for a slot."""
        return len(self._waiting)

    def acquire(self, request: EngineRequest) -> bool:
        """Wait for a slot; return False if the request was cancelled before it got one."""
        if self._running < self._slots and not self._waiting:
            self._running += 1
            return True
        self._sequence += 1
        queued = (request.priority, self._sequence, request.slot_granted)
        heapq.heappush(self._waiting, queued)
        try:
            request.slot_granted.wait()
        except BaseException:
            self._abandon(queued)
            raise
        if request.cancelled.is_set():
            self._abandon(queued)
        return not request.cancelled.is_set()

    def release(self) -> None:
        """Pass the slot to the first waiting request, or free it if none is waiting."""
        if self._waiting:
            _, _, slot_granted = heapq.heappop(self._waiting)
            slot_granted.set()
            return
        self._running -= 1

    def _abandon(self, queued: tuple[int, int, Event]) -> None:
        if queued in self._waiting:
            self._waiting.remove(queued)
            heapq.heapify(self._waiting)
            return
        self.release()


class PrefixCache:
    """LRU cache of prompt prefixes that logs additions and evictions.

    Args:
        limit: Maximum number of cached prefixes.
    """

    def __init__(self, limit: int) -> None:
        self._limit = limit
        self._prefixes: OrderedDict[str, None] = OrderedDict()
        self._events: deque[tuple[int, str, bool]] = deque(maxlen=MAX_EVENTS)
        self._next_number = 1

    @property
    def size(self) -> int:
        """Number of cached prefixes."""
        return len(self._prefixes)

    def use(self, prefix: str) -> bool:
        """Add a prefix or mark it as most recently used; return whether it was cached before."""
        was_cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if not was_cached:
            self._record_event(prefix, True)
        if len(self._prefixes) > self._limit:
            evicted, _ = self._prefixes.popitem(last=False)
            self._record_event(evicted, False)
        return was_cached

    def events(self, since: int, gap: int) -> dict[str, Any]:
        """Return the events from number `since` on.

        Args:
            since: Number of the first event to return.
            gap: Leaves out every `gap`-th event, to simulate lost events; 0 leaves out none.
        """
        events_since = [event for event in self._events if event[0] >= since]
        reported = [event for event in events_since if not gap or event[0] % gap]
        return {
            "next": self._next_number,
            "events": [{"prefix_hash": prefix, "cached": cached} for _, prefix, cached in reported],
        }

    def _record_event(self, prefix: str, cached: bool) -> None:
        self._events.append((self._next_number, prefix, cached))
        self._next_number += 1


class LoadHistory:
    """Reports the load with a configurable delay.

    Args:
        now: Monotonic clock, in seconds.
        measure: Returns the current load.
    """

    def __init__(self, now: Callable[[], float], measure: Callable[[], dict[str, Any]]) -> None:
        self._now = now
        self._measure = measure
        self._samples: deque[tuple[float, dict[str, Any]]] = deque(maxlen=MAX_EVENTS)

    def report(self, lag_s: float) -> dict[str, Any]:
        """Return the newest sample that is at least `lag_s` old, with its age in `age_ms`.

        While no sample is old enough, the oldest one is returned.
        """
        now = self._now()
        self._samples.append((now, self._measure()))
        old_enough = [sample for sample in self._samples if sample[0] <= now - lag_s]
        time, load = old_enough[-1] if old_enough else self._samples[0]
        return {**load, "age_ms": int((now - time) * 1000)}

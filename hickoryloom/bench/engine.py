"""A backend server as the driver runs it: slots, a queue and a fixed speed."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

import attrs

from hickoryloom.routing.messages import BackendView

__all__ = ["Engine", "Job"]


@attrs.define(eq=False)
class Job:
    """One attempt at an engine.

    Attributes:
        owner: What the driver knows it by.
        priority: Place in the engine's queue; lower goes first.
        prompt_s: Seconds until the first token, once it has a slot.
        tokens: Tokens still to be generated.
        begun: Time at which it got its slot; None while it queues.
        ended: Whether it is over.
    """

    owner: Any
    priority: float
    prompt_s: float
    tokens: int
    begun: float | None = None
    ended: bool = False


class Engine:
    """Runs jobs side by side, up to its slots, and queues the rest by priority.

    Args:
        view: What entries know of it.
        price: Cost of an hour.
        token_s: Seconds between two tokens of a job.
        schedule: Calls a function at a time.
        first: Called with a job that has its first token.
        done: Called with a job that is over.
    """

    def __init__(
        self,
        view: BackendView,
        price: float,
        token_s: float,
        schedule: Callable[[float, Callable[[], None]], None],
        first: Callable[[Job], None],
        done: Callable[[Job], None],
    ) -> None:
        self.view = view
        self.price = price
        self.alive = True
        self._token_s = token_s
        self._schedule = schedule
        self._first = first
        self._done = done
        self._running: dict[Job, None] = {}
        self._queue: list[tuple[float, int, Job]] = []
        self._sequence = 0

    @property
    def running(self) -> int:
        """Jobs that hold a slot."""
        return len(self._running)

    @property
    def waiting(self) -> int:
        """Jobs in the queue."""
        return sum(1 for _, _, job in self._queue if not job.ended)

    def submit(self, job: Job, now: float) -> None:
        """Queue a job."""
        self._sequence += 1
        heapq.heappush(self._queue, (job.priority, self._sequence, job))
        self._fill(now)

    def generated(self, job: Job, now: float) -> int:
        """Return the tokens that a job has generated so far."""
        if job.begun is None:
            return 0
        spent = now - job.begun - job.prompt_s
        return max(0, min(job.tokens, int(spent / self._token_s) + 1 if spent >= 0 else 0))

    def first_token_at(self, job: Job) -> float | None:
        """Return when a job had its first token; None when it got no slot."""
        return None if job.begun is None else job.begun + job.prompt_s

    def cancel(self, job: Job, now: float) -> None:
        """Stop a job and free its slot."""
        job.ended = True
        self._running.pop(job, None)
        self._fill(now)

    def crash(self) -> list[Job]:
        """Lose all jobs and take no more; return those lost."""
        self.alive = False
        lost = [*self._running, *(job for _, _, job in self._queue if not job.ended)]
        for job in lost:
            job.ended = True
        self._running.clear()
        self._queue.clear()
        return lost

    def _fill(self, now: float) -> None:
        while self._queue and len(self._running) < self.view.slots:
            job = heapq.heappop(self._queue)[2]
            if not job.ended:
                self._begin(job, now)

    def _begin(self, job: Job, now: float) -> None:
        job.begun = now
        self._running[job] = None
        self._schedule(now + job.prompt_s, lambda: self._show_first(job))
        end = now + job.prompt_s + job.tokens * self._token_s
        self._schedule(end, lambda: self._finish(job, end))

    def _show_first(self, job: Job) -> None:
        if not job.ended:
            self._first(job)

    def _finish(self, job: Job, now: float) -> None:
        if job.ended:
            return
        job.ended = True
        self._running.pop(job, None)
        self._fill(now)
        self._done(job)

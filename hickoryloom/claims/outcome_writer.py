"""Writes outcomes into claims, again and again while the platform is down."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

import attrs
import gevent
import logbook
from gevent.event import Event
from result import Result

from hickoryloom.logs import log_event
from hickoryloom.store import (
    Backoff,
    ErrorKind,
    PlatformClient,
    PlatformError,
    Steps,
    run_steps,
)

__all__ = ["Finisher", "Pending"]

MAX_PENDING = 2000
TRIES = 4
LAST_KINDS = frozenset((ErrorKind.CONFLICT, ErrorKind.REJECTED))

log = logbook.Logger("hickoryloom.claims")


@attrs.frozen
class Pending:
    """One change that a claim still needs.

    Attributes:
        key: Key of the claim's object.
        attempt: The attempt whose outcome it is.
        steps: Starts the steps that make the change, with the most tries in one go.
    """

    key: str
    attempt: str
    steps: Callable[[int], Steps[Result[None, PlatformError]]]


class Finisher:
    """Makes pending changes in order, with back-off.

    Args:
        client: Client of the platform.
        random: Source of jitter.
        finished: Called with each change that is made or given up.
    """

    def __init__(
        self, client: PlatformClient, random: Random, finished: Callable[[Pending], None]
    ) -> None:
        self._client = client
        self._backoff = Backoff(random)
        self._finished = finished
        self._pending: deque[Pending] = deque()
        self._added = Event()

    @property
    def pending(self) -> int:
        """Changes that are not made yet."""
        return len(self._pending)

    def finish(self, pending: Pending) -> bool:
        """Try a change once and keep it for later when the platform does not answer.

        Returns:
            Whether it is made.
        """
        if self._try(pending, 1):
            self._finished(pending)
            return True
        self.add(pending)
        return False

    def add(self, pending: Pending) -> None:
        """Keep a change for later; above `MAX_PENDING`, the oldest is given up."""
        if len(self._pending) >= MAX_PENDING:
            dropped = self._pending.popleft()
            self._finished(dropped)
            log_event(log, "claim-outcome-dropped", attempt=dropped.attempt)
        self._pending.append(pending)
        self._added.set()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all changes are made; return whether that came about in time."""
        with gevent.Timeout(timeout_s, False):
            while self._pending:
                gevent.sleep(0.02)
        return not self._pending

    def run(self) -> None:
        """Work until killed."""
        while True:
            self._added.wait()
            self._added.clear()
            while self._pending:
                if self._try_first():
                    self._backoff.reset()
                    continue
                gevent.sleep(self._backoff.next_s())

    def _try_first(self) -> bool:
        first = self._pending[0]
        if not self._try(first, TRIES):
            return False
        if self._pending and self._pending[0] is first:
            self._pending.popleft()
            self._finished(first)
        return True

    def _try(self, pending: Pending, tries: int) -> bool:
        """Try a change; return whether nothing is left to do for it."""
        outcome = run_steps(pending.steps(tries), self._client)
        if outcome.is_ok():
            return True
        error = outcome.unwrap_err()
        if error.kind not in LAST_KINDS:
            return False
        log_event(log, "claim-outcome-refused", attempt=pending.attempt, kind=error.kind.value)
        return True

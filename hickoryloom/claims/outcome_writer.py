"""Writes outcomes into claims, with retries while the platform is down."""

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
    execute_steps,
)

__all__ = ["OutcomeWriter", "PendingChange"]

MAX_PENDING = 2000
MAX_TRIES = 4
FINAL_ERROR_KINDS = frozenset((ErrorKind.CONFLICT, ErrorKind.REJECTED))

log = logbook.Logger("hickoryloom.claims")


@attrs.frozen
class PendingChange:
    """A change that still has to be written to a claim.

    Attributes:
        key: Key of the claim's object.
        attempt: Attempt that the change belongs to.
        steps: Starts the steps that write the change, given the maximum number of tries.
    """

    key: str
    attempt: str
    steps: Callable[[int], Steps[Result[None, PlatformError]]]


class OutcomeWriter:
    """Writes pending changes in order, with back-off.

    Args:
        client: Client of the platform.
        random: Source of jitter.
        on_finished: Called with each change that was written or dropped.
    """

    def __init__(
        self, client: PlatformClient, random: Random, on_finished: Callable[[PendingChange], None]
    ) -> None:
        self._client = client
        self._backoff = Backoff(random)
        self._on_finished = on_finished
        self._pending: deque[PendingChange] = deque()
        self._enqueued = Event()

    @property
    def pending(self) -> int:
        """Number of changes not written yet."""
        return len(self._pending)

    def submit(self, pending: PendingChange) -> bool:
        """Try to write a change once; enqueue it if the platform does not answer.

        Returns:
            Whether the change needs no retry.
        """
        if self._try_change(pending, 1):
            self._on_finished(pending)
            return True
        self.enqueue(pending)
        return False

    def enqueue(self, pending: PendingChange) -> None:
        """Enqueue a change; at `MAX_PENDING` changes, drop the oldest one."""
        if len(self._pending) >= MAX_PENDING:
            dropped = self._pending.popleft()
            self._on_finished(dropped)
            log_event(log, "claim-outcome-dropped", attempt=dropped.attempt)
        self._pending.append(pending)
        self._enqueued.set()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all changes are written; return whether that took less than `timeout_s`."""
        with gevent.Timeout(timeout_s, False):
            while self._pending:
                gevent.sleep(0.02)
        return not self._pending

    def run(self) -> None:
        """Write enqueued changes until killed."""
        while True:
            self._enqueued.wait()
            self._enqueued.clear()
            while self._pending:
                if self._try_first():
                    self._backoff.reset()
                    continue
                gevent.sleep(self._backoff.next_delay_s())

    def _try_first(self) -> bool:
        first = self._pending[0]
        if not self._try_change(first, MAX_TRIES):
            return False
        if self._pending and self._pending[0] is first:
            self._pending.popleft()
            self._on_finished(first)
        return True

    def _try_change(self, pending: PendingChange, tries: int) -> bool:
        """Try to write a change; return whether it needs no retry."""
        result = execute_steps(pending.steps(tries), self._client)
        if result.is_ok():
            return True
        error = result.unwrap_err()
        if error.kind not in FINAL_ERROR_KINDS:
            return False
        log_event(log, "claim-outcome-refused", attempt=pending.attempt, kind=error.kind.value)
        return True

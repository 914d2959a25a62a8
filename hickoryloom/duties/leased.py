"""A task that acts only while its process holds the lease."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from hickoryloom.duties.caller import DutyCaller
from hickoryloom.leases import Right
from hickoryloom.loops import TaskLoop

__all__ = ["LeasedTask"]


class LeasedTask:
    """Repeats an action under the lease, and gets ready for it each time the lease is gained.

    Args:
        caller: Tells whether the process holds the lease.
        begin: Gets ready; returns whether the action may follow, else it is called again.
        act: Acts once and returns the seconds to wait after it.
        pause_s: Seconds between looks for the lease.
        name: Name of the task, for the log.
        log: Logger of the task's slice.
    """

    def __init__(
        self,
        caller: DutyCaller,
        begin: Callable[[Right], bool],
        act: Callable[[Right], float],
        pause_s: float,
        name: str,
        log: logbook.Logger,
    ) -> None:
        self._caller = caller
        self._begin = begin
        self._act = act
        self._pause_s = pause_s
        self._begun_term: int | None = None
        self._loop = TaskLoop(self.step, name, log)

    def start(self) -> None:
        """Begin to look for the lease."""
        self._loop.start()

    def stop(self) -> None:
        """End."""
        self._loop.stop()

    def step(self) -> float:
        """Act if the lease is held; return the seconds to wait."""
        right = self._caller.right()
        if right is None:
            self._begun_term = None
            return self._pause_s
        if right.term != self._begun_term:
            if not self._begin(right):
                return self._pause_s
            self._begun_term = right.term
        return self._act(right)

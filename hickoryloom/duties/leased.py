"""Background task that acts only while this process holds the lease."""

from __future__ import annotations

from collections.abc import Callable

import logbook

from hickoryloom.duties.client import DutyClient
from hickoryloom.leases import LeaseGrant
from hickoryloom.loops import TaskLoop

__all__ = ["LeasedTask"]


class LeasedTask:
    """Repeats an action while the lease is held, after preparing once per term.

    Args:
        client: Provides the current grant under the lease.
        prepare: Called each time the lease is acquired; returns whether preparation succeeded.
            It is called again after `pause_s` until it does.
        act: Performs the action once and returns the delay before the next one, in seconds.
        pause_s: Interval between checks for the lease, in seconds.
        name: Name of the task in the log.
        log: Logger of the component that owns the task.
    """

    def __init__(
        self,
        client: DutyClient,
        prepare: Callable[[LeaseGrant], bool],
        act: Callable[[LeaseGrant], float],
        pause_s: float,
        name: str,
        log: logbook.Logger,
    ) -> None:
        self._client = client
        self._prepare = prepare
        self._act = act
        self._pause_s = pause_s
        self._prepared_term: int | None = None
        self._loop = TaskLoop(self.step, name, log)

    def start(self) -> None:
        """Start checking for the lease."""
        self._loop.start()

    def stop(self) -> None:
        """Stop the task."""
        self._loop.stop()

    def step(self) -> float:
        """Act if the lease is held; return the delay before the next step, in seconds."""
        grant = self._client.current_grant()
        if grant is None:
            self._prepared_term = None
            return self._pause_s
        if grant.term != self._prepared_term:
            if not self._prepare(grant):
                return self._pause_s
            self._prepared_term = grant.term
        return self._act(grant)

"""Loops of long-running tasks; a failed step is logged and retried."""

from __future__ import annotations

from collections.abc import Callable

import gevent
import logbook
from gevent.event import Event

from hickoryloom.logs import log_event

__all__ = ["TaskLoop", "repeat_until"]

FAILED_PAUSE_S = 1.0


def repeat_until(
    stopping: Event,
    step: Callable[[], float],
    name: str,
    log: logbook.Logger,
    wake: Event | None = None,
) -> None:
    """Repeat `step` until `stopping` is set; an exception in a step does not end the loop.

    Args:
        stopping: Ends the loop, even during the wait between two steps.
        step: Executes one step and returns the seconds to wait after it.
        name: Name of the task, for the log.
        log: Logger of the package that the task belongs to.
        wake: Ends the wait between two steps when it is set; None for `stopping` alone.
    """
    signal = wake or stopping
    while not stopping.is_set():
        try:
            pause_s = step()
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"[:300]
            log_event(log, "task-step-failed", task=name, error=detail)
            pause_s = FAILED_PAUSE_S
        if pause_s > 0:
            signal.wait(pause_s)
        if wake is not None:
            wake.clear()


class TaskLoop:
    """A greenlet that repeats a step until it is stopped.

    Args:
        step: Executes one step and returns the seconds to wait after it.
        name: Name of the task, for the log.
        log: Logger of the package that the task belongs to.
    """

    def __init__(self, step: Callable[[], float], name: str, log: logbook.Logger) -> None:
        self._step = step
        self._name = name
        self._log = log
        self._stopping = Event()
        self._wake = Event()
        self._greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Start the greenlet."""
        self._greenlet = gevent.spawn(
            repeat_until, self._stopping, self._step, self._name, self._log, self._wake
        )

    def wake(self) -> None:
        """End the pause after the current step at once."""
        self._wake.set()

    def stop(self) -> None:
        """Stop after the current step and wait for the greenlet to end."""
        self._stopping.set()
        self._wake.set()
        if self._greenlet is not None:
            self._greenlet.join()

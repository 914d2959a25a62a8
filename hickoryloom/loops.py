"""Loops of long-lived tasks: a step that fails is logged and tried again."""

from __future__ import annotations

from collections.abc import Callable

import logbook
from gevent.event import Event

from hickoryloom.logs import log_event

__all__ = ["repeat_until"]

FAILED_PAUSE_S = 1.0


def repeat_until(
    stopping: Event, step: Callable[[], float], name: str, log: logbook.Logger
) -> None:
    """Repeat `step` until `stopping` is set; a failed one never ends the loop.

    Args:
        stopping: Ends the loop, also while it waits.
        step: Does one step and returns the seconds to wait after it.
        name: Name of the task, for the log.
        log: Logger of the task's slice.
    """
    while not stopping.is_set():
        try:
            pause_s = step()
        except Exception as error:
            detail = f"{type(error).__name__}: {error}"[:300]
            log_event(log, "task-step-failed", task=name, error=detail)
            pause_s = FAILED_PAUSE_S
        if pause_s > 0:
            stopping.wait(pause_s)

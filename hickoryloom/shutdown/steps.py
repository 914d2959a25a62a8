"""Runs the steps of a shutdown by the clock, so that no step delays the ones that callers need."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

import attrs
import gevent
import logbook

from hickoryloom.clock import Clock
from hickoryloom.logs import log_event

__all__ = ["StopStep", "run_stop_steps"]

MIN_WAIT_S = 0.01
"""Every step gets this time, also in a process that was suspended beyond the limit of the step."""

MAX_ERROR_CHARS = 300


@attrs.frozen
class StopStep:
    """One step of a shutdown. Times are in seconds since the request to stop.

    Attributes:
        name: Name in the log.
        run: Executes the step.
        from_s: Time before which it doesn't begin.
        until_s: Time at which it is no longer waited for; it goes on in its greenlet.
        in_background: Whether the following steps begin without waiting for it.
    """

    name: str
    run: Callable[[], object]
    from_s: float = 0.0
    until_s: float = math.inf
    in_background: bool = False


def run_stop_steps(
    steps: Iterable[StopStep],
    clock: Clock,
    log: logbook.Logger,
    describe: Callable[[], Mapping[str, object]] = dict,
) -> None:
    """Run the steps in their order, then wait for those in the background.

    The end of each step is logged as `stop-step`. A step that fails or takes too long doesn't
    prevent the others.

    Args:
        steps: The steps.
        clock: Source of time.
        log: Logger of the package that stops.
        describe: Returns further fields for the log, at the end of each step.
    """
    runner = _Runner(clock, log, describe)
    background = []
    for step in steps:
        gevent.sleep(max(0.0, step.from_s - runner.elapsed_s))
        if step.in_background:
            background.append(gevent.spawn(runner.run, step))
        else:
            runner.run(step)
    gevent.joinall(background)


class _Runner:
    def __init__(
        self, clock: Clock, log: logbook.Logger, describe: Callable[[], Mapping[str, object]]
    ) -> None:
        self._clock = clock
        self._log = log
        self._describe = describe
        self._started_at = clock.monotonic()

    @property
    def elapsed_s(self) -> float:
        """Seconds since the request to stop."""
        return self._clock.monotonic() - self._started_at

    def run(self, step: StopStep) -> None:
        """Run one step, wait for its end within its limit, and log it."""
        task = gevent.spawn(_run_safely, step)
        left_s = max(MIN_WAIT_S, step.until_s - self.elapsed_s)
        task.join(None if math.isinf(left_s) else left_s)
        error = task.value
        outcome = "overran" if not task.ready() else "failed" if error else "done"
        log_event(
            self._log,
            "stop-step",
            step=step.name,
            after_ms=round(self.elapsed_s * 1000),
            outcome=outcome,
            error=error or None,
            **self._further_fields(),
        )

    def _further_fields(self) -> Mapping[str, object]:
        try:
            return self._describe()
        except Exception as error:
            return {"not_described": _format_error(error)}


def _run_safely(step: StopStep) -> str:
    """Run a step and return its error, or an empty string."""
    try:
        step.run()
    except BaseException as error:
        # Also gevent.Timeout, and SystemExit, which gevent raises in the main greenlet.
        return _format_error(error)
    return ""


def _format_error(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS]

"""Steps of a shutdown, with times of hundredths of a second."""

import gevent
import logbook
import pytest

from hickoryloom.clock import SystemClock
from hickoryloom.shutdown import StopStep, run_stop_steps

LIMIT_S = 0.1
LONG_S = 5.0
SLACK_S = 1.0
"""Time that a busy machine may add."""


def run(*steps):
    """Run steps; return the seconds that they took, and the logged outcomes by step."""
    clock = SystemClock()
    with logbook.TestHandler().applicationbound() as handler:
        started_at = clock.monotonic()
        run_stop_steps(steps, clock, logbook.Logger("test"), lambda: {"open_requests": 3})
        took_s = clock.monotonic() - started_at
    # Greenlets that other tests have left behind may log meanwhile.
    lines = [record.message for record in handler.records if record.channel == "test"]
    assert all("event=stop-step" in line and "open_requests=3" in line for line in lines)
    fields = [dict(pair.split("=", 1) for pair in line.split() if "=" in pair) for line in lines]
    return took_s, {field["step"]: field["outcome"] for field in fields}


@pytest.mark.parametrize("in_background", [False, True])
def test_a_step_that_hangs_delays_the_others_by_its_limit_at_most(in_background):
    ran = []
    hanging = StopStep("hangs", lambda: gevent.sleep(LONG_S), 0.0, LIMIT_S, in_background)
    took_s, outcomes = run(hanging, StopStep("next", lambda: ran.append(True)))
    assert outcomes == {"hangs": "overran", "next": "done"}
    assert ran and took_s < LIMIT_S + SLACK_S


def test_a_step_in_the_background_does_not_delay_the_next_one():
    order = []
    slow = StopStep(
        "slow", lambda: (gevent.sleep(LIMIT_S), order.append("slow")), in_background=True
    )
    _, outcomes = run(slow, StopStep("next", lambda: order.append("next")))
    assert order == ["next", "slow"] and outcomes == {"next": "done", "slow": "done"}


@pytest.mark.parametrize("error", [OSError("no such lease"), gevent.Timeout(1), SystemExit(1)])
def test_a_step_that_fails_does_not_prevent_the_others(error):
    """Guards also against a failed step that is logged as done."""

    def fail():
        raise error

    ran = []
    _, outcomes = run(StopStep("fails", fail), StopStep("next", lambda: ran.append(True)))
    assert ran and outcomes == {"fails": "failed", "next": "done"}


def test_a_log_line_that_can_not_be_completed_does_not_prevent_the_steps():
    def describe():
        raise ValueError("file descriptor is negative")

    ran = []
    steps = [StopStep(f"step-{number}", lambda: ran.append(True)) for number in range(2)]
    run_stop_steps(steps, SystemClock(), logbook.Logger("test"), describe)
    assert len(ran) == 2


def test_a_step_begins_no_sooner_than_its_time():
    clock = SystemClock()
    started_at, begun_at = clock.monotonic(), []
    run(StopStep("later", lambda: begun_at.append(clock.monotonic()), from_s=LIMIT_S))
    assert begun_at[0] - started_at >= LIMIT_S


def test_a_step_whose_time_is_over_is_executed_all_the_same():
    """Guards against requests that are never refused after the process was suspended."""
    ran = []
    late = StopStep("late", lambda: gevent.sleep(2 * LIMIT_S), until_s=3 * LIMIT_S)
    _, outcomes = run(late, StopStep("refuse", lambda: ran.append(True), until_s=LIMIT_S))
    assert ran and outcomes == {"late": "done", "refuse": "done"}

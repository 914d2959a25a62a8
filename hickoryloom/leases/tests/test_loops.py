import logbook
from gevent.event import Event

from hickoryloom import loops
from hickoryloom.loops import repeat_until


def test_a_step_that_fails_is_tried_again(monkeypatch):
    monkeypatch.setattr(loops, "FAILED_PAUSE_S", 0.0)
    stopping, calls = Event(), []

    def step():
        calls.append(1)
        if len(calls) < 3:
            raise KeyError("window")
        stopping.set()
        return 0.0

    with logbook.TestHandler() as handler:
        repeat_until(stopping, step, "usage", logbook.Logger("test"))
    assert len(calls) == 3
    assert sum("event=task-step-failed" in r.message for r in handler.records) == 2


def test_a_stop_ends_the_wait_between_steps():
    stopping = Event()

    def step():
        stopping.set()
        return 3600.0

    repeat_until(stopping, step, "usage", logbook.Logger("test"))
    assert stopping.is_set()

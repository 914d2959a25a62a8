import logbook
from gevent.event import Event

from hickoryloom import loops
from hickoryloom.loops import repeat_until


def test_failed_step_is_retried(monkeypatch):
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


def test_stop_interrupts_the_wait_between_steps():
    stopping = Event()

    def step():
        stopping.set()
        return 3600.0

    repeat_until(stopping, step, "usage", logbook.Logger("test"))
    assert stopping.is_set()

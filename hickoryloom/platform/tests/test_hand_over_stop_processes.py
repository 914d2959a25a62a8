"""Real gateway processes that hand requests over to instances which are stopped as planned."""

import functools
import itertools
import signal

import gevent
import pytest

from hickoryloom.platform.tests.partition import launch_behind_wires
from hickoryloom.platform.tests.standin import Backend, build_event, build_stream_head
from hickoryloom.platform.tests.test_unreachable_servers import (
    KINDS,
    KNOWN_S,
    Servers,
    call,
    call_all,
    cut_all,
)

pytestmark = [pytest.mark.processes, pytest.mark.seconds(110)]

GRACE_S = 8.0
TURN_S = 0.02
STOPS = 3


@pytest.fixture
def instances(site):
    """Servers, a gateway that reaches none of them, and two that do, known to each other."""
    servers = Servers(site)
    gateway, cut_site = launch_behind_wires(site, "edge-1")
    whole = [site.launch(f"edge-{number}") for number in (2, 3)]
    for each in (gateway, *whole):
        each.wait_ready()
    gevent.sleep(KNOWN_S)
    cut_all([(gateway, cut_site)], "reset")
    call_all([gateway], "warm", 3)
    yield servers, gateway, whole
    cut_site.stop()


class Callers:
    """Callers that send requests of all kinds one after the other, until they are stopped.

    Attributes:
        statuses: Statuses by id of the request.
    """

    def __init__(self, gateway, kinds):
        self.statuses = {}
        self._numbers = itertools.count()
        self._stopped = False
        self._tasks = [gevent.spawn(self._run, gateway, kind) for kind in kinds]

    def stop(self):
        self._stopped = True
        gevent.joinall(self._tasks, raise_error=True)

    def _run(self, gateway, kind):
        while not self._stopped:
            id = f"{kind}-{next(self._numbers)}"
            self.statuses[id] = call(gateway, kind, id)
            gevent.sleep(TURN_S)


def stop_and_restart(site, gateway):
    """Stop a gateway as planned and start it again; return the new process."""
    gateway.signal(signal.SIGTERM)
    assert gateway.wait(GRACE_S) == 0
    started = site.relaunch(gateway)
    started.wait_ready()
    return started


def test_nothing_is_lost_when_the_instances_that_serve_it_are_stopped_in_turn(instances, site):
    """Guards against a 502 or a cut answer because a peer was stopped as planned."""
    servers, gateway, whole = instances
    callers = Callers(gateway, KINDS * 3)
    for number in range(STOPS):
        whole[number % 2] = stop_and_restart(site, whole[number % 2])
        # The other instances must read the token of the new process before the next stop.
        gevent.sleep(KNOWN_S)
    callers.stop()
    ended = {id: status for id, status in callers.statuses.items() if status not in (200, 503)}
    assert not ended, ended
    assert len(callers.statuses) > 100
    assert list(callers.statuses.values()).count(200) >= 0.95 * len(callers.statuses)
    assert not servers.repeated


def test_a_stream_goes_on_while_its_sender_or_its_receiver_is_stopped(instances):
    """Guards against streams over two instances that end with a planned stop of either."""
    servers, gateway, whole = instances
    servers.gap_s = 1.0
    for stopped in (whole[0], gateway):
        streams = {
            kind: [
                gevent.spawn(call, gateway, kind, f"{kind}-{stopped.name}-{number}")
                for number in range(6)
            ]
            for kind in ("draft", "answer")
        }
        gevent.sleep(0.5)
        stopped.signal(signal.SIGTERM)
        for kind, tasks in streams.items():
            assert [task.get() for task in tasks] == [200] * 6, kind
        assert stopped.wait(GRACE_S) == 0


def break_off(request, chunked, end):
    """Script of a backend server that breaks its answer off: a stream within its second event."""
    if "token-count" in request["headers"]:
        yield build_stream_head(request, chunked)
        yield build_event(1, chunked)
        yield 0.1
        yield build_event(2, chunked)[:8]
    else:
        yield build_stream_head(request, chunked).replace(b"text/event-stream", b"text/plain")
        yield b"4\r\nhalf\r\n" if chunked else b"half"
    yield 0.1
    yield end


@pytest.mark.parametrize("end", [Backend.RESET, Backend.CLOSE], ids=["reset", "close"])
@pytest.mark.parametrize("chunked", [True, False], ids=["chunked", "closed"])
def test_an_answer_that_breaks_off_is_not_complete_over_two_instances(instances, chunked, end):
    """Guards against a part of an answer that reaches its caller as a complete success."""
    servers, gateway, _ = instances
    for backend in servers.backends:
        backend.script = functools.partial(break_off, chunked=chunked, end=end)
    assert call(gateway, "answer", "stream") == 0
    # Nothing tells a plain answer without length that is closed too early from a complete one.
    if chunked or end is Backend.RESET:
        assert call(gateway, "once", "once") == 502
    assert [line for line in gateway.events("hand-over") if "request=stream " in line]

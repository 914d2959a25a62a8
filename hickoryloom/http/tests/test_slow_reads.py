"""A caller that reads slowly gets the whole response; one that reads nothing is disconnected."""

import gevent
import pytest
from gevent import socket

from hickoryloom.clock import SystemClock
from hickoryloom.http import CallerWrites, WriteWatch, send_all

TIMEOUT_S = 0.3
"""Several steps in which the caller's window opens, and half of the time after which the kernel
takes further bytes."""

DATA = bytes(200_000)


@pytest.fixture(params=["watched", "unwatched"])
def sender(request, monkeypatch):
    """Return a function that sends on a connection with small buffers, and the other end."""
    monkeypatch.setattr("hickoryloom.http.write_watch.QUEUE_INTERVAL_S", TIMEOUT_S / 10)
    monkeypatch.setattr("hickoryloom.http.write_watch.CHECK_INTERVAL_S", TIMEOUT_S / 10)
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen()
        far = socket.socket()
        far.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        far.settimeout(3.0)
        far.connect(listener.getsockname())
        near, _ = listener.accept()
    near.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 64 * 1024)
    near.settimeout(TIMEOUT_S)
    watch = WriteWatch(SystemClock())
    watch.start()
    if request.param == "watched":
        yield CallerWrites(watch, near).send_all, far
    else:
        yield lambda data: send_all(near, data), far
    watch.stop()
    near.close()
    far.close()


def test_a_slow_but_steady_caller_is_not_cut_off(sender):
    send, far = sender
    task = gevent.spawn(send, DATA)
    received = 0
    while received < len(DATA):
        received += len(far.recv(1024))
        gevent.sleep(TIMEOUT_S / 20)
    task.get()


def test_a_caller_that_reads_nothing_is_disconnected(sender):
    send, _ = sender
    with gevent.Timeout(3.0), pytest.raises(TimeoutError):
        send(DATA)

"""Detects callers that disconnect before the response is complete."""

from __future__ import annotations

from typing import Any

import gevent
import logbook
from gevent import socket

from hickoryloom.http.handler import SOCKET_KEY, WATCHES_KEY
from hickoryloom.logs import log_event

__all__ = ["DisconnectWatch"]

MSG_PEEK = 2
READ = 1

STATE_CHECK_S = 0.1
"""Interval for checking a connection with unread bytes, behind which its end can't be read."""

ENDED_STATES = frozenset((7, 8, 9, 11))
"""States of TCP in which the other side has closed: CLOSE, CLOSE_WAIT, LAST_ACK, CLOSING."""

log = logbook.Logger("hickoryloom.http")


class DisconnectWatch:
    """Runs a callback once if the caller closes its connection before the response is complete.

    It ends with its request at the latest, also if the application fails before it calls `stop`.
    A caller that closes only its sending side looks the same as one that has left, and counts as
    one: HTTP/1.1 has no half-closed connections, and servers must not work for callers that left.
    A caller that only sends more bytes, such as its next request, has not left.

    Args:
        environ: WSGI environment of the request, created by `Server`.
        on_disconnect: Callback, which runs in another greenlet.
    """

    def __init__(self, environ: dict[str, Any], on_disconnect: Any) -> None:
        self._on_disconnect = on_disconnect
        self._socket = environ.get(SOCKET_KEY)
        self._task: gevent.Greenlet | None = None
        self._watcher: Any = None
        environ.get(WATCHES_KEY, []).append(self)
        if self._socket is not None:
            self._watcher = gevent.get_hub().loop.io(self._socket.fileno(), READ)
            self._watcher.start(self._on_readable)

    def stop(self) -> None:
        """Stop watching at once.

        The event loop aborts the process if a descriptor is closed that is still watched, which
        happened when a greenlet waited for it and was killed only in a later pass of the loop.
        """
        if self._watcher is not None:
            self._watcher.stop()
            self._watcher.close()
            self._watcher = None
        if self._task is not None:
            self._task.kill(block=False)

    def _on_readable(self) -> None:
        self._watcher.stop()
        self._task = gevent.spawn(self._check)

    def _check(self) -> None:
        assert self._socket is not None
        try:
            closed = not self._socket.recv(1, MSG_PEEK)
        except OSError:
            closed = True
        try:
            while not closed:
                gevent.sleep(STATE_CHECK_S)
                if self._watcher is None:
                    return
                closed = _is_ended(self._socket)
        except OSError as error:
            # Without the state, the end is noticed by the next write.
            log_event(log, "caller-not-watched", error=str(error))
            return
        self._on_disconnect()


def _is_ended(sock: Any) -> bool:
    """Return whether the other side has closed a connection, whatever remains unread.

    Raises:
        OSError: The state of the connection is not known.
    """
    return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] in ENDED_STATES

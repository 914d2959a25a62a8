"""Tells when a caller closes its connection before its answer has ended."""

from __future__ import annotations

from typing import Any

import gevent
from gevent.socket import wait_read

from hickoryloom.http.server import SOCKET_KEY

__all__ = ["CallerWatch"]

MSG_PEEK = 2


class CallerWatch:
    """Calls back once when the caller closes its connection before the answer has ended.

    Args:
        environ: WSGI environment of gevent's server.
        left: Called from another greenlet.
    """

    def __init__(self, environ: dict[str, Any], left: Any) -> None:
        self._left = left
        socket = environ.get(SOCKET_KEY)
        self._task = None if socket is None else gevent.spawn(self._watch, socket)

    def stop(self) -> None:
        """Stop watching."""
        if self._task is not None:
            self._task.kill(block=False)

    def _watch(self, socket: Any) -> None:
        try:
            wait_read(socket.fileno())
            closed = not socket.recv(1, MSG_PEEK)
        except OSError:
            closed = True
        if closed:
            self._left()

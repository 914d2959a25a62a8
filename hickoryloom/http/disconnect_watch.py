"""Detects callers that disconnect before the response is complete."""

from __future__ import annotations

from typing import Any

import gevent
from gevent.socket import wait_read

from hickoryloom.http.server import SOCKET_KEY

__all__ = ["DisconnectWatch"]

MSG_PEEK = 2


class DisconnectWatch:
    """Runs a callback once if the caller closes its connection before the response is complete.

    Args:
        environ: WSGI environment of the request, created by `Server`.
        on_disconnect: Callback, which runs in another greenlet.
    """

    def __init__(self, environ: dict[str, Any], on_disconnect: Any) -> None:
        self._on_disconnect = on_disconnect
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
            self._on_disconnect()

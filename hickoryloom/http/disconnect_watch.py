"""Detects callers that disconnect before the response is complete."""

from __future__ import annotations

from typing import Any

import gevent

from hickoryloom.http.handler import SOCKET_KEY, WATCHES_KEY

__all__ = ["DisconnectWatch"]

MSG_PEEK = 2
READ = 1


class DisconnectWatch:
    """Runs a callback once if the caller closes its connection before the response is complete.

    It ends with its request at the latest, also if the application fails before it calls `stop`.

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
        if closed:
            self._on_disconnect()

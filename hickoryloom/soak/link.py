"""A loopback proxy that breaks what passes through it."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

__all__ = ["Link"]

CONNECT_TIMEOUT_S = 5.0
POLL_S = 0.02
"""Pause between looks whether a silent link speaks again."""


class Link:
    """A TCP link to `target`: cut, silent, one-way or slow, for old and new connections.

    Attributes:
        refusing: Whether new connections are closed at once.
        silent: Whether nothing passes.
        answers_lost: Whether nothing passes from the target back.
        delay_s: Seconds by which each block is delayed.

    Args:
        target: `host:port`.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._pairs: list[tuple[Any, Any]] = []
        self._muted: list[tuple[Any, Any]] = []
        self.refusing = False
        self.silent = False
        self.answers_lost = False
        self.delay_s = 0.0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """`host:port` on which it listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def cut(self) -> None:
        """Break all connections and refuse new ones until `restore`."""
        self.refusing = True
        self.reset_open_connections()

    def reset_open_connections(self) -> None:
        """Break all connections that are open; new ones work."""
        for pair in list(self._pairs):
            for end in pair:
                _shut(end)

    def mute_open_connections(self) -> None:
        """Let all open connections go silent for good, while new ones work."""
        # The pairs themselves are kept: a new pair may get the id of one that is gone.
        self._muted.extend(self._pairs)

    def restore(self) -> None:
        """Let everything pass again, but for connections that were muted."""
        self.refusing = False
        self.silent = False
        self.answers_lost = False
        self.delay_s = 0.0

    def close(self) -> None:
        """Break all connections and listen no more."""
        self.cut()
        self._server.stop(timeout=0)

    def _is_muted(self, pair: Any) -> bool:
        return any(pair is muted for muted in self._muted)

    def _serve(self, client: Any, _address: Any) -> None:
        if self.refusing:
            return
        try:
            server = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            return
        server.settimeout(None)
        pair = (client, server)
        self._pairs.append(pair)
        tasks = [
            gevent.spawn(self._pump, client, server, pair, False),
            gevent.spawn(self._pump, server, client, pair, True),
        ]
        gevent.joinall(tasks)
        for end in pair:
            _shut(end)
        self._pairs.remove(pair)

    def _pump(self, source: Any, sink: Any, pair: Any, is_answer: bool) -> None:
        try:
            while data := source.recv(65536):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                while self._holds(pair, is_answer):
                    gevent.sleep(POLL_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # Either end has closed or was shut; the pair ends with it.
            pass

    def _holds(self, pair: Any, is_answer: bool) -> bool:
        return self.silent or (self.answers_lost and is_answer) or self._is_muted(pair)


def _shut(end: Any) -> None:
    try:
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        # It was closed before.
        pass
    end.close()

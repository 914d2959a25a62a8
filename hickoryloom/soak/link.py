"""A loopback TCP proxy that injects network faults."""

from __future__ import annotations

from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

__all__ = ["Link"]

CONNECT_TIMEOUT_S = 5.0
POLL_S = 0.02
"""Interval of the checks whether a blocked link forwards data again."""


class Link:
    """A TCP proxy to `target` that can refuse, block, delay or break connections.

    Attributes:
        refusing: Whether new connections are closed immediately.
        silent: Whether no data is forwarded in either direction.
        responses_blocked: Whether no data is forwarded from the target to the client.
        delay_s: Delay of each block of data, in seconds.

    Args:
        target: `host:port`.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._connections: list[tuple[Any, Any]] = []
        self._stalled: list[tuple[Any, Any]] = []
        self.refusing = False
        self.silent = False
        self.responses_blocked = False
        self.delay_s = 0.0
        self._server = StreamServer(("127.0.0.1", 0), self._serve)
        self._server.start()

    @property
    def address(self) -> str:
        """The `host:port` on which the proxy listens."""
        return f"127.0.0.1:{self._server.server_port}"

    def disconnect(self) -> None:
        """Close all connections and refuse new ones until `restore` is called."""
        self.refusing = True
        self.reset_open_connections()

    def reset_open_connections(self) -> None:
        """Close all open connections; new ones work."""
        for pair in list(self._connections):
            for end in pair:
                _close_socket(end)

    def stall_open_connections(self) -> None:
        """Stop forwarding on all open connections permanently; new ones work."""
        # Stores the pairs rather than their `id()`, which Python may reuse for a new pair.
        self._stalled.extend(self._connections)

    def restore(self) -> None:
        """Undo all faults except the stalling of open connections."""
        self.refusing = False
        self.silent = False
        self.responses_blocked = False
        self.delay_s = 0.0

    def close(self) -> None:
        """Close all connections and stop listening."""
        self.disconnect()
        self._server.stop(timeout=0)

    def _is_stalled(self, pair: Any) -> bool:
        return any(pair is stalled for stalled in self._stalled)

    def _serve(self, client: Any, _address: Any) -> None:
        if self.refusing:
            return
        try:
            upstream = socket.create_connection(self._target, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            return
        upstream.settimeout(None)
        pair = (client, upstream)
        self._connections.append(pair)
        tasks = [
            gevent.spawn(self._forward, client, upstream, pair, False),
            gevent.spawn(self._forward, upstream, client, pair, True),
        ]
        gevent.joinall(tasks)
        for end in pair:
            _close_socket(end)
        self._connections.remove(pair)

    def _forward(self, source: Any, sink: Any, pair: Any, is_response: bool) -> None:
        try:
            while data := source.recv(65536):
                if self.delay_s:
                    gevent.sleep(self.delay_s)
                while self._is_blocked(pair, is_response):
                    gevent.sleep(POLL_S)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            # One end was closed; `_serve` then closes the pair.
            pass

    def _is_blocked(self, pair: Any, is_response: bool) -> bool:
        return self.silent or (self.responses_blocked and is_response) or self._is_stalled(pair)


def _close_socket(end: Any) -> None:
    try:
        end.shutdown(socket.SHUT_RDWR)
    except OSError:
        # The socket is closed already.
        pass
    end.close()

"""Connection to one peer, and the heartbeat exchanges on it."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from hickoryloom.http import JsonClient, bearer_headers
from hickoryloom.membership.codec import HeartbeatMessage, decode_message, encode_message

__all__ = ["EXCHANGE_TIMEOUT_S", "HEARTBEAT_PATH", "PeerLink"]

EXCHANGE_TIMEOUT_S = 0.8
HEARTBEAT_PATH = "/peer/heartbeat"


class PeerLink:
    """Owns the connection to one peer and exchanges heartbeats on request.

    Args:
        address: `host:port` of the peer.
        secret: Token sent to the peer for authentication.
        build: Returns the message to send.
        receive: Called with the peer's response.
    """

    def __init__(
        self,
        address: str,
        secret: str,
        build: Callable[[], HeartbeatMessage],
        receive: Callable[[HeartbeatMessage], None],
    ) -> None:
        self.address = address
        self._headers = bearer_headers(secret)
        self._build = build
        self._receive = receive
        self._send_requested = Event()
        self._client = JsonClient(address, EXCHANGE_TIMEOUT_S, connections=1)
        self._task = gevent.spawn(self._run)

    def send(self) -> None:
        """Request an exchange; requests made during an exchange lead to a single further one."""
        self._send_requested.set()

    def close(self) -> None:
        """Stop the task and close the connection."""
        self._task.kill(block=False)
        self._client.close()

    def _run(self) -> None:
        while True:
            self._send_requested.wait()
            self._send_requested.clear()
            self._exchange()

    def _exchange(self) -> None:
        body = encode_message(self._build())
        result = self._client.call("POST", HEARTBEAT_PATH, body, headers=self._headers)
        if result.is_err() or result.unwrap().status != 200:
            self._reconnect()
            return
        decoded = decode_message(result.unwrap().body)
        if decoded.is_ok():
            self._receive(decoded.unwrap())

    def _reconnect(self) -> None:
        """Replace a connection that may never respond again."""
        self._client.close()
        self._client = JsonClient(self.address, EXCHANGE_TIMEOUT_S, connections=1)

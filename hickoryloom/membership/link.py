"""One connection to one peer, and the exchanges on it."""

from __future__ import annotations

from collections.abc import Callable

import gevent
from gevent.event import Event

from hickoryloom.http import JsonClient, bearer_headers
from hickoryloom.membership.codec import Word, decode_word, encode_word

__all__ = ["EXCHANGE_TIMEOUT_S", "HEARTBEAT_PATH", "PeerLink"]

EXCHANGE_TIMEOUT_S = 0.8
HEARTBEAT_PATH = "/peer/heartbeat"


class PeerLink:
    """Owns the connection to one peer and exchanges heartbeats when told to.

    Args:
        address: `host:port` of the peer.
        secret: Token shown to the peer.
        build: Returns the word to send.
        receive: Takes the peer's answer.
    """

    def __init__(
        self,
        address: str,
        secret: str,
        build: Callable[[], Word],
        receive: Callable[[Word], None],
    ) -> None:
        self.address = address
        self._headers = bearer_headers(secret)
        self._build = build
        self._receive = receive
        self._due = Event()
        self._client = JsonClient(address, EXCHANGE_TIMEOUT_S, connections=1)
        self._task = gevent.spawn(self._run)

    def send(self) -> None:
        """Make one exchange soon; calls while one is under way lead to one more."""
        self._due.set()

    def close(self) -> None:
        """End the task and the connection."""
        self._task.kill(block=False)
        self._client.close()

    def _run(self) -> None:
        while True:
            self._due.wait()
            self._due.clear()
            self._exchange()

    def _exchange(self) -> None:
        body = encode_word(self._build())
        answer = self._client.call("POST", HEARTBEAT_PATH, body, headers=self._headers)
        if answer.is_err() or answer.unwrap().status != 200:
            self._reconnect()
            return
        decoded = decode_word(answer.unwrap().body)
        if decoded.is_ok():
            self._receive(decoded.unwrap())

    def _reconnect(self) -> None:
        """Leave a connection that may be silent for good."""
        self._client.close()
        self._client = JsonClient(self.address, EXCHANGE_TIMEOUT_S, connections=1)

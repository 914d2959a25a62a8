"""A port for datagrams that several tasks share; the first byte tells whose a datagram is."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import gevent
import logbook
from gevent import socket

from hickoryloom.logs import log_event

__all__ = ["DatagramPort"]

READ_BYTES = 8 * 1024
RETRY_S = 0.03
"""Pause after a failed read."""

Handler = Callable[[bytes], None]

log = logbook.Logger("hickoryloom.datagrams")


class DatagramPort:
    """Sends and receives datagrams.

    Args:
        address: `host:port` at which this instance receives datagrams; empty to exchange nothing.
    """

    def __init__(self, address: str) -> None:
        self.address = address
        self._handlers: dict[bytes, Handler] = {}
        self._socket: Any = None
        self._reader: gevent.Greenlet | None = None

    @property
    def is_open(self) -> bool:
        """Whether datagrams can be sent and received."""
        return self._socket is not None

    def subscribe(self, first: bytes, handler: Handler) -> None:
        """Call `handler` with each datagram that begins with the byte `first`."""
        self._handlers[first] = handler

    def start(self) -> None:
        """Bind the socket and start to receive."""
        if not self.address:
            return
        host, _, port = self.address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind((host, int(port)))
        except OSError as error:
            # The instance serves on without what the others know.
            log_event(log, "datagrams-not-received", error=str(error))
            sock.close()
            return
        self._socket = sock
        self._reader = gevent.spawn(self._read_all)

    def stop(self) -> None:
        """Close the socket."""
        if self._reader is not None:
            self._reader.kill()
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def send(self, data: bytes, address: str) -> None:
        """Send one datagram, if the port is open; it may get lost."""
        if self._socket is None:
            return
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(data, (host, int(port)))
        except (OSError, ValueError) as error:
            log_event(log, "datagram-not-sent", to=address, error=str(error))

    def _read_all(self) -> None:
        while True:
            try:
                data, _ = self._socket.recvfrom(READ_BYTES)
            except OSError as error:
                log_event(log, "datagrams-not-received", error=str(error))
                gevent.sleep(RETRY_S)
                continue
            handler = self._handlers.get(data[:1])
            if handler is None:
                log_event(log, "datagram-unreadable", bytes=len(data))
                continue
            try:
                handler(data)
            except Exception:
                # Anyone can send a datagram; none of them may end the task.
                log.exception("event=datagram-failed")

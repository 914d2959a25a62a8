"""Logs requests whose connection ends without a complete response, and counts them."""

from __future__ import annotations

import fcntl
import struct
import termios
from collections import Counter
from enum import Enum
from typing import Any

import logbook

from hickoryloom.logs import log_event

__all__ = ["ConnectionLog", "Phase", "RequestStage", "unread_bytes"]

MAX_DETAIL_CHARS = 200
"""Maximum length of a logged error, which may quote parts of the request."""

log = logbook.Logger("hickoryloom.http")


class Phase(Enum):
    """What a server does with connections and requests."""

    SERVING = "serving"
    DRAINING = "draining"
    CLOSING = "closing"


class RequestStage(Enum):
    """How far a request had come when its connection ended."""

    READING = "reading"
    SERVING = "serving"
    SENDING = "sending"


class ConnectionLog:
    """Logs and counts the ends of connections of one server.

    Attributes:
        phase: What the server does at present.
        unanswered: Number of requests without a complete response, by stage.
        closed_unread: Number of connections that were closed although bytes of a request had
            arrived.

    Args:
        server: Name of the server in the log.
    """

    def __init__(self, server: str) -> None:
        self.phase = Phase.SERVING
        self.unanswered: Counter[RequestStage] = Counter()
        self.closed_unread = 0
        self._server = server

    def log_unanswered(
        self,
        stage: RequestStage,
        error: BaseException,
        request: str = "",
        response_begun: bool = False,
        closed_idle: bool = False,
    ) -> None:
        """Log a request that ends without a complete response.

        Args:
            stage: How far the request had come.
            error: What ended it.
            request: Its id; empty if it is not known.
            response_begun: Whether a part of the response has been sent.
            closed_idle: Whether the server has closed the connection as an idle one.
        """
        self.unanswered[stage] += 1
        log_event(
            log,
            "request-unanswered",
            server=self._server,
            request=request or None,
            stage=stage.value,
            phase=self.phase.value,
            response_begun=response_begun,
            closed_idle=closed_idle,
            error=f"{type(error).__name__}: {error}"[:MAX_DETAIL_CHARS],
        )

    def log_idle_closed(self, connections: int, unread: int, kept: int) -> None:
        """Log that the server closes its idle connections.

        Args:
            connections: Number of connections that were closed.
            unread: Number of those on which bytes of a request arrived in the moment of the close.
            kept: Number of connections that stay open, as unread bytes were found on them.
        """
        self.closed_unread += unread
        log_event(
            log,
            "idle-connections-closed",
            server=self._server,
            phase=self.phase.value,
            connections=connections,
            unread=unread,
            kept=kept,
        )

    def gauges(self) -> dict[str, float]:
        """Return the metrics of the server."""
        return {
            "connections_closed_unread": self.closed_unread,
            **{
                f'requests_unanswered{{stage="{stage.value}"}}': self.unanswered[stage]
                for stage in RequestStage
            },
        }


def unread_bytes(sock: Any) -> int:
    """Return the number of received bytes of a connection that have not been read."""
    try:
        answer = fcntl.ioctl(sock.fileno(), termios.FIONREAD, bytes(4))
    except (OSError, ValueError) as error:
        log_event(log, "connection-gone", error=str(error))
        return 0
    (size,) = struct.unpack("i", answer)
    return int(size)

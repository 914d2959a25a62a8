"""Connections to backend servers, kept only after a whole and right response."""

from __future__ import annotations

from typing import Any

import attrs
from gevent import socket

from hickoryloom.clock import Clock
from hickoryloom.upstream.exchange import AttemptError, Exchange
from hickoryloom.upstream.messages import AttemptFailed, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["Connections"]

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_S = 20.0
MS_PER_S = 1000.0
PROBE_IDLE_S = 1
PROBE_EVERY_S = 1
PROBES = 2
"""Keep-alive probes in the shortest times that the system knows, whole seconds."""

KEEP_MARGIN_S = 0.5
"""A kept connection is not used this shortly before the peer closes it, lest they cross."""


@attrs.frozen
class _Idle:
    sock: Any
    since: float
    until: float


class Connections:
    """Opens connections and keeps idle ones for reuse.

    Args:
        clock: Source of time.
        id_header: Header, in lower case, in which backend servers send a request's id back.
        connect_timeout_s: Seconds for opening a connection.
        unacknowledged_s: Seconds after which a connection whose bytes are not acknowledged is
            given up; None to leave that to the system.
    """

    def __init__(
        self,
        clock: Clock,
        id_header: str = "x-request-id",
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        unacknowledged_s: float | None = None,
    ) -> None:
        self._clock = clock
        self._id_header = id_header
        self._connect_timeout_s = connect_timeout_s
        self._unacknowledged_s = unacknowledged_s
        self._idle: dict[str, list[_Idle]] = {}
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Connections that carry a request now."""
        return self._in_use

    @property
    def idle(self) -> int:
        """Connections kept for reuse."""
        return sum(len(kept) for kept in self._idle.values())

    def open(self, address: str, attempt_id: str, method: str, fresh: bool) -> Exchange:
        """Return an exchange on a connection to `address`.

        Args:
            address: `host:port`.
            attempt_id: Id of the attempt.
            method: HTTP method.
            fresh: Whether it needs a new connection, so that a kept one that the backend
                server is closing can't swallow the request.

        Raises:
            AttemptError: There is no connection; nothing was written.
        """
        sock = None if fresh else self._take(address)
        if sock is None:
            sock = _connect(address, self._connect_timeout_s)
            if self._unacknowledged_s is not None:
                _detect_silence(sock, self._unacknowledged_s)
        self._in_use += 1
        return Exchange(sock, address, attempt_id, method, self._clock, self._id_header)

    def close(self, exchange: Exchange) -> None:
        """End an exchange and keep its connection if it may carry another; idempotent."""
        if exchange.closed:
            return
        self._in_use -= 1
        sock = exchange.release()
        if sock is None:
            return
        kept = self._idle.setdefault(exchange.address, [])
        if len(kept) >= MAX_IDLE_PER_ADDRESS:
            sock.close()
            return
        now = self._clock.monotonic()
        keep_s = MAX_IDLE_S if exchange.keep_s is None else exchange.keep_s - KEEP_MARGIN_S
        if keep_s <= 0:
            sock.close()
            return
        kept.append(_Idle(sock, now, now + min(keep_s, MAX_IDLE_S)))

    def drop_idle(self) -> None:
        """Close the connections that were idle for too long."""
        now = self._clock.monotonic()
        for address, kept in list(self._idle.items()):
            for idle in kept:
                if idle.until <= now:
                    idle.sock.close()
            self._idle[address] = [idle for idle in kept if idle.until > now]
            if not self._idle[address]:
                del self._idle[address]

    def close_idle(self) -> None:
        """Close all idle connections."""
        for kept in self._idle.values():
            for idle in kept:
                idle.sock.close()
        self._idle.clear()

    def _take(self, address: str) -> Any:
        kept = self._idle.get(address)
        while kept:
            idle = kept.pop()
            if idle.until > self._clock.monotonic() and _is_quiet(idle.sock):
                return idle.sock
            idle.sock.close()
        return None


def _connect(address: str, timeout_s: float) -> Any:
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection((host, int(port)), timeout=timeout_s)
    except (OSError, ValueError) as error:
        raise AttemptError(AttemptFailed(FailureCause.CONNECT, Verdict.NOT_RUN, str(error)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(None)
    return sock


def _detect_silence(sock: Any, unacknowledged_s: float) -> None:
    """Make the system find out soon that the peer no longer answers at all."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, round(unacknowledged_s * MS_PER_S))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, PROBES)


def _is_quiet(sock: Any) -> bool:
    """Return whether an idle connection is open and holds no unexpected bytes."""
    sock.settimeout(0.0)
    try:
        sock.recv(1, socket.MSG_PEEK)
    except BlockingIOError:
        return True
    except OSError:
        return False
    finally:
        sock.settimeout(None)
    return False

"""Connection pool for backend servers; reuse requires a complete, valid response."""

from __future__ import annotations

from typing import Any

import attrs
from gevent import socket

from hickoryloom.clock import Clock
from hickoryloom.upstream.exchange import AttemptError, Exchange
from hickoryloom.upstream.messages import AttemptFailure, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 0.4
"""A hundred round trips; a peer that takes longer is down or unreachable."""

UNACKNOWLEDGED_TIMEOUT_S = 1.5
"""A peer that acknowledges no sent bytes for this long is down or unreachable; a sound one may be
silent for a second."""

MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_S = 20.0
MS_PER_S = 1000.0
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 2
KEEPALIVE_PROBES = 2
"""TCP keepalive: one unanswered probe ends a connection, since `TCP_USER_TIMEOUT` goes before the
number of probes. A peer that is silent for less than the interval after a probe keeps its
connections; one that is gone loses them three seconds after its last packet."""

PREPARED_IDLE_S = 1.0
"""Time for which a connection without a request so far is kept: the idle timeout of its peer isn't
known yet."""

REUSE_MARGIN_S = 0.5
"""A pooled connection is not reused within this time before the peer closes it, so that a request
doesn't collide with the close."""


@attrs.frozen
class _IdleConnection:
    sock: Any
    since: float
    expires_at: float


class ConnectionPool:
    """Opens connections and pools idle ones for reuse.

    Args:
        clock: Source of time.
        id_header: Response header, in lower case, that carries the id of the request.
    """

    def __init__(self, clock: Clock, id_header: str = "x-request-id") -> None:
        self._clock = clock
        self._id_header = id_header
        self._idle: dict[str, list[_IdleConnection]] = {}
        self._in_use = 0

    @property
    def in_use(self) -> int:
        """Number of connections that carry a request."""
        return self._in_use

    @property
    def idle(self) -> int:
        """Number of idle connections in the pool."""
        return sum(len(pooled) for pooled in self._idle.values())

    def open(self, address: str, attempt_id: str, method: str, new_connection: bool) -> Exchange:
        """Return an exchange on a connection to `address`.

        Args:
            address: `host:port`.
            attempt_id: Id of the attempt.
            method: HTTP method.
            new_connection: Whether to open a new connection, so that the request can't be lost on
                a pooled one that the backend server is closing.

        Raises:
            AttemptError: The connection failed; nothing was written.
        """
        sock = None if new_connection else self._take_idle(address)
        if sock is None:
            sock = _connect(address)
        self._in_use += 1
        return Exchange(sock, address, attempt_id, method, self._clock, self._id_header)

    def prepare(self, address: str) -> None:
        """Open a connection for the next request to `address`.

        Raises:
            AttemptError: The connection failed.
        """
        sock, now = _connect(address), self._clock.monotonic()
        idle = _IdleConnection(sock, now, now + PREPARED_IDLE_S)
        self._idle.setdefault(address, []).append(idle)

    def close(self, exchange: Exchange) -> None:
        """Close an exchange and pool its connection if it is reusable; idempotent."""
        if exchange.closed:
            return
        self._in_use -= 1
        sock = exchange.release()
        if sock is None:
            return
        pooled = self._idle.setdefault(exchange.address, [])
        if len(pooled) >= MAX_IDLE_PER_ADDRESS:
            sock.close()
            return
        now = self._clock.monotonic()
        idle_s = (
            MAX_IDLE_S if exchange.keep_alive_s is None else exchange.keep_alive_s - REUSE_MARGIN_S
        )
        if idle_s <= 0:
            sock.close()
            return
        pooled.append(_IdleConnection(sock, now, now + min(idle_s, MAX_IDLE_S)))

    def close_expired(self) -> None:
        """Close the idle connections that have expired."""
        now = self._clock.monotonic()
        for address, pooled in list(self._idle.items()):
            for idle in pooled:
                if idle.expires_at <= now:
                    idle.sock.close()
            self._idle[address] = [idle for idle in pooled if idle.expires_at > now]
            if not self._idle[address]:
                del self._idle[address]

    def close_idle(self) -> None:
        """Close all idle connections."""
        for pooled in self._idle.values():
            for idle in pooled:
                idle.sock.close()
        self._idle.clear()

    def _take_idle(self, address: str) -> Any:
        pooled = self._idle.get(address)
        while pooled:
            idle = pooled.pop()
            if idle.expires_at > self._clock.monotonic() and _is_reusable_socket(idle.sock):
                return idle.sock
            idle.sock.close()
        return None


def _connect(address: str) -> Any:
    host, _, port = address.rpartition(":")
    try:
        sock = _open_socket(host, int(port))
    except (OSError, ValueError) as error:
        raise AttemptError(AttemptFailure(FailureCause.CONNECT, Verdict.NOT_RUN, str(error)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(None)
    _enable_peer_timeouts(sock)
    return sock


def _open_socket(host: str, port: int) -> Any:
    """Return a connected socket.

    `create_connection` resolves addresses in a thread even if they are numeric, which takes 20 ms
    on a busy machine.

    Raises:
        OSError: The connection failed.
    """
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError:
        return socket.create_connection((host, port), timeout=CONNECT_TIMEOUT_S)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(CONNECT_TIMEOUT_S)
        sock.connect((host, port))
    except BaseException:
        sock.close()
        raise
    return sock


def _enable_peer_timeouts(sock: Any) -> None:
    """Configure TCP timeouts so that an unresponsive peer is detected quickly."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, round(UNACKNOWLEDGED_TIMEOUT_S * MS_PER_S))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


def _is_reusable_socket(sock: Any) -> bool:
    """Return whether an idle connection is open and has no unread bytes."""
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

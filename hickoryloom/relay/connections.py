"""Connections to backend servers, kept only after a whole and right response."""

from __future__ import annotations

from typing import Any

import attrs
from gevent import socket

from hickoryloom.clock import Clock
from hickoryloom.relay.exchange import AttemptError, Exchange
from hickoryloom.relay.messages import AttemptFailed, FailureCause
from hickoryloom.verdict import Verdict

__all__ = ["Connections"]

CONNECT_TIMEOUT_S = 2.0
MAX_IDLE_PER_ADDRESS = 64
MAX_IDLE_S = 20.0


@attrs.frozen
class _Idle:
    sock: Any
    since: float


class Connections:
    """Opens connections and keeps idle ones for reuse.

    Args:
        clock: Source of time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
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
            sock = _connect(address)
        self._in_use += 1
        return Exchange(sock, address, attempt_id, method, self._clock)

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
        kept.append(_Idle(sock, self._clock.monotonic()))

    def drop_idle(self) -> None:
        """Close the connections that were idle for too long."""
        oldest = self._clock.monotonic() - MAX_IDLE_S
        for address, kept in list(self._idle.items()):
            for idle in kept:
                if idle.since < oldest:
                    idle.sock.close()
            self._idle[address] = [idle for idle in kept if idle.since >= oldest]
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
            sock = kept.pop().sock
            if _is_quiet(sock):
                return sock
            sock.close()
        return None


def _connect(address: str) -> Any:
    host, _, port = address.rpartition(":")
    try:
        sock = socket.create_connection((host, int(port)), timeout=CONNECT_TIMEOUT_S)
    except (OSError, ValueError) as error:
        raise AttemptError(AttemptFailed(FailureCause.CONNECT, Verdict.NOT_RUN, str(error)))
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.settimeout(None)
    return sock


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

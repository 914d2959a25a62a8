"""What the kernel knows of a TCP connection."""

from __future__ import annotations

import fcntl
import struct
import termios
from typing import Any

from gevent import socket

__all__ = [
    "MAX_READ_WITH_HEAD_BYTES",
    "RESET_CHECK_S",
    "RESET_WAIT_S",
    "is_reset",
    "unacknowledged_bytes",
]

MAX_READ_WITH_HEAD_BYTES = 4096
"""Body of a request that a peer reads together with the head."""


RESET_WAIT_S = 0.05
"""Time for the reset of a peer that has ended its response before it has read the request."""

RESET_CHECK_S = 0.01

TCP_CLOSE = 7
"""State of a connection that was reset, or has timed out, unless this process has closed it."""


def unacknowledged_bytes(sock: Any) -> int:
    """Return the number of sent bytes that the other side has not acknowledged yet."""
    (queued,) = struct.unpack("i", fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4)))
    return int(queued)


def is_reset(sock: Any) -> bool:
    """Return whether the other side has reset a connection, also after it has closed its half.

    A read doesn't tell: it returns the end of the received bytes also after a reset.
    """
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return True
    return bool(sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0] == TCP_CLOSE)

"""Reads from the connection of a caller."""

from __future__ import annotations

import io
from typing import Any

__all__ = ["CallerReader"]


class CallerReader(io.RawIOBase):
    """The bytes that a caller sends.

    Unlike the file object of a socket, it can be read again after a timeout.

    Attributes:
        error: The last error of the connection; None if there was none.
        blocked: Whether reading returns nothing, so that only buffered bytes are seen.

    Args:
        sock: The connection to the caller.
    """

    def __init__(self, sock: Any) -> None:
        self.error: OSError | None = None
        self.blocked = False
        self._sock = sock

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: Any) -> int | None:
        """Receive bytes; return their number.

        Raises:
            OSError: The connection failed.
        """
        if self.blocked:
            return None
        try:
            size = int(self._sock.recv_into(buffer))
        except OSError as error:
            self.error = error
            raise
        return size

"""Bounds on what a caller may send as headers, and on how long it may take."""

from __future__ import annotations

from typing import Any

import attrs

__all__ = ["BoundedLines", "ConnectionLimits", "HeadersTooLargeError", "HeadersTooSlowError"]


@attrs.frozen
class ConnectionLimits:
    """What a server accepts on one connection.

    Attributes:
        header_bytes: Bytes of a request's headers; the default is what the parser takes.
        header_timeout_s: Seconds from a request's first byte to the end of its headers.
        idle_timeout_s: Seconds for which a connection may stay unused.
    """

    header_bytes: int = 64 * 1024
    header_timeout_s: float = 60.0
    idle_timeout_s: float = 60.0


class HeadersTooLargeError(ValueError):
    """A request's headers are larger than the limit."""


class HeadersTooSlowError(Exception):
    """A request's headers took longer than the limit."""


class BoundedLines:
    """Reads lines of a file up to a number of bytes.

    Args:
        file: A binary file.
        most_bytes: Bytes of all lines together.
    """

    def __init__(self, file: Any, most_bytes: int) -> None:
        self._file = file
        self._left = most_bytes

    def readline(self, most: int) -> bytes:
        """Return the next line, or its first `most` bytes.

        Raises:
            HeadersTooLargeError: All lines together are larger than the bound.
        """
        line: bytes = self._file.readline(most)
        self._left -= len(line)
        if self._left < 0:
            raise HeadersTooLargeError("headers are larger than the limit")
        return line

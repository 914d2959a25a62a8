"""Limits on the size of request headers and on the time for receiving them."""

from __future__ import annotations

from typing import Any

import attrs

__all__ = ["BoundedLineReader", "ConnectionLimits", "HeadersTooLargeError", "HeadersTooSlowError"]


@attrs.frozen
class ConnectionLimits:
    """Limits of a server for each connection.

    Attributes:
        header_bytes: Maximum size of the headers of a request, in bytes. The default is the limit
            of the parser.
        header_timeout_s: Seconds allowed from the first byte of a request to its last header byte.
        idle_timeout_s: Seconds after which an idle connection may be closed.
    """

    header_bytes: int = 64 * 1024
    header_timeout_s: float = 60.0
    idle_timeout_s: float = 60.0


class HeadersTooLargeError(ValueError):
    """The headers of a request are larger than the limit."""


class HeadersTooSlowError(Exception):
    """The headers of a request took longer than the limit."""


class BoundedLineReader:
    """Reads lines from a file up to a total size.

    Args:
        file: A binary file.
        max_bytes: Maximum size of all lines together, in bytes.
    """

    def __init__(self, file: Any, max_bytes: int) -> None:
        self._file = file
        self._remaining = max_bytes

    def readline(self, max_line_bytes: int) -> bytes:
        """Return the next line, or its first `max_line_bytes` bytes.

        Raises:
            HeadersTooLargeError: All lines together are larger than the limit.
        """
        line: bytes = self._file.readline(max_line_bytes)
        self._remaining -= len(line)
        if self._remaining < 0:
            raise HeadersTooLargeError("headers are larger than the limit")
        return line

"""Checks heads of responses for what the HTTP parser accepts although HTTP doesn't have it."""

from __future__ import annotations

import re
from collections.abc import Iterable

from geventhttpclient.response import HTTPParseError

from hickoryloom.http.framing import FORBIDDEN_VALUE_CHARS

__all__ = ["StatusLineCheck", "find_invalid_head", "find_invalid_reason"]

VERSIONS = ("HTTP/1.0", "HTTP/1.1")
FIRST_STATUS = 100
SWITCHING_PROTOCOLS = 101
FINAL_STATUS = 200
LAST_STATUS = 599
TRANSFER_CODINGS = ("", "chunked", "identity")
STATUS_LINE = re.compile(rb"HTTP/1\.[01] [1-5][0-9]{2}(?: [\t\x20-\x7e\x80-\xff]*)?")
END_OF_HEAD = b"\r\n\r\n"
MAX_UNCHECKED_BYTES = 64 * 1024


def find_invalid_head(version: str, status: int, headers: Iterable[tuple[str, str]]) -> str:
    """Return which part of a response head is invalid, or an empty string.

    Args:
        version: Name and version of the protocol.
        status: Status code.
        headers: Names in lower case, and values.
    """
    if version not in VERSIONS:
        return f"HTTP version {version!r:.20}"
    # No request asks for another protocol.
    if not FIRST_STATUS <= status <= LAST_STATUS or status == SWITCHING_PROTOCOLS:
        return f"status {status:03}"
    codings = ", ".join(value for name, value in headers if name == "transfer-encoding")
    if status >= FINAL_STATUS and codings.strip().lower() not in TRANSFER_CODINGS:
        # The body would be passed on in codings that its recipient isn't told of.
        return f"Transfer-Encoding {codings!r:.60}"
    return ""


def find_invalid_reason(reason: str) -> str:
    """Return that a part of the text after the status is invalid, or an empty string."""
    return f"reason {reason!r:.60}" if FORBIDDEN_VALUE_CHARS.search(reason) else ""


class StatusLineCheck:
    """Checks the status lines of one response and of the interim ones before it.

    It is fed with the same bytes as a parser that takes a status below 200 for an interim one.
    """

    def __init__(self) -> None:
        self._head = b""
        self._is_checked = False

    def feed(self, data: bytes) -> None:
        """Check further bytes.

        Raises:
            HTTPParseError: The line is not the status line of a response.
        """
        if self._is_checked:
            return
        self._head = (self._head + data).lstrip(b"\r\n")
        while True:
            line, line_end, _ = self._head.partition(b"\r\n")
            if line_end and not STATUS_LINE.fullmatch(line):
                raise HTTPParseError(f"invalid status line {line[:60]!r}")
            if line_end and not line.startswith((b"HTTP/1.0 1", b"HTTP/1.1 1")):
                self._is_checked, self._head = True, b""
                return
            _, head_end, rest = self._head.partition(END_OF_HEAD)
            if not head_end and len(self._head) > MAX_UNCHECKED_BYTES:
                raise HTTPParseError("status line or interim head without end")
            if not head_end:
                return
            self._head = rest

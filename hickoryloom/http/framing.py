"""Rejects requests with ambiguous framing, which two parsers could read in different ways."""

from __future__ import annotations

import re
from typing import Any

__all__ = ["RAW_HEADERS_KEY", "RAW_TARGET_KEY", "StrictFraming", "find_invalid_part"]

RAW_TARGET_KEY = "hickoryloom.target"
RAW_HEADERS_KEY = "hickoryloom.headers"
CONTENT_LENGTH = re.compile(r"\d{1,18}")
HEADER_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
FORBIDDEN_VALUE_CHARS = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
REQUEST_TARGET = re.compile(r"/[\x21-\x7e]*")


def find_invalid_part(version: str, headers: list[tuple[str, str]]) -> str:
    """Return which part of the headers is invalid, or an empty string.

    Args:
        version: `HTTP/1.0` or `HTTP/1.1`.
        headers: Names and values as received.
    """
    for name, value in headers:
        if not HEADER_NAME.fullmatch(name):
            return f"header name {name!r:.60}"
        if FORBIDDEN_VALUE_CHARS.search(value):
            return f"value of header {name!r:.60}"
    values = {
        header: [value.strip() for name, value in headers if name.lower() == header]
        for header in ("host", "content-length", "transfer-encoding")
    }
    lengths, encodings = values["content-length"], values["transfer-encoding"]
    if lengths and encodings:
        return "combination of Content-Length and Transfer-Encoding"
    if len(lengths) > 1 or any(not CONTENT_LENGTH.fullmatch(value) for value in lengths):
        return "Content-Length"
    if encodings and (
        version != "HTTP/1.1" or [encoding.lower() for encoding in encodings] != ["chunked"]
    ):
        return "Transfer-Encoding"
    if len(values["host"]) > 1 or (version == "HTTP/1.1" and not values["host"]):
        return "Host"
    return ""


class StrictFraming:
    """A mixin for the handler of gevent's server that checks the framing of each request.

    It also adds the target and the headers as received to the WSGI environment.
    """

    command: str
    path: str
    request_version: str
    headers: Any

    def MessageClass(self, *arguments: Any) -> Any:  # noqa: N802
        """Parse the headers and check them before any of them takes effect."""
        parsed = super().MessageClass(*arguments)  # type: ignore[misc]
        invalid_part = find_invalid_part(self.request_version, list(parsed.items()))
        if parsed.defects:
            invalid_part = f"header line ({type(parsed.defects[0]).__name__})"
        if not REQUEST_TARGET.fullmatch(self.path):
            invalid_part = "request target"
        if self.request_version not in ("HTTP/1.0", "HTTP/1.1"):
            invalid_part = "HTTP version"
        if invalid_part:
            raise ValueError(f"request has an invalid {invalid_part}")
        return parsed

    def get_environ(self) -> dict[str, Any]:
        """Add the target and the headers as received."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[misc]
        environ[RAW_TARGET_KEY] = self.path
        environ[RAW_HEADERS_KEY] = tuple(
            (name.lower(), value.strip()) for name, value in self.headers.items()
        )
        return environ

"""Filtering, validation and encoding of HTTP headers."""

from __future__ import annotations

import re
from collections.abc import Iterable

__all__ = [
    "HOP_BY_HOP",
    "end_to_end_headers",
    "is_valid_header",
    "connection_options",
    "request_head",
]

Headers = tuple[tuple[str, str], ...]

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
FRAMING = frozenset(("content-length", "expect", "host"))
VALID_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
VALID_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the valid end-to-end headers, except `Host`, `Expect` and `Content-Length`."""
    found = [(name.lower(), value) for name, value in headers]
    dropped = HOP_BY_HOP | FRAMING | connection_options(found)
    return tuple(
        (name, value)
        for name, value in found
        if name not in dropped and is_valid_header(name, value)
    )


def request_head(
    method: str, target: str, host: str, headers: Headers, length: int | None
) -> bytes:
    """Return the encoded request line and headers.

    Args:
        method: HTTP method.
        target: Request target.
        host: Value of `Host`.
        headers: Further headers.
        length: Length of the body in bytes; None if it is chunked.

    Raises:
        ValueError: The method or target is invalid.
    """
    if (
        not VALID_NAME.fullmatch(method)
        or not target.startswith("/")
        or _has_invalid_character(target)
    ):
        raise ValueError(f"can't send {method!r} {target!r}")
    framing = "transfer-encoding: chunked" if length is None else f"content-length: {length}"
    lines = [f"{method} {target} HTTP/1.1", f"host: {host}", framing]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _has_invalid_character(target: str) -> bool:
    return any(character <= " " or character >= "\x7f" for character in target)


def connection_options(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    """Return the names, in lower case, of the headers listed in `Connection`."""
    values = [value for name, value in headers if name == "connection"]
    return frozenset(part.strip().lower() for value in values for part in value.split(","))


def is_valid_header(name: str, value: str) -> bool:
    """Return whether a header's name and value are valid in HTTP."""
    return VALID_NAME.fullmatch(name) is not None and VALID_VALUE.fullmatch(value) is not None

"""Refuses requests whose framing two readers could understand in different ways."""

from __future__ import annotations

import re
from typing import Any

__all__ = ["RAW_HEADERS_KEY", "RAW_TARGET_KEY", "StrictFraming", "framing_fault"]

RAW_TARGET_KEY = "hickoryloom.target"
RAW_HEADERS_KEY = "hickoryloom.headers"
LENGTH = re.compile(r"\d{1,18}")
NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
BAD_VALUE = re.compile(r"[\x00-\x08\x0a-\x1f\x7f]")
TARGET = re.compile(r"/[\x21-\x7e]*")


def framing_fault(version: str, headers: list[tuple[str, str]]) -> str:
    """Return what is wrong with a request's headers; empty for nothing.

    Args:
        version: `HTTP/1.0` or `HTTP/1.1`.
        headers: Names and values as they came.
    """
    for name, value in headers:
        if not NAME.fullmatch(name):
            return f"header name {name!r:.60}"
        if BAD_VALUE.search(value):
            return f"value of header {name!r:.60}"
    values = {
        wanted: [value.strip() for name, value in headers if name.lower() == wanted]
        for wanted in ("host", "content-length", "transfer-encoding")
    }
    lengths, encodings = values["content-length"], values["transfer-encoding"]
    if lengths and encodings:
        return "both Content-Length and Transfer-Encoding"
    if len(lengths) > 1 or any(not LENGTH.fullmatch(value) for value in lengths):
        return "Content-Length"
    if encodings and (version != "HTTP/1.1" or [one.lower() for one in encodings] != ["chunked"]):
        return "Transfer-Encoding"
    if len(values["host"]) > 1 or (version == "HTTP/1.1" and not values["host"]):
        return "Host"
    return ""


class StrictFraming:
    """A mixin for gevent's handler: checks each request's framing as it is read.

    An application also finds the target and the headers as they came in the environment.
    """

    command: str
    path: str
    request_version: str
    headers: Any

    def MessageClass(self, *arguments: Any) -> Any:  # noqa: N802
        """Parse the headers and check them before any of them is acted on."""
        parsed = super().MessageClass(*arguments)  # type: ignore[misc]
        fault = framing_fault(self.request_version, list(parsed.items()))
        if parsed.defects:
            fault = f"a line that is not a header ({type(parsed.defects[0]).__name__})"
        if not TARGET.fullmatch(self.path):
            fault = "request target"
        if self.request_version not in ("HTTP/1.0", "HTTP/1.1"):
            fault = "HTTP version"
        if fault:
            raise ValueError(f"request refused for its {fault}")
        return parsed

    def get_environ(self) -> dict[str, Any]:
        """Add the target and headers as they came."""
        environ: dict[str, Any] = super().get_environ()  # type: ignore[misc]
        environ[RAW_TARGET_KEY] = self.path
        environ[RAW_HEADERS_KEY] = tuple(
            (name.lower(), value.strip()) for name, value in self.headers.items()
        )
        return environ

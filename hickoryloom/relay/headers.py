"""Which headers pass between a caller and a backend server."""

from __future__ import annotations

import re
from collections.abc import Iterable
from urllib.parse import quote

from hickoryloom.admission.messages import Request
from hickoryloom.http import Call

__all__ = [
    "answer_headers",
    "call_headers",
    "call_target",
    "end_to_end_headers",
    "is_engine_call",
    "request_head",
]

Headers = tuple[tuple[str, str], ...]

ENGINE_PATHS = ("/v1/chat/completions", "/v1/completions")
PATH_SAFE = "/:@!$&'()*+,;=~-._"
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
CALLER_ONLY = frozenset(
    (
        "accept-encoding",
        "api-key",
        "authorization",
        "content-length",
        "cookie",
        "expect",
        "host",
        "idempotency-key",
        "proxy-authorization",
        "x-api-key",
        "x-priority",
        "x-request-id",
    )
)
BACKEND_ONLY = frozenset(("content-length", "x-not-run", "x-request-id", "date", "server"))
FRAMING = frozenset(("content-length", "expect", "host"))
VALID_NAME = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
VALID_VALUE = re.compile(r"[\t\x20-\x7e\x80-\xff]*")


def is_engine_call(call: Call) -> bool:
    """Return whether a call is for a model engine."""
    return call.path in ENGINE_PATHS


def call_target(request: Request, call: Call) -> str:
    """Return the path and query that the backend server gets."""
    prefix = f"/services/{request.service}/"
    path = call.path
    if path.startswith(prefix):
        path = path[len(prefix) - 1 :]
    target = quote(path, safe=PATH_SAFE)
    return f"{target}?{call.query}" if call.query else target


def call_headers(request: Request, call: Call, attempt_id: str, credential: str) -> Headers:
    """Return the headers of a call as the backend server gets them."""
    listed = _listed_in_connection(call.headers)
    kept = [
        (name, value)
        for name, value in call.headers
        if name not in HOP_BY_HOP | CALLER_ONLY and name not in listed and _is_valid(name, value)
    ]
    kept.append(("x-request-id", attempt_id))
    kept.append(("x-priority", str(request.tier)))
    if request.idempotency_key and _is_valid("idempotency-key", request.idempotency_key):
        kept.append(("idempotency-key", request.idempotency_key))
    if credential:
        kept.append(("authorization", f"Bearer {credential}"))
    return tuple(kept)


def answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a backend server's answer as the caller gets them."""
    found = [(name.lower(), value) for name, value in headers]
    listed = _listed_in_connection(found)
    return tuple(
        (name, value)
        for name, value in found
        if name not in HOP_BY_HOP | BACKEND_ONLY and name not in listed and _is_valid(name, value)
    )


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers that concern more than one connection, but for `Host` and the length."""
    found = [(name.lower(), value) for name, value in headers]
    dropped = HOP_BY_HOP | FRAMING | _listed_in_connection(found)
    return tuple(
        (name, value) for name, value in found if name not in dropped and _is_valid(name, value)
    )


def request_head(method: str, target: str, host: str, headers: Headers, length: int) -> bytes:
    """Return the request line and headers as they go on the wire.

    Raises:
        ValueError: The method or target can't be sent.
    """
    if not VALID_NAME.fullmatch(method) or not target.startswith("/") or _has_space(target):
        raise ValueError(f"can't send {method!r} {target!r}")
    lines = [f"{method} {target} HTTP/1.1", f"host: {host}", f"content-length: {length}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def _has_space(target: str) -> bool:
    return any(character <= " " or character >= "\x7f" for character in target)


def _listed_in_connection(headers: Iterable[tuple[str, str]]) -> frozenset[str]:
    values = [value for name, value in headers if name == "connection"]
    return frozenset(part.strip().lower() for value in values for part in value.split(","))


def _is_valid(name: str, value: str) -> bool:
    return VALID_NAME.fullmatch(name) is not None and VALID_VALUE.fullmatch(value) is not None

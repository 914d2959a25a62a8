"""Selects the headers forwarded between a caller and a backend server."""

from __future__ import annotations

from collections.abc import Iterable
from urllib.parse import quote

from hickoryloom.admission.messages import Request
from hickoryloom.http import Call
from hickoryloom.upstream import HOP_BY_HOP, connection_options, is_valid_header

__all__ = [
    "backend_request_headers",
    "backend_request_target",
    "caller_response_headers",
    "is_engine_call",
]

Headers = tuple[tuple[str, str], ...]

ENGINE_PATHS = ("/v1/chat/completions", "/v1/completions")
PATH_SAFE = "/:@!$&'()*+,;=~-._"
STRIPPED_REQUEST_HEADERS = frozenset(
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
STRIPPED_RESPONSE_HEADERS = frozenset(
    ("content-length", "x-not-run", "x-request-id", "date", "server")
)


def is_engine_call(call: Call) -> bool:
    """Return whether a call is addressed to a model engine."""
    return call.path in ENGINE_PATHS


def backend_request_target(request: Request, call: Call) -> str:
    """Return the path and query for the request to the backend server."""
    prefix = f"/services/{request.service}/"
    path = call.path
    if path.startswith(prefix):
        path = path[len(prefix) - 1 :]
    target = quote(path, safe=PATH_SAFE)
    return f"{target}?{call.query}" if call.query else target


def backend_request_headers(
    request: Request, call: Call, attempt_id: str, credential: str
) -> Headers:
    """Return the headers for the request to the backend server."""
    listed = connection_options(call.headers)
    forwarded = [
        (name, value)
        for name, value in call.headers
        if name not in HOP_BY_HOP | STRIPPED_REQUEST_HEADERS
        and name not in listed
        and is_valid_header(name, value)
    ]
    forwarded.append(("x-request-id", attempt_id))
    forwarded.append(("x-priority", str(request.tier)))
    if request.idempotency_key and is_valid_header("idempotency-key", request.idempotency_key):
        forwarded.append(("idempotency-key", request.idempotency_key))
    if credential:
        forwarded.append(("authorization", f"Bearer {credential}"))
    return tuple(forwarded)


def caller_response_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a backend server's response that are forwarded to the caller."""
    lowered = [(name.lower(), value) for name, value in headers]
    listed = connection_options(lowered)
    return tuple(
        (name, value)
        for name, value in lowered
        if name not in HOP_BY_HOP | STRIPPED_RESPONSE_HEADERS
        and name not in listed
        and is_valid_header(name, value)
    )

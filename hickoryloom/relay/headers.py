"""Which headers pass between a caller and a backend server."""

from __future__ import annotations

from collections.abc import Iterable
from urllib.parse import quote

from hickoryloom.admission.messages import Request
from hickoryloom.http import Call
from hickoryloom.upstream import HOP_BY_HOP, is_valid_header, listed_in_connection

__all__ = ["answer_headers", "call_headers", "call_target", "is_engine_call"]

Headers = tuple[tuple[str, str], ...]

ENGINE_PATHS = ("/v1/chat/completions", "/v1/completions")
PATH_SAFE = "/:@!$&'()*+,;=~-._"
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
    listed = listed_in_connection(call.headers)
    kept = [
        (name, value)
        for name, value in call.headers
        if name not in HOP_BY_HOP | CALLER_ONLY
        and name not in listed
        and is_valid_header(name, value)
    ]
    kept.append(("x-request-id", attempt_id))
    kept.append(("x-priority", str(request.tier)))
    if request.idempotency_key and is_valid_header("idempotency-key", request.idempotency_key):
        kept.append(("idempotency-key", request.idempotency_key))
    if credential:
        kept.append(("authorization", f"Bearer {credential}"))
    return tuple(kept)


def answer_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a backend server's answer as the caller gets them."""
    found = [(name.lower(), value) for name, value in headers]
    listed = listed_in_connection(found)
    return tuple(
        (name, value)
        for name, value in found
        if name not in HOP_BY_HOP | BACKEND_ONLY
        and name not in listed
        and is_valid_header(name, value)
    )

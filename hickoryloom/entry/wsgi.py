"""Reads HTTP calls from the WSGI environment, within size and time limits."""

from __future__ import annotations

from typing import Any

import gevent
from result import Err, Ok, Result

from hickoryloom.entry.messages import ClientError
from hickoryloom.http import Call

__all__ = ["read_call"]

MAX_BODY_BYTES = 4 * 1024 * 1024
MAX_QUERY_CHARACTERS = 8 * 1024
BODY_TIMEOUT_S = 15.0
READ_CHUNK_BYTES = 64 * 1024
HEADER_PREFIX = "HTTP_"


def read_call(environ: dict[str, Any]) -> Result[Call, ClientError]:
    """Read one HTTP call with its complete body.

    Args:
        environ: WSGI environment of gevent's server.

    Returns:
        The call, or a client error if the body is too large, too slow or truncated.
    """
    length = environ.get("CONTENT_LENGTH") or "0"
    if not length.isdigit():
        return Err(ClientError(400, "bad-length", "Content-Length must be a whole number."))
    if int(length) > MAX_BODY_BYTES:
        return Err(_too_large())
    if len(environ.get("QUERY_STRING", "")) > MAX_QUERY_CHARACTERS:
        return Err(ClientError(414, "query-too-long", "The query string is too long."))
    body = _read_body(environ)
    if isinstance(body, Err):
        return body
    if "HTTP_TRANSFER_ENCODING" not in environ and len(body.ok_value) < int(length):
        return Err(ClientError(400, "body-cut-short", "The body is shorter than announced."))
    return Ok(
        Call(
            method=environ["REQUEST_METHOD"].upper(),
            path=environ["PATH_INFO"].encode("latin-1").decode("utf-8", "replace"),
            query=environ.get("QUERY_STRING", ""),
            headers=_read_headers(environ),
            body=body.ok_value,
        )
    )


def _read_body(environ: dict[str, Any]) -> Result[bytes, ClientError]:
    chunks: list[bytes] = []
    size = 0
    source = environ["wsgi.input"]
    try:
        with gevent.Timeout(BODY_TIMEOUT_S):
            while chunk := source.read(READ_CHUNK_BYTES):
                size += len(chunk)
                if size > MAX_BODY_BYTES:
                    return Err(_too_large())
                chunks.append(chunk)
    except gevent.Timeout:
        return Err(ClientError(408, "body-too-slow", "The body took too long to arrive."))
    except (OSError, ValueError):
        return Err(ClientError(400, "body-cut-short", "The body could not be read."))
    return Ok(b"".join(chunks))


def _too_large() -> ClientError:
    limit = f"{MAX_BODY_BYTES // (1024 * 1024)} MiB"
    return ClientError(413, "body-too-large", f"The body may have {limit} at most.")


def _read_headers(environ: dict[str, Any]) -> tuple[tuple[str, str], ...]:
    headers = [
        (name[len(HEADER_PREFIX) :].replace("_", "-").lower(), value)
        for name, value in environ.items()
        if name.startswith(HEADER_PREFIX)
    ]
    if environ.get("CONTENT_TYPE"):
        headers.append(("content-type", environ["CONTENT_TYPE"]))
    return tuple(headers)

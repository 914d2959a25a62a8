"""Reads a request body within the configured limits."""

from __future__ import annotations

from typing import Any

import gevent
from result import Err, Ok, Result

from hickoryloom.catalog import CallerLimits
from hickoryloom.gateway.messages import Refusal
from hickoryloom.verdict import Verdict

__all__ = ["read_body"]

READ_CHUNK_BYTES = 64 * 1024
BODY_TIMEOUT_S = 15.0
"""Maximum time for receiving the body; callers stop waiting for the response before a slower one
has arrived."""


def read_body(environ: dict[str, Any], limits: CallerLimits) -> Result[bytes, Refusal]:
    """Return the complete body, or a refusal.

    Args:
        environ: WSGI environment of gevent's server.
        limits: Limits from the configuration in force.
    """
    length = environ.get("CONTENT_LENGTH") or "0"
    if int(length) > limits.body_bytes:
        return Err(_refuse(413, "body-too-large"))
    chunks: list[bytes] = []
    size = 0
    try:
        with gevent.Timeout(BODY_TIMEOUT_S):
            while chunk := environ["wsgi.input"].read(READ_CHUNK_BYTES):
                size += len(chunk)
                if size > limits.body_bytes:
                    return Err(_refuse(413, "body-too-large"))
                chunks.append(chunk)
    except gevent.Timeout:
        return Err(_refuse(408, "body-too-slow"))
    except (OSError, ValueError):
        return Err(_refuse(400, "body-cut-short"))
    return Ok(b"".join(chunks))


def _refuse(status: int, reason: str) -> Refusal:
    return Refusal(status, reason, Verdict.NOT_RUN, close=True)

"""Reads a request body within the configured limits and the memory that is left."""

from __future__ import annotations

import math
import random
from typing import Any

import attrs
import gevent
import logbook
from gevent import socket
from result import Err, Ok, Result

from hickoryloom.catalog import CallerLimits
from hickoryloom.gateway.messages import Refusal
from hickoryloom.gateway.progress import NO_MEMORY
from hickoryloom.gateway.refusals import refuse
from hickoryloom.http import SOCKET_KEY
from hickoryloom.logs import log_event
from hickoryloom.upstream import BufferReservation, Holder
from hickoryloom.verdict import Verdict

__all__ = ["read_body", "stop_reading"]

log = logbook.Logger("hickoryloom.gateway")

READ_CHUNK_BYTES = 64 * 1024
BODY_TIMEOUT_S = 15.0
"""Maximum time for receiving the body; callers stop waiting for the response before a slower one
has arrived."""


def read_body(
    environ: dict[str, Any],
    limits: CallerLimits,
    holder: Holder,
    reservation: BufferReservation,
    rng: random.Random,
) -> Result[bytes, Refusal]:
    """Return the complete body, or a refusal.

    Args:
        environ: WSGI environment of gevent's server.
        limits: Limits from the configuration in force.
        holder: Memory that is held for the request.
        reservation: Its part for the body.
        rng: Random number generator.
    """
    length = int(environ.get("CONTENT_LENGTH") or "0")
    if length > limits.body_bytes:
        return Err(_refuse(413, "body-too-large"))
    if not reservation.resize_body(length):
        return Err(_refuse_without_memory(rng))
    holder.give_up = lambda: stop_reading(environ)
    chunks: list[bytes] = []
    size = 0
    try:
        with gevent.Timeout(BODY_TIMEOUT_S):
            while chunk := environ["wsgi.input"].read(READ_CHUNK_BYTES):
                size += len(chunk)
                if size > limits.body_bytes:
                    return Err(_refuse(413, "body-too-large"))
                if size > length and not reservation.resize_body(size):
                    return Err(_refuse_without_memory(rng))
                chunks.append(chunk)
    except gevent.Timeout:
        return Err(_refuse(408, "body-too-slow"))
    except (OSError, ValueError):
        if not holder.given_up:
            return Err(_refuse(400, "body-cut-short"))
    finally:
        holder.give_up = None
    if holder.given_up:
        return Err(_refuse_without_memory(rng))
    return Ok(b"".join(chunks))


def stop_reading(environ: dict[str, Any]) -> None:
    """End the wait for further bytes of the body; the connection can still be written to."""
    try:
        environ[SOCKET_KEY].shutdown(socket.SHUT_RD)
    except OSError as error:
        log_event(log, "connection-gone", error=str(error))


def _refuse(status: int, reason: str) -> Refusal:
    return Refusal(status, reason, Verdict.NOT_RUN, close=True)


def _refuse_without_memory(rng: random.Random) -> Refusal:
    # The caller's deadline is not known before the request has been decoded.
    return attrs.evolve(refuse(0, NO_MEMORY, Verdict.NOT_RUN, math.inf, rng), close=True)

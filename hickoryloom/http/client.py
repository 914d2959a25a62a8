"""A small JSON client that says whether a failed call may have taken effect."""

from __future__ import annotations

import json
from typing import Any

import attrs
import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from hickoryloom.verdict import Applied

__all__ = ["CallFailed", "JsonAnswer", "JsonClient"]

DEFAULT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@attrs.frozen
class JsonAnswer:
    """An answer that was read to its end."""

    status: int
    body: Any


@attrs.frozen
class CallFailed:
    """A call without a whole answer, and whether its change may have taken effect."""

    applied: Applied
    detail: str


class JsonClient:
    """Calls one address; safe to share among greenlets.

    Args:
        address: `host:port`.
        timeout_s: Seconds for connecting and, apart from that, for each read.
        connections: Most connections kept open.
    """

    def __init__(
        self, address: str, timeout_s: float = DEFAULT_TIMEOUT_S, connections: int = 8
    ) -> None:
        host, _, port = address.rpartition(":")
        self._timeout_s = timeout_s
        self._http = HTTPClient(
            host,
            int(port),
            concurrency=connections,
            connection_timeout=timeout_s,
            network_timeout=timeout_s,
        )

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
    ) -> Result[JsonAnswer, CallFailed]:
        """Make one call and read its answer to the end.

        A body makes it a write: without an answer, it is unknown whether the write was applied,
        unless the connection was refused. Only `POST` is never repeated by the HTTP library.

        Args:
            method: HTTP method.
            path: Path with query.
            body: JSON value to send; None for no body.
            timeout_s: Seconds for the whole call.
            headers: Further headers.

        Returns:
            The answer whatever its status, or why there is none.
        """
        sent_headers = {"Content-Type": "application/json", **(headers or {})}
        payload = b"" if body is None else json.dumps(body).encode()
        limit_s = timeout_s or self._timeout_s
        try:
            with gevent.Timeout(limit_s):
                response = self._http.request(method, path, payload, sent_headers)
                return Ok(_read_answer(response))
        except ConnectionRefusedError as refused:
            return Err(CallFailed(Applied.NOT_APPLIED, str(refused)))
        except gevent.Timeout:
            return Err(CallFailed(Applied.UNKNOWN, f"no answer in {limit_s} s"))
        except (OSError, HTTPParseError, ValueError) as error:
            return Err(CallFailed(Applied.UNKNOWN, f"{type(error).__name__}: {error}"))

    def close(self) -> None:
        """Close all kept connections."""
        self._http.close()


def _read_answer(response: Any) -> JsonAnswer:
    try:
        raw = bytes(response.read(MAX_ANSWER_BYTES + 1))
        while len(raw) <= MAX_ANSWER_BYTES and (more := bytes(response.read(MAX_ANSWER_BYTES))):
            raw += more
        if len(raw) > MAX_ANSWER_BYTES:
            raise ValueError("answer is too large")
        return JsonAnswer(response.status_code, json.loads(raw) if raw else None)
    finally:
        response.release()

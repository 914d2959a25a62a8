"""A small JSON client that says whether a failed call may have taken effect."""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import Any

import attrs
import gevent
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from hickoryloom.http.pool import Attempt, GuardedClient, GuardRefused
from hickoryloom.verdict import Applied

__all__ = ["CallFailed", "JsonAnswer", "JsonClient"]

DEFAULT_TIMEOUT_S = 2.0
MAX_ANSWER_BYTES = 8 * 1024 * 1024


@attrs.frozen
class JsonAnswer:
    """An answer that was read to its end.

    Attributes:
        status: HTTP status.
        body: JSON value; None for an empty body.
        retry_after_s: Seconds of the header `Retry-After`, 0 without one.
    """

    status: int
    body: Any
    retry_after_s: float = 0.0


@attrs.frozen
class CallFailed:
    """A call without a whole answer.

    Attributes:
        applied: Whether its change may have taken effect.
        detail: A sentence for the log.
        refused_by_guard: Whether the guard said no, so that nothing was written.
        refused_by_host: Whether the host refused the connection, so that nothing listens there.
    """

    applied: Applied
    detail: str
    refused_by_guard: bool = False
    refused_by_host: bool = False


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
        self._http = GuardedClient(host, int(port), timeout_s, connections)

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
        guard: Callable[[], bool] | None = None,
    ) -> Result[JsonAnswer, CallFailed]:
        """Make one call and read its answer to the end.

        Without an answer, it is unknown whether the call took effect, unless no byte of it was
        written. Only `POST` is never repeated by the HTTP library. After a timeout, all idle
        connections are closed too, since what made one silent may have made all of them so.

        Args:
            method: HTTP method.
            path: Path with query.
            body: JSON value to send; None for no body.
            timeout_s: Seconds for the whole call.
            headers: Further headers.
            guard: Asked once a connection is at hand, right before the write and with no yield
                between; when it returns False, nothing is written.

        Returns:
            The answer whatever its status, or why there is none.
        """
        payload = b"" if body is None else json.dumps(body).encode()
        limit = gevent.Timeout(timeout_s or self._timeout_s)
        attempt = self._http.begin(guard)
        try:
            with limit:
                return Ok(self._exchange(method, path, payload, headers))
        except GuardRefused:
            return Err(CallFailed(Applied.NOT_APPLIED, "the guard said no", True))
        except gevent.Timeout as timeout:
            self._http.close_idle()
            if timeout is not limit:
                raise
            return _failed(attempt, f"no answer in {limit.seconds} s")
        except TimeoutError as error:
            self._http.close_idle()
            return _failed(attempt, str(error))
        except ConnectionRefusedError as error:
            failed = _failed(attempt, f"{type(error).__name__}: {error}").err_value
            return Err(attrs.evolve(failed, refused_by_host=True))
        except (OSError, HTTPParseError, ValueError) as error:
            return _failed(attempt, f"{type(error).__name__}: {error}")
        finally:
            self._http.end()

    def close(self) -> None:
        """Close all kept connections."""
        self._http.close()

    def _exchange(
        self, method: str, path: str, payload: bytes, headers: dict[str, str] | None
    ) -> JsonAnswer:
        sent_headers = {"Content-Type": "application/json", **(headers or {})}
        return _read_answer(self._http.request(method, path, payload, sent_headers))


def _failed(attempt: Attempt, detail: str) -> Err[CallFailed]:
    applied = Applied.UNKNOWN if attempt.began else Applied.NOT_APPLIED
    return Err(CallFailed(applied, detail))


def _read_answer(response: Any) -> JsonAnswer:
    try:
        raw = bytes(response.read(MAX_ANSWER_BYTES + 1))
        while len(raw) <= MAX_ANSWER_BYTES and (more := bytes(response.read(MAX_ANSWER_BYTES))):
            raw += more
        if len(raw) > MAX_ANSWER_BYTES:
            raise ValueError("answer is too large")
        body = json.loads(raw) if raw else None
        return JsonAnswer(response.status_code, body, _retry_after_s(response))
    finally:
        response.release()


def _retry_after_s(response: Any) -> float:
    value = response.get("retry-after")
    return float(value) if isinstance(value, str) and value.isdecimal() else 0.0

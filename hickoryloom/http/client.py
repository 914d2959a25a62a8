"""A JSON client that reports whether a failed call may have taken effect."""

from __future__ import annotations

import json
from collections.abc import Callable, Mapping
from typing import Any

import attrs
import gevent
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from hickoryloom.http.json_parts import decode_json
from hickoryloom.http.pool import Attempt, GuardedClient, GuardRefused
from hickoryloom.verdict import Applied

__all__ = ["CallError", "JsonResponse", "JsonClient"]

DEFAULT_TIMEOUT_S = 2.0
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


@attrs.frozen
class JsonResponse:
    """A complete response.

    Attributes:
        status: HTTP status.
        body: Decoded JSON value; None for an empty body.
        retry_after_s: Seconds from the `Retry-After` header, or 0.
        headers: Values of the headers by name in lower case.
    """

    status: int
    body: Any
    retry_after_s: float = 0.0
    headers: Mapping[str, str] = attrs.field(factory=dict)


@attrs.frozen
class CallError:
    """A call without a complete response.

    Attributes:
        applied: Whether the call may have taken effect.
        detail: Description for the log.
        refused_by_guard: Whether the guard prevented the write, so that nothing was sent.
        refused_by_host: Whether the host refused the connection, so that nothing listens there.
    """

    applied: Applied
    detail: str
    refused_by_guard: bool = False
    refused_by_host: bool = False


class JsonClient:
    """Makes JSON calls to one address and can be shared by greenlets.

    Args:
        address: `host:port`.
        timeout_s: Timeout in seconds, separately for connecting and for each read.
        connections: Maximum number of connections.
        max_response_bytes: Largest response, with its head.
        decode: Decodes the body of a response; raises ValueError if it can't be read.
    """

    def __init__(
        self,
        address: str,
        timeout_s: float = DEFAULT_TIMEOUT_S,
        connections: int = 8,
        max_response_bytes: int = MAX_RESPONSE_BYTES,
        decode: Callable[[bytes], Any] = decode_json,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._timeout_s = timeout_s
        self._decode = decode
        self._http = GuardedClient(host, int(port), timeout_s, connections, max_response_bytes)

    def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float | None = None,
        headers: dict[str, str] | None = None,
        guard: Callable[[], bool] | None = None,
    ) -> Result[JsonResponse, CallError]:
        """Make a call and read the complete response.

        Without a response, it is unknown whether the call took effect, unless none of it was
        written. The HTTP library may retry any method except `POST`. After a timeout, all idle
        connections are closed as well, since the same cause may affect all of them.

        Args:
            method: HTTP method.
            path: Path, including the query.
            body: JSON value to send; None to send no body.
            timeout_s: Timeout of the whole call, in seconds.
            headers: Additional headers.
            guard: Called when a connection is available, directly before the write and without
                a greenlet switch in between. If it returns False, nothing is written.

        Returns:
            The response, whatever its status, or the failure.
        """
        payload = b"" if body is None else json.dumps(body).encode()
        call_timeout = gevent.Timeout(timeout_s or self._timeout_s)
        attempt = self._http.begin(guard)
        try:
            with call_timeout:
                return Ok(self._exchange(method, path, payload, headers))
        except GuardRefused:
            return Err(CallError(Applied.NOT_APPLIED, "write prevented by the guard", True))
        except gevent.Timeout as raised:
            self._http.close_idle()
            if raised is not call_timeout:
                raise
            return _failure(attempt, f"no response within {call_timeout.seconds} s")
        except TimeoutError as error:
            self._http.close_idle()
            return _failure(attempt, str(error))
        except ConnectionRefusedError as error:
            failure = _failure(attempt, f"{type(error).__name__}: {error}").err_value
            return Err(attrs.evolve(failure, refused_by_host=True))
        except (OSError, HTTPParseError, ValueError) as error:
            return _failure(attempt, f"{type(error).__name__}: {error}")
        finally:
            self._http.end()

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def _exchange(
        self, method: str, path: str, payload: bytes, headers: dict[str, str] | None
    ) -> JsonResponse:
        sent_headers = {"Content-Type": "application/json", **(headers or {})}
        response = self._http.request(method, path, payload, sent_headers)
        return _read_response(response, self._decode)


def _failure(attempt: Attempt, detail: str) -> Err[CallError]:
    applied = Applied.UNKNOWN if attempt.write_started else Applied.NOT_APPLIED
    return Err(CallError(applied, detail))


def _read_response(response: Any, decode: Callable[[bytes], Any]) -> JsonResponse:
    try:
        raw = bytes(response.read(MAX_RESPONSE_BYTES + 1))
        while len(raw) <= MAX_RESPONSE_BYTES and (
            chunk := bytes(response.read(MAX_RESPONSE_BYTES))
        ):
            raw += chunk
        if len(raw) > MAX_RESPONSE_BYTES:
            raise ValueError("response is too large")
        body = decode(raw) if raw else None
        headers = {name.lower(): value for name, value in response.items()}
        return JsonResponse(response.status_code, body, _retry_after_s(response), headers)
    finally:
        response.release()


def _retry_after_s(response: Any) -> float:
    value = response.get("retry-after")
    return float(value) if isinstance(value, str) and value.isdecimal() else 0.0

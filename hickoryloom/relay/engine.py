"""Control calls to an engine: query the status of a request, or cancel it."""

from __future__ import annotations

import enum
from typing import Any
from urllib.parse import quote

import attrs
from result import Err

from hickoryloom.http import JsonClient, bearer_headers

__all__ = ["EngineControl", "RequestState", "RequestStatus"]

PROBE_TIMEOUT_S = 1.0
CANCEL_TIMEOUT_S = 2.0

MAX_CONTROL_BYTES = 16 * 1024
"""Largest response to a control call; ordinary ones have a hundred bytes."""


class RequestState(enum.Enum):
    """State of a request as reported by an engine."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


@attrs.frozen
class RequestStatus:
    """State of a request, and the number of events that the engine has produced for it."""

    state: RequestState
    position: int = 0


@attrs.frozen
class EngineControl:
    """Queries and cancels requests, always over a new connection.

    Attributes:
        credential: Bearer token with which entries authenticate to backend servers.
    """

    credential: str = ""

    def status(self, address: str, attempt_id: str) -> RequestStatus:
        """Return the state and progress of a request."""
        path = f"/requests/{quote(attempt_id, safe='')}"
        body = self._call(address, "GET", path, None, PROBE_TIMEOUT_S)
        try:
            return RequestStatus(RequestState(body.get("state")), int(body.get("position", 0)))
        except (TypeError, ValueError):
            return RequestStatus(RequestState.UNREACHABLE)

    def cancel(self, address: str, attempt_id: str) -> None:
        """Cancel a request."""
        body = {"request_id": attempt_id}
        self._call(address, "POST", "/v1/cancel", body, CANCEL_TIMEOUT_S)

    def _call(
        self, address: str, method: str, path: str, body: object, timeout_s: float
    ) -> dict[str, Any]:
        headers = bearer_headers(self.credential)
        client = JsonClient(address, timeout_s, connections=1, max_response_bytes=MAX_CONTROL_BYTES)
        try:
            response = client.call(method, path, body, timeout_s, headers)
        finally:
            client.close()
        if isinstance(response, Err) or not isinstance(response.ok_value.body, dict):
            return {}
        return response.ok_value.body

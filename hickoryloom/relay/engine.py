"""Calls to an engine about a request, over connections of their own."""

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


class RequestState(enum.Enum):
    """What an engine says of a request."""

    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"


@attrs.frozen
class RequestStatus:
    """An engine's word on a request, with the events that it has produced."""

    state: RequestState
    position: int = 0


@attrs.frozen
class EngineControl:
    """Asks about and cancels requests, always over a new connection.

    Attributes:
        credential: The token that entries show to backend servers.
    """

    credential: str = ""

    def status(self, address: str, attempt_id: str) -> RequestStatus:
        """Ask how far a request is."""
        path = f"/requests/{quote(attempt_id, safe='')}"
        body = self._call(address, "GET", path, None, PROBE_TIMEOUT_S)
        try:
            return RequestStatus(RequestState(body.get("state")), int(body.get("position", 0)))
        except (TypeError, ValueError):
            return RequestStatus(RequestState.UNREACHABLE)

    def cancel(self, address: str, attempt_id: str) -> None:
        """Stop a request."""
        body = {"request_id": attempt_id}
        self._call(address, "POST", "/v1/cancel", body, CANCEL_TIMEOUT_S)

    def _call(
        self, address: str, method: str, path: str, body: object, timeout_s: float
    ) -> dict[str, Any]:
        headers = bearer_headers(self.credential)
        client = JsonClient(address, timeout_s, connections=1)
        try:
            answer = client.call(method, path, body, timeout_s, headers)
        finally:
            client.close()
        if isinstance(answer, Err) or not isinstance(answer.ok_value.body, dict):
            return {}
        return answer.ok_value.body

"""Client of backend servers: reads their load and orders them to load a model."""

from __future__ import annotations

from typing import Any

import attrs
from result import Err

from hickoryloom.http import JsonClient, bearer_headers
from hickoryloom.leases import Guard, LeaseGrant

__all__ = ["BackendClient", "ServerLoad"]

CALL_TIMEOUT_S = 1.0


@attrs.frozen
class ServerLoad:
    """Load as reported by a backend server.

    Attributes:
        busy: Running and queued requests.
        models: Loaded models; None if the server does not report them.
    """

    busy: int
    models: frozenset[str] | None


class BackendClient:
    """Makes short calls to backend servers.

    Args:
        incarnation: Incarnation of this process, sent with load orders.
        credential: Bearer token for backend servers; empty for none.
    """

    def __init__(self, incarnation: str, credential: str = "") -> None:
        self._incarnation = incarnation
        self._headers = bearer_headers(credential)

    def load(self, address: str) -> ServerLoad | None:
        """Return a backend server's load, or None without a valid response."""
        body = self._call(address, "GET", "/load", None, None)
        try:
            models = body.get("models")
            busy = int(body["running"]) + int(body["waiting"])
        except (AttributeError, KeyError, TypeError, ValueError):
            return None
        return ServerLoad(busy, frozenset(models) if isinstance(models, list) else None)

    def order_load(
        self, address: str, model: str, order_id: str, grant: LeaseGrant, guard: Guard
    ) -> bool:
        """Order an engine to load a model; return whether it accepted the order."""
        body = {
            "model": model,
            "version": "",
            "fencing": grant.term,
            "sender": self._incarnation,
            "order_id": order_id,
        }
        return self._call(address, "POST", "/orders/load", body, guard) is not None

    def _call(self, address: str, method: str, path: str, body: Any, guard: Guard | None) -> Any:
        client = JsonClient(address, CALL_TIMEOUT_S, connections=1)
        try:
            response = client.call(method, path, body, CALL_TIMEOUT_S, self._headers, guard)
        finally:
            client.close()
        if isinstance(response, Err) or response.ok_value.status != 200:
            return None
        return response.ok_value.body

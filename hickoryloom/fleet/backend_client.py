"""Talks to backend servers themselves: are they idle, and do they have their model."""

from __future__ import annotations

from typing import Any

import attrs
from result import Err

from hickoryloom.http import JsonClient, bearer_headers
from hickoryloom.leases import Guard, Right

__all__ = ["BackendCalls", "ServerLoad"]

CALL_TIMEOUT_S = 1.0


@attrs.frozen
class ServerLoad:
    """A backend server's own word.

    Attributes:
        busy: Requests that run or wait there.
        models: Models that it has loaded; None when it does not say.
    """

    busy: int
    models: frozenset[str] | None


class BackendCalls:
    """Short calls to backend servers.

    Args:
        incarnation: This process, the sender of load orders.
        credential: The token shown to backend servers; empty for none.
    """

    def __init__(self, incarnation: str, credential: str = "") -> None:
        self._incarnation = incarnation
        self._headers = bearer_headers(credential)

    def load(self, address: str) -> ServerLoad | None:
        """Return a backend server's load, None without a usable answer."""
        body = self._call(address, "GET", "/load", None, None)
        try:
            models = body.get("models")
            busy = int(body["running"]) + int(body["waiting"])
        except (AttributeError, KeyError, TypeError, ValueError):
            return None
        return ServerLoad(busy, frozenset(models) if isinstance(models, list) else None)

    def order_load(
        self, address: str, model: str, order_id: str, right: Right, guard: Guard
    ) -> bool:
        """Order an engine to load a model; return whether it took the order."""
        body = {
            "model": model,
            "version": "",
            "fencing": right.term,
            "sender": self._incarnation,
            "order_id": order_id,
        }
        return self._call(address, "POST", "/orders/load", body, guard) is not None

    def _call(self, address: str, method: str, path: str, body: Any, guard: Guard | None) -> Any:
        client = JsonClient(address, CALL_TIMEOUT_S, connections=1)
        try:
            answer = client.call(method, path, body, CALL_TIMEOUT_S, self._headers, guard)
        finally:
            client.close()
        if isinstance(answer, Err) or answer.ok_value.status != 200:
            return None
        return answer.ok_value.body

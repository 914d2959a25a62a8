"""A caller of the demo."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import attrs
from geventhttpclient import HTTPClient

__all__ = ["CallerAnswer", "DemoCaller"]

TIMEOUT_S = 30.0
EVENT_PREFIX = b"data: "
END_EVENT = b"[DONE]"


@attrs.frozen
class CallerAnswer:
    """An answer as its caller sees it.

    Attributes:
        status: HTTP status.
        headers: Values by name in lower case.
        body: Parsed JSON, else the raw text.
        text: Text of the answer, joined from its events.
        whole: Whether it came to its end.
    """

    status: int
    headers: dict[str, str]
    body: Any
    text: str
    whole: bool


class DemoCaller:
    """Calls one entry with one key.

    Args:
        address: `host:port` of the entry.
        key: The caller's key; empty for none.
    """

    def __init__(self, address: str, key: str) -> None:
        host, _, port = address.rpartition(":")
        self._http = HTTPClient(
            host, int(port), concurrency=64, network_timeout=TIMEOUT_S, block_size=65536
        )
        self._headers = {"Authorization": f"Bearer {key}"} if key else {}

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    def call(
        self, method: str, path: str, body: Any = None, headers: dict[str, str] | None = None
    ) -> CallerAnswer:
        """Make one call and read its answer to the end."""
        sent = {"Content-Type": "application/json", **self._headers, **(headers or {})}
        payload = json.dumps(body).encode() if body is not None else b""
        response = self._http.request(method, path, payload, sent)
        raw = bytes(response.read())
        found = {name.lower(): value for name, value in response.items()}
        if found.get("content-type", "").startswith("text/event-stream"):
            pieces = list(_pieces(raw))
            whole = raw.rstrip().endswith(EVENT_PREFIX + END_EVENT)
            return CallerAnswer(response.status_code, found, None, "".join(pieces), whole)
        return CallerAnswer(response.status_code, found, _parse(raw), "", True)


def _pieces(raw: bytes) -> Iterator[str]:
    for line in raw.split(b"\n"):
        if not line.startswith(EVENT_PREFIX) or line.endswith(END_EVENT):
            continue
        event = json.loads(line[len(EVENT_PREFIX) :])
        for choice in event.get("choices", ()):
            yield choice.get("delta", {}).get("content", "") or choice.get("text", "")


def _parse(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode("utf-8", "replace")

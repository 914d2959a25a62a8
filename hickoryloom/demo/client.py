"""HTTP client that the demo uses as a caller."""

from __future__ import annotations

import json
from collections.abc import Iterator
from typing import Any

import attrs
from geventhttpclient import HTTPClient

__all__ = ["CallerResponse", "DemoCaller"]

TIMEOUT_S = 30.0
EVENT_PREFIX = b"data: "
END_EVENT = b"[DONE]"


@attrs.frozen
class CallerResponse:
    """A response as the caller receives it.

    Attributes:
        status: HTTP status.
        headers: Header values by lower-case name.
        body: Parsed JSON body, or the decoded text if it is not JSON; None for a stream.
        text: Text of a streamed response, joined from its events; empty for other responses.
        complete: Whether a streamed response ended with the final event; True for other responses.
    """

    status: int
    headers: dict[str, str]
    body: Any
    text: str
    complete: bool


class DemoCaller:
    """Client that calls one entry with one API key.

    Args:
        address: `host:port` of the entry.
        key: API key of the caller; empty to send none.
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
    ) -> CallerResponse:
        """Send one request and read the complete response."""
        request_headers = {"Content-Type": "application/json", **self._headers, **(headers or {})}
        payload = json.dumps(body).encode() if body is not None else b""
        response = self._http.request(method, path, payload, request_headers)
        raw = bytes(response.read())
        response_headers = {name.lower(): value for name, value in response.items()}
        if response_headers.get("content-type", "").startswith("text/event-stream"):
            texts = list(_iter_text(raw))
            complete = raw.rstrip().endswith(EVENT_PREFIX + END_EVENT)
            return CallerResponse(
                response.status_code, response_headers, None, "".join(texts), complete
            )
        return CallerResponse(response.status_code, response_headers, _parse_body(raw), "", True)


def _iter_text(raw: bytes) -> Iterator[str]:
    for line in raw.split(b"\n"):
        if not line.startswith(EVENT_PREFIX) or line.endswith(END_EVENT):
            continue
        event = json.loads(line[len(EVENT_PREFIX) :])
        for choice in event.get("choices", ()):
            yield choice.get("delta", {}).get("content", "") or choice.get("text", "")


def _parse_body(raw: bytes) -> Any:
    try:
        return json.loads(raw)
    except ValueError:
        return raw.decode("utf-8", "replace")

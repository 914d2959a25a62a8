"""Stand-in for the platform: objects, orders, live list, usage reports and model weights."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any

import attrs
import falcon
import gevent

from hickoryloom.standins.base import StandIn, drop_connection
from hickoryloom.standins.platform_routes import build_app
from hickoryloom.standins.platform_state import (
    OUTAGE_ERROR,
    OUTAGE_HANG,
    PlatformState,
    PlatformSwitches,
)

__all__ = ["PlatformStandIn", "PlatformSwitches", "build_platform"]

HANG_S = 60.0
REQUEST_LINE_BYTES = 20
STATUS_LINE_BYTES = 60
HEADER_EXTRA_BYTES = 4


class PlatformStandIn(PlatformState, StandIn):
    """Stand-in for the platform, with all state in memory.

    Args:
        listen: `host:port`; port 0 selects a free port.
    """

    def __init__(self, listen: str) -> None:
        PlatformState.__init__(self)
        StandIn.__init__(self, _FaultMiddleware(self, build_app(self)), listen)


def build_platform(listen: str = "127.0.0.1:0") -> PlatformStandIn:
    """Build a platform stand-in without starting it."""
    return PlatformStandIn(listen)


class _FaultMiddleware:
    """WSGI middleware that injects outages, delays and lost responses, and counts calls."""

    def __init__(self, platform: PlatformState, app: Callable[..., Any]) -> None:
        self._platform = platform
        self._app = app

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        if path.startswith("/standin/"):
            return self._app(environ, start_response)
        self._platform.count_call(_call_kind(environ))
        self._platform.count_bytes(_request_bytes(environ))
        start_response = self._count_response_bytes(start_response)
        if self._platform.switches.outage:
            return self._answer_outage(environ, start_response)
        if self._platform.switches.slow_s:
            gevent.sleep(self._platform.switches.slow_s)
        body = self._app(environ, start_response)
        if environ["REQUEST_METHOD"] == "POST" and self._drops_response(path):
            drop_connection(falcon.Request(environ))
        return body

    def _count_response_bytes(self, start_response: Any) -> Any:
        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            self._platform.count_bytes(_response_bytes(status, headers))
            return start_response(status, headers, *rest)

        return start

    def _answer_outage(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        outage = self._platform.switches.outage
        if outage == OUTAGE_ERROR:
            start_response("503 Service Unavailable", [("Content-Length", "0")])
            return [b""]
        if outage == OUTAGE_HANG:
            gevent.sleep(HANG_S)
        drop_connection(falcon.Request(environ))
        return [b""]

    def _drops_response(self, path: str) -> bool:
        switches = self._platform.switches
        if not switches.lose_answers or not path.startswith(switches.lose_prefix):
            return False
        self._platform.switches = attrs.evolve(switches, lose_answers=switches.lose_answers - 1)
        return True


def _call_kind(environ: dict[str, Any]) -> str:
    resource = environ["PATH_INFO"].strip("/").split("/")[0]
    if resource != "objects":
        return resource
    if environ["REQUEST_METHOD"] == "POST":
        return "create" if "if_version=0" in environ.get("QUERY_STRING", "") else "update"
    return "list" if environ["PATH_INFO"] == "/objects" else "get"


def _request_bytes(environ: dict[str, Any]) -> int:
    """Estimate the size of a request: request line, headers and body."""
    headers = [item for item in environ.items() if item[0].startswith("HTTP_")]
    length = len(environ["PATH_INFO"]) + len(environ.get("QUERY_STRING", "")) + REQUEST_LINE_BYTES
    length += sum(len(name) + len(value) for name, value in headers)
    return length + int(environ.get("CONTENT_LENGTH") or 0)


def _response_bytes(status: str, headers: list[tuple[str, str]]) -> int:
    """Estimate the size of a response: status line, headers and body."""
    body = [int(value) for name, value in headers if name.lower() == "content-length"]
    head = sum(len(name) + len(value) + HEADER_EXTRA_BYTES for name, value in headers)
    return len(status) + STATUS_LINE_BYTES + head + sum(body)

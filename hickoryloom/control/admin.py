"""The operators' port of a control process."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import falcon

__all__ = ["build_admin_app"]


class _Document:
    def __init__(self, build: Callable[[], dict[str, Any]]) -> None:
        self._build = build

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer with a JSON document."""
        response.media = self._build()


class _Ready:
    def __init__(self, why_not_ready: Callable[[], list[str]]) -> None:
        self._why_not_ready = why_not_ready

    def on_get(self, request: falcon.Request, response: falcon.Response) -> None:
        """Answer 200 while the process can take its duties, else 503 with the reasons."""
        reasons = self._why_not_ready()
        response.status = falcon.HTTP_503 if reasons else falcon.HTTP_200
        response.media = {"ready": not reasons, "reasons": reasons}


def build_admin_app(
    why_not_ready: Callable[[], list[str]], status: Callable[[], dict[str, Any]]
) -> falcon.App:
    """Build the application.

    Args:
        why_not_ready: Returns what keeps the process from taking its duties.
        status: Returns the status as a JSON document.
    """
    app = falcon.App()
    app.add_route("/healthz", _Document(lambda: {"ok": True}))
    app.add_route("/readyz", _Ready(why_not_ready))
    app.add_route("/status", _Document(status))
    return app

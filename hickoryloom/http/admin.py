"""The operators' port of a process: health, readiness, status and metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import falcon

__all__ = ["build_admin_app"]


class _Document:
    def __init__(self, build: Callable[[], dict[str, Any]]) -> None:
        self._build = build

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with a JSON document."""
        resp.media = self._build()


class _Ready:
    def __init__(self, why_not_ready: Callable[[], list[str]]) -> None:
        self._why_not_ready = why_not_ready

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer 200 while the process can do its duty, else 503 with the reasons."""
        reasons = self._why_not_ready()
        resp.status = falcon.HTTP_503 if reasons else falcon.HTTP_200
        resp.media = {"ready": not reasons, "reasons": reasons}


class _Text:
    def __init__(self, render: Callable[[], str]) -> None:
        self._render = render

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with the metrics in the text exposition format."""
        resp.content_type = "text/plain; version=0.0.4"
        resp.text = self._render()


def build_admin_app(
    why_not_ready: Callable[[], list[str]],
    status: Callable[[], dict[str, Any]],
    metrics: Callable[[], str] | None = None,
) -> falcon.App:
    """Build the operators' application.

    Args:
        why_not_ready: Returns the reasons why the process can't do its duty now.
        status: Returns the status as a JSON document.
        metrics: Returns the metrics as text, where there are any.
    """
    app = falcon.App()
    app.add_route("/healthz", _Document(lambda: {"ok": True}))
    app.add_route("/readyz", _Ready(why_not_ready))
    app.add_route("/status", _Document(status))
    if metrics is not None:
        app.add_route("/metrics", _Text(metrics))
    return app

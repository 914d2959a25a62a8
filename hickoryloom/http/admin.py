"""Admin endpoints of a process: health, readiness, status and metrics."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import falcon

__all__ = ["build_admin_app"]


class _JsonResource:
    def __init__(self, build: Callable[[], dict[str, Any]]) -> None:
        self._build = build

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with a JSON document."""
        resp.media = self._build()


class _ReadinessResource:
    def __init__(self, unready_reasons: Callable[[], list[str]]) -> None:
        self._unready_reasons = unready_reasons

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with 200 if the process is ready, otherwise with 503 and the reasons."""
        reasons = self._unready_reasons()
        resp.status = falcon.HTTP_503 if reasons else falcon.HTTP_200
        resp.media = {"ready": not reasons, "reasons": reasons}


class _MetricsResource:
    def __init__(self, render: Callable[[], str]) -> None:
        self._render = render

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Respond with the metrics in the text exposition format."""
        resp.content_type = "text/plain; version=0.0.4"
        resp.text = self._render()


def build_admin_app(
    unready_reasons: Callable[[], list[str]],
    status: Callable[[], dict[str, Any]],
    metrics: Callable[[], str] | None = None,
) -> falcon.App:
    """Build the application that serves the admin endpoints.

    Args:
        unready_reasons: Returns the reasons why the process is not ready; empty if it is.
        status: Returns the status document.
        metrics: Returns the metrics as text; None to serve no metrics.
    """
    app = falcon.App()
    app.add_route("/healthz", _JsonResource(lambda: {"ok": True}))
    app.add_route("/readyz", _ReadinessResource(unready_reasons))
    app.add_route("/status", _JsonResource(status))
    if metrics is not None:
        app.add_route("/metrics", _MetricsResource(metrics))
    return app

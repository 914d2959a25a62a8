"""The operators' port: health, readiness, metrics, status and explanations."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import falcon

__all__ = ["DecisionLog", "build_admin_app"]

DECISIONS_KEPT = 2000


class DecisionLog:
    """The latest decisions by request id, for `hickoryloom explain`."""

    def __init__(self, kept: int = DECISIONS_KEPT) -> None:
        self._kept = kept
        self._steps: OrderedDict[str, list[dict[str, Any]]] = OrderedDict()

    def add(self, request_id: str, step: str, **fields: Any) -> None:
        """Add one step of a request's way."""
        steps = self._steps.get(request_id)
        if steps is None:
            steps = self._steps[request_id] = []
            if len(self._steps) > self._kept:
                self._steps.popitem(last=False)
        steps.append({"step": step, **fields})

    def get(self, request_id: str) -> list[dict[str, Any]] | None:
        """Return the steps of a request, or None when it is not known."""
        return self._steps.get(request_id)


class _Health:
    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer that the process runs."""
        resp.media = {"ok": True}


class _Ready:
    def __init__(self, why_not_ready: Callable[[], list[str]]) -> None:
        self._why_not_ready = why_not_ready

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer 200 when the balancer may send requests, else 503 with the reasons."""
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


class _Document:
    def __init__(self, build: Callable[[], dict[str, Any]]) -> None:
        self._build = build

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answer with a JSON document."""
        resp.media = self._build()


class _Explain:
    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions

    def on_get(self, req: falcon.Request, resp: falcon.Response, request_id: str) -> None:
        """Answer with the steps of one request."""
        steps = self._decisions.get(request_id)
        if steps is None:
            raise falcon.HTTPNotFound(title="unknown request")
        resp.media = {"request_id": request_id, "steps": steps}


def build_admin_app(
    why_not_ready: Callable[[], list[str]],
    metrics: Callable[[], str],
    status: Callable[[], dict[str, Any]],
    decisions: DecisionLog | None = None,
) -> falcon.App:
    """Build the operators' application.

    Args:
        why_not_ready: Returns the reasons why the balancer should send nothing.
        metrics: Returns the metrics as text.
        status: Returns the status as a JSON document.
        decisions: Decisions to explain, where requests are served.
    """
    app = falcon.App()
    app.add_route("/healthz", _Health())
    app.add_route("/readyz", _Ready(why_not_ready))
    app.add_route("/metrics", _Text(metrics))
    app.add_route("/status", _Document(status))
    if decisions is not None:
        app.add_route("/explain/{request_id}", _Explain(decisions))
    return app

"""Decision log of an entry, queried by `hickoryloom explain`."""

from __future__ import annotations

from collections import OrderedDict
from typing import Any

import falcon

__all__ = ["DecisionLog", "add_explain_route"]

MAX_REQUESTS = 2000


class DecisionLog:
    """Decisions of the most recent requests, by request id."""

    def __init__(self, max_requests: int = MAX_REQUESTS) -> None:
        self._max_requests = max_requests
        self._steps: OrderedDict[str, list[dict[str, Any]]] = OrderedDict()

    def add(self, request_id: str, step: str, **fields: Any) -> None:
        """Record one decision on a request; evicts the oldest request beyond the limit."""
        steps = self._steps.get(request_id)
        if steps is None:
            steps = self._steps[request_id] = []
            if len(self._steps) > self._max_requests:
                self._steps.popitem(last=False)
        steps.append({"step": step, **fields})

    def get(self, request_id: str) -> list[dict[str, Any]] | None:
        """Return the recorded steps of a request, or None if it is unknown."""
        return self._steps.get(request_id)


class _ExplainResource:
    def __init__(self, decisions: DecisionLog) -> None:
        self._decisions = decisions

    def on_get(self, req: falcon.Request, resp: falcon.Response, request_id: str) -> None:
        """Respond with the recorded steps of one request."""
        steps = self._decisions.get(request_id)
        if steps is None:
            raise falcon.HTTPNotFound(title="unknown request")
        resp.media = {"request_id": request_id, "steps": steps}


def add_explain_route(app: falcon.App, decisions: DecisionLog) -> None:
    """Add the route that returns the decisions on a request to operators."""
    app.add_route("/explain/{request_id}", _ExplainResource(decisions))
